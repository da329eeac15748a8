package org.rosemaryfront.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.rosemaryfront.gateway.RawCaller.Response;
import org.rosemaryfront.gateway.ScriptedServer.Exchange;
import org.rosemaryfront.gateway.ScriptedServer.Request;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Streams that callers take up by their request alone, which other callers have sent as
 * well, at gateways that do not know all streams of it.
 */
class StreamsTakenUpByRequestTests {

	private static final int GATEWAYS = 5;

	private static final int STREAMS = 10;

	private static final long QUOTA_WINDOW_MILLIS = 8_000;

	private static final String TAKES_UP = "Resume-After: 1\r\n";

	private final MemoryRowStore store = new MemoryRowStore();

	private final List<GatewayHarness> fleet = new ArrayList<>();

	private final List<ScriptedServer> servers = new ArrayList<>();

	@AfterEach
	void stop() {
		this.fleet.forEach(GatewayHarness::close);
		this.servers.forEach(ScriptedServer::close);
	}

	// Guards against streams of two versions when all gateways were killed and another
	// caller sends the same request before the streams are taken up.
	@Test
	void shouldNotGoOnAtOtherVersionWhenAllGatewaysRestarted() throws IOException {
		startFleet();
		startServer("s1", "v1");
		for (int i = 0; i < STREAMS; i++) {
			assertThat(send(i % GATEWAYS, "first-" + i, "r" + i, "").body()).contains("v1");
		}
		this.fleet.forEach(GatewayHarness::stop);
		this.fleet.clear();
		this.store.remove(GatewayHarness.SERVERS, "s1");
		startServer("s2", "v2");
		startFleet();
		int joined = 0;
		for (int i = 0; i < STREAMS; i++) {
			assertThat(send(i % GATEWAYS, "other-" + i, "r" + i, "").body()).contains("v2");
			joined += (send(i % GATEWAYS, "again-" + i, "r" + i, TAKES_UP).status() == 200) ? 1 : 0;
		}
		assertThat(joined).as("joined of %d", STREAMS).isZero();
	}

	// Guards against streams of two versions at a gateway that stood still, and knows a
	// request of another caller only, while the streams began.
	@Test
	void shouldNotGoOnAtOtherVersionWhenGatewayStoodStill() throws Exception {
		startFleet();
		startServer("s1", "v1");
		for (int i = 0; i < STREAMS; i++) {
			assertThat(send(0, "other-" + i, "r" + i, "").body()).contains("v1");
		}
		CountDownLatch begun = new CountDownLatch(1);
		CountDownLatch end = new CountDownLatch(1);
		this.fleet.getFirst().stall(begun, end);
		begun.await();
		this.store.remove(GatewayHarness.SERVERS, "s1");
		startServer("s2", "v2", this.fleet.subList(1, GATEWAYS));
		GatewayHarness.await(() -> !this.fleet.get(1).knowsServer("s1"));
		for (int i = 0; i < STREAMS; i++) {
			assertThat(send(1, "first-" + i, "r" + i, "").body()).contains("v2");
		}
		startServer("s3", "v1", this.fleet.subList(1, GATEWAYS));
		end.countDown();
		GatewayHarness.await(() -> this.fleet.getFirst().knowsServer("s3"));
		int joined = 0;
		for (int i = 0; i < STREAMS; i++) {
			Response response = send(0, "again-" + i, "r" + i, TAKES_UP);
			joined += response.body().contains("v1") ? 1 : 0;
		}
		assertThat(joined).as("joined of %d", STREAMS).isZero();
	}

	private void startFleet() throws IOException {
		List<GatewayHarness> started = GatewayHarness.startFleet(this.store, GATEWAYS, QUOTA_WINDOW_MILLIS);
		this.fleet.addAll(started);
		started.getFirst().declare();
		for (GatewayHarness gateway : started) {
			gateway.ready();
		}
		GatewayHarness.await(() -> started.stream().allMatch((gateway) -> gateway.liveGateways() == GATEWAYS));
		awaitServers(started);
	}

	private void startServer(String id, String version) {
		startServer(id, version, this.fleet);
	}

	private void startServer(String id, String version, List<GatewayHarness> known) {
		ScriptedServer server = ScriptedServer.start((request, exchange) -> answer(request, exchange, version));
		this.servers.add(server);
		this.store.put(GatewayHarness.SERVERS, id, "app " + server.address() + " ready 0 " + version);
		GatewayHarness.await(() -> known.stream().allMatch((gateway) -> gateway.knowsServer(id)));
	}

	private void awaitServers(List<GatewayHarness> started) {
		if (!this.servers.isEmpty()) {
			GatewayHarness.await(() -> started.stream().allMatch((gateway) -> gateway.knowsServer("s2")));
		}
	}

	// Writes two events of a stream, the first of which a caller that takes it up has.
	private static void answer(Request request, Exchange exchange, String version) throws IOException {
		exchange.write("HTTP/1.1 200 OK\r\nCall: " + request.call()
				+ "\r\nSignature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
		for (int i = request.header("resume-after").isEmpty() ? 1 : 2; i <= 2; i++) {
			String event = "id: " + i + "\ndata: " + version + "\n\n";
			exchange.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
		}
		exchange.write("0\r\n\r\n");
	}

	private Response send(int gateway, String call, String path, String more) throws IOException {
		return this.fleet.get(gateway)
			.send(RawCaller.get(call, "/summaries/" + path).replace("\r\n\r\n", "\r\n" + more + "\r\n"));
	}

}
