package org.rosemaryfront.traffic;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.gateway.proto.TunnelFrame;
import org.rosemaryfront.paths.Carrier;

import static org.assertj.core.api.Assertions.assertThat;

// Guards against a crash that is never counted because the gateway that was asked about
// the server did not know it any more.
class LivenessCheckTests {

	private static final int MAX_CONNECTIONS = 4;

	private static final int RESULT_SECONDS = 30;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private final AtomicInteger asked = new AtomicInteger();

	/** From which question on the other gateway knows that the server is down. */
	private volatile int knownFrom = Integer.MAX_VALUE;

	private ServerSocket alive;

	private BackendServer crashed;

	private ConnectionPool pool;

	@BeforeEach
	void start() throws Exception {
		this.alive = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		this.crashed = server("s1", unusedPort());
		Carrier carrier = new Carrier("gateway-2", "127.0.0.1:" + startCarrier(), "a", 0);
		this.loop.submit(() -> {
			this.pool = new ConnectionPool(this.loop, new NoHeaders(), "a", (_) -> {
			});
			this.pool.connector().carriers(List.of(carrier));
		}).get();
	}

	@AfterEach
	void stop() throws Exception {
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).get();
		this.alive.close();
	}

	@Test
	void shouldFindServerDownWhenOtherGatewayDoesNotKnowItAndAnotherServerIsReached() throws Exception {
		assertThat(check(List.of(server("s2", this.alive.getLocalPort())))).isEqualTo(Liveness.DOWN);
	}

	@Test
	void shouldFindServerDownWhenOtherGatewayLearnsOfItLater() throws Exception {
		this.knownFrom = 3;
		assertThat(check(List.of())).isEqualTo(Liveness.DOWN);
	}

	@Test
	void shouldFindNothingWhenNoGatewayKnowsServer() throws Exception {
		assertThat(check(List.of())).isEqualTo(Liveness.UNKNOWN);
	}

	private Liveness check(List<BackendServer> others) throws Exception {
		CompletableFuture<Liveness> found = new CompletableFuture<>();
		this.loop.execute(() -> {
			this.pool.retain(Set.of(this.crashed.incarnation()), others);
			this.pool.checkAlive(this.crashed, MAX_CONNECTIONS, found::complete);
		});
		return found.get(RESULT_SECONDS, TimeUnit.SECONDS);
	}

	private int startCarrier() {
		return ((InetSocketAddress) new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					TunnelPipeline.addCodecs(channel.pipeline());
					channel.pipeline().addLast(new RefusingCarrier());
				}
			})
			.bind("127.0.0.1", 0)
			.syncUninterruptibly()
			.channel()
			.localAddress()).getPort();
	}

	private static BackendServer server(String id, int port) {
		return new BackendServer(id, 5, "app", "v1", "127.0.0.1:" + port, "a", 8, false, false, 0);
	}

	private static int unusedPort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return socket.getLocalPort();
		}
	}

	private final class RefusingCarrier extends SimpleChannelInboundHandler<TunnelFrame> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, TunnelFrame frame) {
			boolean tried = LivenessCheckTests.this.asked.incrementAndGet() >= LivenessCheckTests.this.knownFrom;
			String cause = tried ? "Connection refused" : "the server is not known";
			context.writeAndFlush(TunnelPipeline.refused(cause, tried)).addListener(ChannelFutureListener.CLOSE);
		}

	}

}
