package org.rosemaryfront.peer;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscription;
import reactor.core.publisher.BaseSubscriber;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.peer.proto.Frame;

/**
 * The answering end of the connections between peers.
 */
final class FrameServer implements AutoCloseable {

	/** Silence limits after which an asker with open questions counts as gone. */
	private static final int SILENCE_FACTOR = 4;

	/** Idle times after which a connection without open questions is closed. */
	private static final int IDLE_LIMIT = 15;

	private final Channel channel;

	private final ChannelGroup connections;

	private FrameServer(Channel channel, ChannelGroup connections) {
		this.channel = channel;
		this.connections = connections;
	}

	// -- factories

	/**
	 * Starts listening.
	 * @param group the event loops
	 * @param address the address, port 0 to let the system choose
	 * @param silenceMillis the silence limit of connections, in milliseconds
	 * @param tls the TLS contexts, empty for plain TCP
	 * @param answers gives the answers to a question; each answer is a frame whose number
	 * is set here
	 * @return the running server
	 */
	static FrameServer open(EventLoopGroup group, InetSocketAddress address, long silenceMillis,
			Optional<PeerSettings.Tls> tls, Function<Frame, Publisher<Frame>> answers) {
		ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
		Channel channel = new ServerBootstrap().group(group)
			.channel(NioServerSocketChannel.class)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel accepted) {
					connections.add(accepted);
					tls.ifPresent((contexts) -> accepted.pipeline()
						.addLast(contexts.server().get().newHandler(accepted.alloc())));
					accepted.pipeline()
						.addLast(new IdleStateHandler(silenceMillis * SILENCE_FACTOR, 0, 0, TimeUnit.MILLISECONDS));
					FramePipeline.addCodecs(accepted.pipeline());
					accepted.pipeline().addLast(new Answerer(answers));
				}
			})
			.bind(address)
			.syncUninterruptibly()
			.channel();
		return new FrameServer(channel, connections);
	}

	// -- queries

	InetSocketAddress address() {
		return (InetSocketAddress) this.channel.localAddress();
	}

	@Override
	public void close() {
		this.channel.close().syncUninterruptibly();
		this.connections.close().syncUninterruptibly();
	}

	/**
	 * One connection; its state belongs to its event loop.
	 */
	private static final class Answerer extends SimpleChannelInboundHandler<Frame> {

		private final Function<Frame, Publisher<Frame>> answers;

		private final Map<Long, Answer> open = new HashMap<>();

		private int idleTimes;

		private Answerer(Function<Frame, Publisher<Frame>> answers) {
			this.answers = answers;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, Frame frame) {
			this.idleTimes = 0;
			if (frame.getNumber() == 0) {
				context.writeAndFlush(FramePipeline.HEARTBEAT);
			}
			else if (frame.getCancel()) {
				Optional.ofNullable(this.open.remove(frame.getNumber())).ifPresent(BaseSubscriber::cancel);
			}
			else {
				Answer answer = new Answer(context, frame.getNumber(), () -> this.open.remove(frame.getNumber()));
				this.open.put(frame.getNumber(), answer);
				subscribe(frame, answer);
			}
		}

		private void subscribe(Frame frame, Answer answer) {
			try {
				this.answers.apply(frame).subscribe(answer);
			}
			catch (RuntimeException ex) {
				answer.onError(ex);
			}
		}

		@Override
		public void userEventTriggered(ChannelHandlerContext context, Object event) {
			if (event instanceof IdleStateEvent) {
				this.idleTimes++;
				if (!this.open.isEmpty() || this.idleTimes >= IDLE_LIMIT) {
					context.close();
				}
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			this.open.values().forEach(BaseSubscriber::cancel);
			this.open.clear();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			EventLog.warn(MembershipEvents.CONNECTION_BROKEN, "peer", context.channel().remoteAddress(), "cause",
					cause);
			context.close();
		}

	}

	/**
	 * The answer to one question; asks for the next frame when one is written, so that a
	 * slow asker holds back the source and not the memory.
	 */
	private static final class Answer extends BaseSubscriber<Frame> {

		private final ChannelHandlerContext context;

		private final long number;

		private final Runnable onEnd;

		private Answer(ChannelHandlerContext context, long number, Runnable onEnd) {
			this.context = context;
			this.number = number;
			this.onEnd = onEnd;
		}

		@Override
		protected void hookOnSubscribe(Subscription subscription) {
			subscription.request(1);
		}

		@Override
		protected void hookOnNext(Frame frame) {
			this.context.writeAndFlush(frame.toBuilder().setNumber(this.number).build()).addListener((written) -> {
				if (written.isSuccess()) {
					request(1);
				}
				else {
					cancel();
				}
			});
		}

		@Override
		protected void hookOnComplete() {
			end(Frame.newBuilder());
		}

		@Override
		protected void hookOnError(Throwable failure) {
			end(Frame.newBuilder().setError(String.valueOf(failure.getMessage())));
		}

		private void end(Frame.Builder frame) {
			this.context.executor().execute(this.onEnd);
			this.context.writeAndFlush(frame.setNumber(this.number).setLast(true).build());
		}

	}

}
