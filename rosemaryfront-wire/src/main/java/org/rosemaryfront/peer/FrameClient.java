package org.rosemaryfront.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import reactor.core.publisher.Flux;
import reactor.core.publisher.FluxSink;
import reactor.core.publisher.Mono;

import org.rosemaryfront.peer.proto.Frame;

/**
 * Asks peers over TCP, with one connection for each peer that is in use. The table of
 * connections belongs to one event loop.
 */
final class FrameClient implements AutoCloseable {

	private final EventLoop loop;

	private final PeerTiming timing;

	private final Optional<PeerSettings.Tls> tls;

	private final Map<String, Link> links = new HashMap<>();

	private FrameClient(EventLoop loop, PeerTiming timing, Optional<PeerSettings.Tls> tls) {
		this.loop = loop;
		this.timing = timing;
		this.tls = tls;
	}

	// -- factories

	static FrameClient of(EventLoop loop, PeerTiming timing, Optional<PeerSettings.Tls> tls) {
		return new FrameClient(loop, timing, tls);
	}

	// -- questions

	/**
	 * Asks a question with one answer.
	 * @param address the peer
	 * @param question the question
	 * @return the answer; an error of {@link PeerException}
	 */
	Mono<Frame> ask(String address, Frame question) {
		return stream(address, question).next()
			.switchIfEmpty(Mono.error(() -> PeerException.of(PeerException.Code.FAILED, address + " gave no answer")))
			.timeout(Duration.ofMillis(this.timing.requestMillis()))
			.onErrorMap(TimeoutException.class,
					(ex) -> PeerException.of(PeerException.Code.TIMED_OUT, address + " gave no answer in time", ex));
	}

	/**
	 * Asks a question with any number of answers. When the connection was used before and
	 * fails before the first answer, the question is asked once more on a new one.
	 * @param address the peer
	 * @param question the question
	 * @return the answers; an error of {@link PeerException}
	 */
	Flux<Frame> stream(String address, Frame question) {
		return Flux.defer(() -> {
			AtomicBoolean reused = new AtomicBoolean();
			AtomicBoolean answered = new AtomicBoolean();
			return once(address, question, reused).doOnNext((_) -> answered.set(true))
				.onErrorResume(PeerException.class, (ex) -> {
					boolean again = ex.code() == PeerException.Code.DISCONNECTED && reused.get() && !answered.get();
					return again ? once(address, question, new AtomicBoolean()) : Flux.error(ex);
				});
		});
	}

	private Flux<Frame> once(String address, Frame question, AtomicBoolean reused) {
		return Flux.create((sink) -> this.loop.execute(() -> {
			try {
				Link link = this.links.computeIfAbsent(address, this::connect);
				reused.set(link.connection().proven());
				link.connected().addListener((_) -> ask(address, link, question, sink));
			}
			catch (IllegalArgumentException ex) {
				sink.error(PeerException.of(PeerException.Code.UNREACHABLE, address + " cannot be reached", ex));
			}
		}));
	}

	private void ask(String address, Link link, Frame question, FluxSink<Frame> sink) {
		if (link.connected().isSuccess()) {
			link.connection().ask(question, sink);
		}
		else {
			drop(address, link.connection());
			sink.error(PeerException.of(PeerException.Code.UNREACHABLE, address + " cannot be reached",
					link.connected().cause()));
		}
	}

	// -- connections

	private Link connect(String address) {
		FrameConnection[] self = new FrameConnection[1];
		FrameConnection connection = new FrameConnection(address, silenceNanos(), () -> drop(address, self[0]));
		self[0] = connection;
		ChannelFuture connected = new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) this.timing.silenceMillis())
			.handler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel channel) {
					FrameClient.this.tls.ifPresent((contexts) -> channel.pipeline()
						.addLast(contexts.client().get().newHandler(channel.alloc())));
					FramePipeline.addCodecs(channel.pipeline());
					channel.pipeline().addLast(connection);
				}
			})
			.connect(Addresses.parse(address));
		return new Link(connection, connected);
	}

	private void drop(String address, FrameConnection connection) {
		Link link = this.links.get(address);
		if (link != null && link.connection() == connection) {
			this.links.remove(address);
		}
	}

	private long silenceNanos() {
		return Duration.ofMillis(this.timing.silenceMillis()).toNanos();
	}

	@Override
	public void close() {
		this.loop.submit(() -> {
			Map<String, Link> open = Map.copyOf(this.links);
			this.links.clear();
			open.values().forEach((link) -> link.connected().channel().close());
		}).syncUninterruptibly();
	}

	private record Link(FrameConnection connection, ChannelFuture connected) {
	}

}
