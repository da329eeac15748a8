package org.rosemaryfront.gateway;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import reactor.netty.resources.LoopResources;

import org.rosemaryfront.fleet.Fleet.Confirmation;
import org.rosemaryfront.gateway.proto.GatewayReport;

import static org.assertj.core.api.Assertions.assertThat;

class PeerExchangeTests {

	private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

	// Guards against reaching gateways found after the first report a second late.
	@Test
	void shouldSendNextReportToGatewayWhenAddedAfterFirst() throws Exception {
		LoopResources loops = LoopResources.create("test", 1, true);
		try (DatagramSocket other = new DatagramSocket(0, LOOPBACK);
				PeerExchange exchange = PeerExchange.open(loops.onServer(false).next(),
						new InetSocketAddress(LOOPBACK, 0), "gateway-1", 7, (_) -> {
						})) {
			broadcast(exchange);
			exchange.addPeer("gateway-2", new InetSocketAddress(LOOPBACK, other.getLocalPort()));
			broadcast(exchange);
			other.setSoTimeout(5_000);
			DatagramPacket packet = new DatagramPacket(new byte[1_000], 1_000);
			other.receive(packet);
			byte[] bytes = Arrays.copyOf(packet.getData(), packet.getLength());
			assertThat(GatewayReport.parseFrom(bytes).getNumber()).isEqualTo(2);
		}
	}

	// Guards against a slow link that drops the end of a burst: with a fixed order, the
	// same gateways never received a report.
	@Test
	void shouldReachEachGatewayWhenOnlyFirstHalfOfReportsIsDelivered() throws Exception {
		LoopResources loops = LoopResources.create("test", 1, true);
		try (DatagramSocket others = new DatagramSocket(0, LOOPBACK);
				PeerExchange exchange = PeerExchange.open(loops.onServer(false).next(),
						new InetSocketAddress(LOOPBACK, 0), "gateway", 7, (_) -> {
						})) {
			others.setSoTimeout(5_000);
			Map<String, Integer> numbers = new HashMap<>();
			for (int i = 1; i <= 20; i++) {
				numbers.put("gateway-" + i, i);
				exchange.addPeer("gateway-" + i, new InetSocketAddress(LOOPBACK, others.getLocalPort()));
			}
			Set<Integer> reached = new HashSet<>();
			for (int i = 0; i < 3; i++) {
				exchange.broadcast(GatewayReport.newBuilder(), (_) -> true,
						(gateway) -> Optional.of(new Confirmation(1, numbers.get(gateway))));
				List<Integer> order = receivers(others, 20);
				reached.addAll(order.subList(0, 10));
			}
			assertThat(reached).hasSize(20);
		}
	}

	// The confirmation in a report identifies its receiver.
	private static List<Integer> receivers(DatagramSocket socket, int count) throws IOException {
		List<Integer> receivers = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			DatagramPacket packet = new DatagramPacket(new byte[1_000], 1_000);
			socket.receive(packet);
			byte[] bytes = Arrays.copyOf(packet.getData(), packet.getLength());
			receivers.add(GatewayReport.parseFrom(bytes).getHeardNumber());
		}
		return receivers;
	}

	private static void broadcast(PeerExchange exchange) {
		exchange.broadcast(GatewayReport.newBuilder(), (_) -> false, (_) -> Optional.empty());
	}

}
