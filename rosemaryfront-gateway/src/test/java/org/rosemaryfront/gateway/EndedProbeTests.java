package org.rosemaryfront.gateway;

import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.netty.resources.LoopResources;

import static org.assertj.core.api.Assertions.assertThat;

class EndedProbeTests {

	private static final long ANSWER_MILLIS = 1_000;

	private final LoopResources loops = LoopResources.create("probe", 1, true);

	private final EventLoop loop = this.loops.onServer(false).next();

	private final EndedProbe probe = new EndedProbe(this.loop);

	@AfterEach
	void stop() {
		this.loops.dispose();
	}

	// Guards against streams that nobody takes up until a killed gateway is back.
	@Test
	void shouldReportEndWhenNobodyReceives() throws Exception {
		InetSocketAddress address;
		try (DatagramSocket gateway = open()) {
			address = (InetSocketAddress) gateway.getLocalSocketAddress();
		}
		assertThat(hasEnded(address)).isTrue();
	}

	// Guards against a gateway that stands still or is cut off and is taken for ended.
	@Test
	void shouldReportNothingWhenGatewayDoesNotAnswer() throws Exception {
		try (DatagramSocket gateway = open()) {
			assertThat(hasEnded((InetSocketAddress) gateway.getLocalSocketAddress())).isFalse();
		}
	}

	private static DatagramSocket open() throws Exception {
		return new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
	}

	private boolean hasEnded(InetSocketAddress address) throws InterruptedException {
		CountDownLatch ended = new CountDownLatch(1);
		this.loop.execute(() -> this.probe.send(address, ended::countDown));
		return ended.await(ANSWER_MILLIS, TimeUnit.MILLISECONDS);
	}

}
