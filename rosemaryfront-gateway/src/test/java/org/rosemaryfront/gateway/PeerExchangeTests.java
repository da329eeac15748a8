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
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.netty.resources.LoopResources;

import org.rosemaryfront.fleet.Fleet.Confirmation;
import org.rosemaryfront.gateway.proto.GatewayReport;
import org.rosemaryfront.standin.net.FreePorts;

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

	// Guards against a report that stops the duties for as long as its sender is known.
	@ParameterizedTest
	@ValueSource(ints = { 65_536, Integer.MAX_VALUE, -1 })
	void shouldDropReportWhenPortIsOutOfRange(int port) throws Exception {
		InetSocketAddress address = new InetSocketAddress(LOOPBACK, FreePorts.one());
		BlockingQueue<Integer> received = new LinkedBlockingQueue<>();
		try (DatagramSocket other = new DatagramSocket(0, LOOPBACK);
				PeerExchange _ = PeerExchange.open(LoopResources.create("test", 1, true).onServer(false).next(),
						address, "gateway-1", 7, (report) -> received.add(report.report().getNumber()))) {
			send(other, address, GatewayReport.newBuilder().setNumber(1).setAdminPort(port));
			send(other, address, GatewayReport.newBuilder().setNumber(2).setTunnelPort(port));
			send(other, address, GatewayReport.newBuilder().setNumber(3).setAdminPort(65_535));
			assertThat(received.poll(5, TimeUnit.SECONDS)).isEqualTo(3);
		}
	}

	private static void send(DatagramSocket socket, InetSocketAddress to, GatewayReport.Builder report)
			throws IOException {
		byte[] bytes = report.setGateway("gateway-2").build().toByteArray();
		socket.send(new DatagramPacket(bytes, bytes.length, to));
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
