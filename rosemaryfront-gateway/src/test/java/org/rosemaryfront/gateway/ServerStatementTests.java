package org.rosemaryfront.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rosemaryfront.gateway.RawCaller.Response;
import org.rosemaryfront.standin.net.Relay;
import org.rosemaryfront.standin.net.Relay.Partition;

import static org.assertj.core.api.Assertions.assertThat;

/** What servers state about themselves in responses while the store is silent. */
class ServerStatementTests {

	private static final int CALLS = 20;

	private static final String LEAVING = "Leaving: 1\r\n";

	private static final String BACKOFF = "Not-Run: 1\r\nRetry-After: 1\r\n";

	private static final long BACKOFF_MILLIS = 1_000;

	private static final List<String> PATHS = List.of("/sheets/", "/visits/", "/drafts/", "/summaries/");

	/** Long enough for what one gateway tells another over an open connection. */
	private static final long TOLD_MILLIS = 100;

	private final MemoryRowStore store = new MemoryRowStore();

	/** The headers that a server adds to its responses, by its id. */
	private final Map<String, String> statements = new ConcurrentHashMap<>();

	private final Map<String, Integer> statuses = new ConcurrentHashMap<>();

	private final Map<String, ScriptedServer> servers = new ConcurrentHashMap<>();

	private final List<GatewayHarness> fleet = new ArrayList<>();

	private int calls;

	@AfterEach
	void stop() {
		this.fleet.forEach(GatewayHarness::close);
		this.servers.values().forEach(ScriptedServer::close);
	}

	// -- leaving

	// Guards against requests to a server that said in a response that it leaves.
	@ParameterizedTest
	@ValueSource(ints = { 200, 404, 429, 500, 503 })
	void shouldSendNothingToServerWhenItSaidThatItLeaves(int status) throws Exception {
		startGateway();
		this.fleet.getFirst().storeAccess.rejectAll();
		this.statements.put("s1", LEAVING);
		this.statuses.put("s1", status);
		callUntilReached("s1");
		int before = requests("s1");
		for (int i = 0; i < CALLS; i++) {
			assertThat(call(0, PATHS.get(i % PATHS.size())).status()).isEqualTo(200);
		}
		assertThat(requests("s1")).isEqualTo(before);
	}

	// Guards against a registration, written before the server said that it leaves, that
	// brings it back.
	@Test
	void shouldSendNothingToLeavingServerWhenOlderRegistrationArrives() throws Exception {
		startGateway();
		this.statements.put("s1", LEAVING);
		callUntilReached("s1");
		int before = requests("s1");
		this.store.put(GatewayHarness.SERVERS, "s1", "app " + this.servers.get("s1").address() + " ready 0 v1 7");
		Thread.sleep(TOLD_MILLIS);
		for (int i = 0; i < CALLS; i++) {
			assertThat(call(0, "/sheets/").status()).isEqualTo(200);
		}
		assertThat(requests("s1")).isEqualTo(before);
	}

	// Guards against callers who are held, or told wrongly, when no server is left.
	@Test
	void shouldRefuseAtOnceWhenAllServersLeave() throws Exception {
		startGateway();
		this.statements.put("s1", LEAVING);
		this.statements.put("s2", LEAVING);
		callUntilReached("s1");
		callUntilReached("s2");
		Response response = call(0, "/visits/");
		assertThat(response.status()).isEqualTo(503);
		assertThat(response.hasHeader("retry-after")).isTrue();
	}

	// -- backoff

	// Guards against requests to a server that rejected one and asked for a backoff.
	@Test
	void shouldSendNothingToServerWhenItWantsBackoff() throws Exception {
		startGateway();
		wantBackoff("s1");
		callUntilReached("s1");
		long until = System.nanoTime() + (BACKOFF_MILLIS - TOLD_MILLIS) * 1_000_000;
		int before = requests("s1");
		while (System.nanoTime() - until < 0) {
			assertThat(call(0, PATHS.get(this.calls % PATHS.size())).status()).isEqualTo(200);
		}
		assertThat(requests("s1")).isEqualTo(before);
		this.statements.clear();
		this.statuses.clear();
		GatewayHarness.await(() -> reaches("s1"));
	}

	// Guards against callers who are held, or who all come back before a server wants
	// them,
	// when all servers want a backoff.
	@Test
	void shouldRefuseWithRemainingBackoffWhenAllServersWantIt() throws Exception {
		startGateway();
		wantBackoff("s1");
		wantBackoff("s2");
		callUntilReached("s1");
		callUntilReached("s2");
		int before = requests("s1") + requests("s2");
		Response response = call(0, "/visits/");
		assertThat(response.status()).isEqualTo(503);
		assertThat(response.retryAfterSeconds()).isBetween(0.3, 2.0);
		assertThat(requests("s1") + requests("s2")).isEqualTo(before);
	}

	// -- through other gateways

	// Guards against a gateway that carries calls to a server, which knows nothing of
	// what
	// the server said to it, and sends on, and against a way round a statement.
	@ParameterizedTest
	@CsvSource({ "leaving, 200", "backoff, 503" })
	void shouldBindGatewayThatCarriesWhenServerStatesSomething(String kind, int status) throws Exception {
		startServers();
		try (Relay link = Relay.start(this.servers.get("s1").address())) {
			startFleetWithLink(link);
			link.partition(Partition.RESET);
			this.statements.put("s1", kind.equals("backoff") ? BACKOFF : LEAVING);
			this.statuses.put("s1", status);
			callUntilReached("s1");
			assertThat(this.fleet.get(1).metric("counters", "calls.carried")).isPositive();
			Thread.sleep(TOLD_MILLIS);
			int before = requests("s1");
			for (int i = 0; i < CALLS; i++) {
				assertThat(call(0, "/sheets/").status()).isEqualTo(200);
				assertThat(call(1, "/sheets/").status()).isEqualTo(200);
			}
			assertThat(requests("s1")).isEqualTo(before);
		}
	}

	// -- steps

	private void startServers() {
		for (String id : List.of("s1", "s2")) {
			this.servers.put(id, ScriptedServer.start((request, exchange) -> {
				String body = "data: " + id + "\n\n";
				exchange.write("HTTP/1.1 " + this.statuses.getOrDefault(id, 200) + " X\r\nCall: " + request.call()
						+ "\r\nSignature: s\r\n" + this.statements.getOrDefault(id, "") + "Content-Length: "
						+ body.length() + "\r\n\r\n" + body);
			}));
			this.store.put(GatewayHarness.SERVERS, id, "app " + this.servers.get(id).address() + " ready 0 v1 5");
		}
	}

	private void startGateway() throws IOException {
		startServers();
		this.fleet.addAll(GatewayHarness.startFleet(this.store, 1, 8_000));
		this.fleet.getFirst().declare().ready(List.of("s1", "s2"));
	}

	// The first gateway reaches the first server through the relay, and the second one
	// directly.
	private void startFleetWithLink(Relay link) throws IOException {
		PlainCodecs codecs = new PlainCodecs();
		String direct = this.servers.get("s1").address();
		PlainCodecs linked = codecs.withServersAt((address) -> address.equals(direct) ? link.address() : address);
		this.fleet.addAll(GatewayHarness.startFleet(this.store, List.of(linked, codecs)));
		this.fleet.getFirst().declare();
		for (GatewayHarness gateway : this.fleet) {
			gateway.ready(List.of("s1", "s2"));
			GatewayHarness.await(() -> gateway.liveGateways() == 2);
		}
	}

	private void wantBackoff(String server) {
		this.statements.put(server, BACKOFF);
		this.statuses.put(server, 503);
	}

	private void callUntilReached(String server) {
		int before = requests(server);
		GatewayHarness.await(() -> {
			reaches(server);
			return requests(server) > before;
		});
	}

	private boolean reaches(String server) {
		int before = requests(server);
		try {
			call(0, "/sheets/");
		}
		catch (IOException ex) {
			return false;
		}
		return requests(server) > before;
	}

	private Response call(int gateway, String path) throws IOException {
		this.calls++;
		return this.fleet.get(gateway).send(RawCaller.get("c" + this.calls, path));
	}

	private int requests(String server) {
		return this.servers.get(server).requests().size();
	}

}
