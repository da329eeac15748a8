package org.rosemaryfront.peer;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class UdpSocketTests {

	private static final int DATAGRAMS = 200;

	/** More than one packet of the network holds. */
	private static final int LARGE_BYTES = 5_000;

	private static final long AWAIT_SECONDS = 5;

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final BlockingQueue<byte[]> received = new LinkedBlockingQueue<>();

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
	}

	// A report of many organisations and servers is cut to its first bytes.
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void shouldReceiveLargeDatagramWhole(boolean paced) throws IOException, InterruptedException {
		byte[] sent = new byte[LARGE_BYTES];
		Arrays.fill(sent, (byte) 7);
		InetSocketAddress address = free();
		try (UdpSocket socket = open(address, paced)) {
			socket.send(address, sent);
			assertThat(this.received.poll(AWAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(sent);
		}
	}

	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void shouldReceiveAllThatCame(boolean paced) throws IOException, InterruptedException {
		InetSocketAddress address = free();
		try (UdpSocket socket = open(address, paced)) {
			for (int i = 0; i < DATAGRAMS; i++) {
				socket.send(address, new byte[] { (byte) i });
			}
			for (int i = 0; i < DATAGRAMS; i++) {
				assertThat(this.received.poll(AWAIT_SECONDS, TimeUnit.SECONDS)).containsExactly((byte) i);
			}
		}
	}

	private UdpSocket open(InetSocketAddress address, boolean paced) {
		BiConsumer<InetSocketAddress, byte[]> receiver = (_, bytes) -> this.received.add(bytes);
		return paced ? UdpSocket.openPaced(this.group, address, Duration.ofMillis(50), receiver)
				: UdpSocket.open(this.group, address, receiver);
	}

	private static InetSocketAddress free() throws IOException {
		try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
			return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
		}
	}

}
