package org.rosemaryfront.traffic;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.concurrent.Future;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.gateway.proto.TunnelFrame;
import org.rosemaryfront.gateway.proto.TunnelOpen;
import org.rosemaryfront.gateway.proto.TunnelRefusal;
import org.rosemaryfront.limits.ServerStatements;
import org.rosemaryfront.paths.Carrier;

/**
 * The end of a tunnel at the gateway whose calls are carried. To the handlers behind it,
 * the tunnel is a connection to the backend server.
 *
 * <p>
 * A connection that ends without a frame that says so has failed: the other gateway may
 * have been killed in the middle of a response, which must not look complete.
 */
final class TunnelClient extends ChannelDuplexHandler {

	/**
	 * The time for each answer of the other gateway, in milliseconds. It connects to the
	 * server within this time.
	 */
	static final int ANSWER_TIMEOUT_MILLIS = 250;

	private final Carrier carrier;

	private final BackendServer server;

	private ChannelHandlerContext context;

	/** Receives the next answer; empty while none is awaited. */
	private Optional<Answer> awaited;

	private Future<?> timeout;

	/** Whether the other gateway takes notices. */
	private boolean noticesTaken;

	private boolean ended;

	private boolean requestTaken = true;

	TunnelClient(Carrier carrier, BackendServer server, Answer onOpened) {
		this.carrier = carrier;
		this.server = server;
		this.awaited = Optional.of(onOpened);
	}

	Carrier carrier() {
		return this.carrier;
	}

	/**
	 * Asks whether a call may be sent. Until the answer nothing was sent to the server,
	 * so that a tunnel that carries nothing any more costs no call.
	 * @param requestId the request of the call
	 * @param answer receives the answer
	 */
	void begin(String requestId, Answer answer) {
		this.awaited = Optional.of(answer);
		this.context.writeAndFlush(TunnelFrame.newBuilder().setCall(requestId).build());
		awaitAnswer();
	}

	/**
	 * Returns whether the other gateway had sent all that it had received when the server
	 * closed its connection.
	 * @return true while the server has not closed it
	 */
	boolean isRequestTaken() {
		return this.requestTaken;
	}

	/** Tells the other gateway that the call has ended. */
	void callEnded() {
		this.context.writeAndFlush(TunnelPipeline.IDLE);
	}

	/**
	 * Tells the other gateway what the server stated, since the server means the gateway
	 * that it has a connection with.
	 * @param statements the statements
	 */
	void stated(ServerStatements statements) {
		if (this.noticesTaken) {
			TunnelPipeline.notice(statements).ifPresent(this.context::writeAndFlush);
		}
	}

	// -- channel events

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		context.writeAndFlush(TunnelFrame.newBuilder()
			.setOpen(TunnelOpen.newBuilder().setServer(this.server.id()).setStartedMillis(this.server.startedMillis()))
			.build());
		awaitAnswer();
		context.fireChannelActive();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		TunnelFrame frame = (TunnelFrame) message;
		switch (frame.getContentCase()) {
			case OPENED -> {
				this.noticesTaken |= frame.getTakesNotices();
				takeAwaited().ifPresent(Answer::opened);
			}
			case REFUSED -> refused(frame.getRefused());
			case DATA -> context.fireChannelRead(TunnelPipeline.bytes(frame));
			case CLOSED -> {
				this.ended = true;
				this.requestTaken = frame.getClosed();
				context.fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
				context.close();
			}
			case FAILURE -> fail(context, frame.getFailure());
			case OPEN, CALL, IDLE, NOTICE, CONTENT_NOT_SET ->
				fail(context, "unexpected frame " + frame.getContentCase() + " of " + this.carrier.gateway());
		}
	}

	private void refused(TunnelRefusal refusal) {
		this.ended = true;
		takeAwaited().ifPresent((answer) -> answer.refused(refusal.getCause(), refusal.getUnreachable()));
		this.context.close();
	}

	private void fail(ChannelHandlerContext context, String cause) {
		this.ended = true;
		context.fireExceptionCaught(new IOException(cause));
		context.close();
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		takeAwaited()
			.ifPresent((answer) -> answer.noAnswer("the connection to " + this.carrier.gateway() + " was closed"));
		if (!this.ended) {
			context.fireExceptionCaught(new IOException("the tunnel through " + this.carrier.gateway() + " broke"));
		}
		context.fireChannelInactive();
	}

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
		context.write((message instanceof ByteBuf bytes) ? TunnelPipeline.data(bytes) : message, promise);
	}

	private void awaitAnswer() {
		this.timeout = this.context.executor()
			.schedule(this::answerMissing, ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void answerMissing() {
		takeAwaited().ifPresent((answer) -> {
			this.context.close();
			answer.noAnswer("no answer of " + this.carrier.gateway() + " in " + ANSWER_TIMEOUT_MILLIS + " ms");
		});
	}

	private Optional<Answer> takeAwaited() {
		Optional<Answer> taken = this.awaited;
		this.awaited = Optional.empty();
		if (taken.isPresent() && this.timeout != null) {
			this.timeout.cancel(false);
		}
		return taken;
	}

	/**
	 * Receives the answer of the other gateway. Nothing was sent to the server before.
	 */
	interface Answer {

		/** The server is connected, and a call may be sent. */
		void opened();

		/**
		 * The other gateway refused.
		 * @param cause the cause, for the log
		 * @param unreachable whether it tried the server and did not reach it either
		 */
		void refused(String cause, boolean unreachable);

		/**
		 * The other gateway did not answer.
		 * @param cause the cause, for the log
		 */
		void noAnswer(String cause);

	}

}
