package org.rosemaryfront.traffic;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.gateway.proto.TunnelFrame;
import org.rosemaryfront.gateway.proto.TunnelOpen;
import org.rosemaryfront.limits.ServerStatements;
import org.rosemaryfront.peer.Addresses;
import org.rosemaryfront.traffic.HeldBytes.Holding;

/**
 * The end of a tunnel at the gateway that carries the calls: passes bytes between the
 * other gateway and one connection to a backend server. It never uses another gateway
 * itself.
 */
final class CarriedConnection extends SimpleChannelInboundHandler<TunnelFrame> {

	/** Less than the other gateway waits for the answer, in milliseconds. */
	private static final int CONNECT_TIMEOUT_MILLIS = 200;

	/** The time until the first frame, in milliseconds. */
	private static final long OPEN_TIMEOUT_MILLIS = 2_000;

	private final TunnelServer owner;

	private final SocketChannel tunnel;

	private Optional<BackendServer> server = Optional.empty();

	private Optional<Channel> serverChannel = Optional.empty();

	private boolean callActive;

	/** The request of the last call. */
	private String requestId = "";

	/** Whether the last frame was written. */
	private boolean ending;

	CarriedConnection(TunnelServer owner, SocketChannel tunnel) {
		this.owner = owner;
		this.tunnel = tunnel;
	}

	boolean hasCall() {
		return this.callActive;
	}

	void close() {
		this.tunnel.close();
	}

	/**
	 * Returns what is held for this tunnel: what neither the other gateway nor the server
	 * has read.
	 * @return the holding
	 */
	Holding holding() {
		long bytes = Outbound.pendingBytes(this.tunnel) + this.serverChannel.map(Outbound::pendingBytes).orElse(0L);
		return Holding.response(this.tunnel.id().asShortText(), bytes, () -> fail("too much is held for the tunnel"));
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		context.executor().schedule(() -> {
			if (this.server.isEmpty() && this.tunnel.isActive()) {
				fail("no server was named in " + OPEN_TIMEOUT_MILLIS + " ms");
			}
		}, OPEN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	// -- frames of the other gateway

	@Override
	protected void channelRead0(ChannelHandlerContext context, TunnelFrame frame) {
		switch (frame.getContentCase()) {
			case OPEN -> open(frame.getOpen());
			case CALL -> beginCall(frame.getCall());
			case DATA -> forward(frame);
			case IDLE -> this.callActive = false;
			case NOTICE -> stated(TunnelPipeline.statements(frame.getNotice()));
			case OPENED, REFUSED, CLOSED, FAILURE, CONTENT_NOT_SET ->
				fail("unexpected frame " + frame.getContentCase());
		}
	}

	private void open(TunnelOpen open) {
		Optional<BackendServer> found = this.owner.policy()
			.eligibleServer(new Incarnation(open.getServer(), open.getStartedMillis()));
		if (this.server.isPresent()) {
			fail("a second server for one tunnel");
		}
		else if (this.owner.policy().isStopping()) {
			refuse("", "the gateway is stopping", false);
		}
		else if (found.isEmpty()) {
			refuse("", "the server " + open.getServer() + " is not known or draining", false);
		}
		else if (this.owner.isOutOfReach(found.get())) {
			refuse("", "the server " + open.getServer() + " is out of reach here, too", true);
		}
		else if (!this.owner.add(this)) {
			refuse("", "too many tunnels", false);
		}
		else {
			this.server = found;
			connect(found.get());
		}
	}

	private void connect(BackendServer to) {
		ChannelFuture connecting = ServerConnector.toServer(this.owner.loop(), CONNECT_TIMEOUT_MILLIS, new ServerSide())
			.connect(Addresses.parse(to.address()));
		connecting.addListener((_) -> connected(connecting));
	}

	private void connected(ChannelFuture connecting) {
		if (!this.tunnel.isActive()) {
			connecting.channel().close();
		}
		else if (!connecting.isSuccess()) {
			refuse("", String.valueOf(connecting.cause().getMessage()), true);
		}
		else {
			this.serverChannel = Optional.of(connecting.channel());
			this.tunnel.writeAndFlush(TunnelPipeline.OPENED);
		}
	}

	// The server may have started to drain since the tunnel was opened.
	private void beginCall(String requestId) {
		boolean connected = this.serverChannel.filter(Channel::isActive).isPresent();
		if (this.owner.policy().isStopping()) {
			refuse(requestId, "the gateway is stopping", false);
		}
		else if (!connected || !this.owner.policy().acceptsCalls(this.server.orElseThrow())) {
			refuse(requestId, connected ? "the server wants no calls" : "the connection to the server was closed",
					false);
		}
		else {
			this.callActive = true;
			this.requestId = requestId;
			this.owner.metrics().increment("calls.carried");
			EventLog.info(TrafficEvents.CALL_CARRIED, "request", requestId, "server", this.server.get().id(), "gateway",
					this.tunnel.remoteAddress());
			this.tunnel.writeAndFlush(TunnelPipeline.OPENED);
		}
	}

	private void stated(ServerStatements statements) {
		if (this.server.isEmpty()) {
			fail("a notice before a server was named");
			return;
		}
		this.owner.policy().stated(this.server.get(), this.requestId, statements, System.nanoTime());
	}

	// Deferred, so that the end of the tunnel is noticed if it was received together with
	// the bytes, as after a pause of this process: the call is then over.
	private void forward(TunnelFrame frame) {
		this.owner.loop().execute(() -> {
			if (this.tunnel.isActive() && this.callActive) {
				Channel to = this.serverChannel.orElseThrow();
				to.writeAndFlush(TunnelPipeline.bytes(frame));
				this.tunnel.config().setAutoRead(to.isWritable());
			}
			else if (this.tunnel.isActive() && !this.ending) {
				fail("bytes outside a call");
			}
		});
	}

	private void refuse(String requestId, String cause, boolean unreachable) {
		this.owner.metrics().increment("tunnels.refused");
		EventLog.info(TrafficEvents.TUNNEL_REFUSED, "request", requestId, "server",
				this.server.map(BackendServer::id).orElse("none"), "from", this.tunnel.remoteAddress(), "cause", cause,
				"serverUnreachable", unreachable);
		end(TunnelPipeline.refused(cause, unreachable));
	}

	private void end(TunnelFrame last) {
		this.callActive = false;
		this.ending = true;
		this.tunnel.writeAndFlush(last).addListener(ChannelFutureListener.CLOSE);
	}

	private void fail(String cause) {
		EventLog.warn(TrafficEvents.TUNNEL_FAILED, "from", this.tunnel.remoteAddress(), "cause", cause);
		this.tunnel.close();
	}

	// -- events of the tunnel

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		this.serverChannel.ifPresent((channel) -> channel.config().setAutoRead(this.tunnel.isWritable()));
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.callActive = false;
		this.owner.remove(this);
		this.serverChannel.ifPresent(Channel::close);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		// A gateway that is killed or paused resets its connections.
		if (cause instanceof IOException) {
			this.tunnel.close();
		}
		else {
			fail(String.valueOf(cause.getMessage()));
		}
	}

	/** The connection to the server. */
	private final class ServerSide extends ChannelInboundHandlerAdapter {

		/** The last frame of the tunnel once the connection has ended. */
		private TunnelFrame last = TunnelPipeline.failure("closed by the gateway that carries");

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			ByteBuf bytes = (ByteBuf) message;
			CarriedConnection.this.owner.bytesArrived(bytes.readableBytes());
			CarriedConnection.this.tunnel.write(TunnelPipeline.data(bytes));
		}

		@Override
		public void channelReadComplete(ChannelHandlerContext context) {
			CarriedConnection.this.tunnel.flush();
			context.channel().config().setAutoRead(CarriedConnection.this.tunnel.isWritable());
		}

		@Override
		public void channelWritabilityChanged(ChannelHandlerContext context) {
			CarriedConnection.this.tunnel.config().setAutoRead(context.channel().isWritable());
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			if (CarriedConnection.this.tunnel.isActive()) {
				end(this.last);
			}
		}

		@Override
		public void userEventTriggered(ChannelHandlerContext context, Object event) {
			if (event instanceof ChannelInputShutdownEvent) {
				this.last = TunnelPipeline.closed(Outbound.pendingBytes(context.channel()) == 0);
				context.close();
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			this.last = TunnelPipeline.failure(String.valueOf(cause.getMessage()));
			context.close();
		}

	}

}
