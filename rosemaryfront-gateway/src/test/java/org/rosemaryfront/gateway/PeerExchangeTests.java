package org.rosemaryfront.gateway;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import reactor.netty.resources.LoopResources;

import org.rosemaryfront.gateway.proto.GatewayReport;

import static org.assertj.core.api.Assertions.assertThat;

class PeerExchangeTests {

	private static final InetAddress HERE = InetAddress.getLoopbackAddress();

	// A gateway starts, tells its first report before it knows the others, and they heard
	// of it a second later.
	@Test
	void shouldTellInNextReportGatewayThatWasFoundBehindTheFirst() throws Exception {
		LoopResources loops = LoopResources.create("test", 1, true);
		try (DatagramSocket other = new DatagramSocket(0, HERE);
				PeerExchange exchange = PeerExchange.open(loops.onServer(false).next(), new InetSocketAddress(HERE, 0),
						"gateway-1", 7, (_) -> {
						})) {
			tell(exchange);
			exchange.found("gateway-2", new InetSocketAddress(HERE, other.getLocalPort()));
			tell(exchange);
			other.setSoTimeout(5_000);
			DatagramPacket packet = new DatagramPacket(new byte[1_000], 1_000);
			other.receive(packet);
			byte[] bytes = Arrays.copyOf(packet.getData(), packet.getLength());
			assertThat(GatewayReport.parseFrom(bytes).getNumber()).isEqualTo(2);
		}
	}

	private static void tell(PeerExchange exchange) {
		exchange.tell(GatewayReport.newBuilder(), (_) -> false, (_) -> Optional.empty());
	}

}
