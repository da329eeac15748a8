package org.rosemaryfront.gateway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.rosemaryfront.gateway.RawCaller.Answer;

import static org.assertj.core.api.Assertions.assertThat;

// Quotes, chats and bookings failed for seconds at a time, and one server after the other
// was lost. One caller's request crashed each server that began to run it; the caller sent it
// again, under a new id, through any gateway. Nothing but the id named a request, so that
// each gateway took each copy for a first one and sent it to the next server: twenty
// servers were lost to one request on nine gateways. Sixteen sendings of one request,
// under as many ids, stood in the logs, each with a connection that broke off and a
// server that took no new one; here nine of nine more copies were sent.
class CrashingRequestTests {

	private static final int GATEWAYS = 3;

	/** After this time gateways have learned what others saw, in milliseconds. */
	private static final long CONTACT_MILLIS = 3_000;

	/** Servers that may be lost to one request before it is held back. */
	private static final int LOST = 3;

	/** Sendings that may follow, by all gateways together. */
	private static final int MORE = 3;

	/** How often the request comes again at each gateway behind that. */
	private static final int REPEATS = 3;

	private final MemoryRowStore store = new MemoryRowStore();

	private final CrashableServers servers = new CrashableServers(this.store);

	private List<GatewayHarness> fleet = List.of();

	@BeforeEach
	void start() throws IOException {
		this.fleet = GatewayHarness.startFleet(this.store, GATEWAYS, 8_000);
		this.fleet.getFirst().declare();
		ready();
	}

	@AfterEach
	void stop() {
		this.fleet.forEach(GatewayHarness::close);
		this.servers.close();
	}

	// The answer to the request that is held back is true, final and comes with a time;
	// other requests of its caller are served.
	@ParameterizedTest
	@ValueSource(strings = { "/drafts/", "/sheets/", "/visits/", "/summaries/" })
	void shouldHoldBackRequestUnderWhichServersCrash(String path) throws IOException {
		loseServers(path);
		sleep(CONTACT_MILLIS);
		assertThat(sendingsOfRepeats(path)).isLessThanOrEqualTo(MORE);
		Answer answer = ask(1, path, CrashableServers.CRASHING);
		assertThat(answer.status()).isEqualTo(503);
		assertThat(answer.says("retry-after")).isTrue();
		assertThat(ask(0, path, "other").status()).isEqualTo(200);
	}

	// The gateways do not hear one another; each reaches the store.
	@Test
	void shouldHoldBackRequestWhenGatewaysReachOnlyTheStore() throws IOException {
		for (int i = 1; i <= GATEWAYS; i++) {
			this.store.put("gateways", "gateway-" + i, "127.0.0.1:9");
		}
		sleep(CONTACT_MILLIS);
		loseServers("/drafts/");
		sleep(CONTACT_MILLIS);
		assertThat(sendingsOfRepeats("/drafts/")).isLessThanOrEqualTo(MORE);
	}

	// All processes are killed once the servers are lost; none can write at its end.
	@Test
	void shouldHoldBackRequestOverKillOfAllProcesses() throws IOException {
		loseServers("/drafts/");
		sleep(CONTACT_MILLIS);
		this.fleet.forEach((gateway) -> gateway.access.deny());
		this.fleet.forEach(GatewayHarness::stop);
		this.fleet = GatewayHarness.startFleet(this.store, GATEWAYS, 8_000);
		this.fleet.getFirst().declare();
		ready();
		assertThat(sendingsOfRepeats("/drafts/")).isLessThanOrEqualTo(MORE);
	}

	// An operator who mended the servers releases the request at one gateway, with its
	// digest from the list; it is served through each of them.
	@Test
	void shouldServeRequestAgainWhenOperatorReleasesIt() throws IOException {
		loseServers("/drafts/");
		this.servers.mend();
		GatewayHarness.await(() -> heldDigest().isPresent());
		assertThat(operator("DELETE", "/held-requests/" + heldDigest().orElseThrow()).status()).isEqualTo(204);
		assertThat(operator("DELETE", "/held-requests/no-digest").status()).isEqualTo(400);
		assertThat(operator("DELETE", "/held-requests/" + "0".repeat(32)).status()).isEqualTo(404);
		for (int i = 0; i < GATEWAYS; i++) {
			int gateway = i;
			GatewayHarness.await(() -> status(gateway) == 200);
		}
	}

	// An availability zone loses power under a request that many ask for, at each of its
	// servers. The one copy that is sent on trial finds no server at first, and counts
	// only once a server got it.
	@Test
	void shouldServeInnocentRequestBehindItsTrial() throws IOException {
		loseServersAtOnce("/drafts/");
		this.servers.mend();
		sleep(CONTACT_MILLIS);
		assertThat(ask(0, "/drafts/", CrashableServers.CRASHING).status()).isEqualTo(503);
		ready();
		for (int i = 0; i < GATEWAYS; i++) {
			int gateway = i;
			GatewayHarness.await(() -> status(gateway) == 200);
		}
	}

	// -- steps

	private void loseServersAtOnce(String path) throws IOException {
		this.servers.crashTogether();
		List<RawCaller> callers = new ArrayList<>();
		for (int i = 0; i < CrashableServers.COUNT; i++) {
			RawCaller caller = this.fleet.getFirst().caller();
			callers.add(caller.send(RawCaller.post("c" + i, path, CrashableServers.CRASHING)));
		}
		for (RawCaller caller : callers) {
			caller.read();
			caller.close();
		}
		this.servers.forgetLost();
	}

	private Answer operator(String method, String path) {
		try (RawCaller operator = new RawCaller(this.fleet.getFirst().settings.metrics())) {
			return operator.send(method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n").read();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private Optional<String> heldDigest() {
		Matcher held = Pattern.compile("\"digest\":\"([0-9a-f]{32})\",\"held\":true")
			.matcher(operator("GET", "/held-requests").body());
		return held.find() ? Optional.of(held.group(1)) : Optional.empty();
	}

	private int status(int gateway) {
		try {
			return ask(gateway, "/drafts/", CrashableServers.CRASHING).status();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void ready() throws IOException {
		this.servers.fill();
		for (GatewayHarness gateway : this.fleet) {
			gateway.ready(this.servers.registered());
		}
	}

	private void loseServers(String path) throws IOException {
		for (int i = 0; this.servers.lost() < LOST; i++) {
			ask(i, path, CrashableServers.CRASHING);
			ready();
		}
	}

	private int sendingsOfRepeats(String path) throws IOException {
		int before = this.servers.sendings();
		for (int i = 0; i < REPEATS * GATEWAYS; i++) {
			ask(i, path, CrashableServers.CRASHING);
			ready();
		}
		return this.servers.sendings() - before;
	}

	private Answer ask(int number, String path, String body) throws IOException {
		return this.fleet.get(number % GATEWAYS).ask(RawCaller.post("c" + System.nanoTime(), path, body));
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/** Backend servers that one body crashes; others start in their places. */
	private static final class CrashableServers {

		static final String CRASHING = "crashing";

		static final int COUNT = 4;

		private final MemoryRowStore store;

		private final List<ScriptedServer> all = new ArrayList<>();

		private final List<String> living = new ArrayList<>();

		/** Lost, and registered until others take their places. */
		private final List<String> lapsing = new ArrayList<>();

		private volatile boolean crashing = true;

		private volatile boolean together;

		private int lost;

		CrashableServers(MemoryRowStore store) {
			this.store = store;
		}

		/** Starts servers until there are enough. */
		synchronized void fill() {
			forgetLost();
			while (this.living.size() < COUNT) {
				String id = "s" + this.all.size();
				ScriptedServer[] self = new ScriptedServer[1];
				self[0] = ScriptedServer.start((request, exchange) -> {
					if (this.crashing && request.body().equals(CRASHING)) {
						if (this.together) {
							GatewayHarness.await(() -> sendings() >= COUNT);
						}
						crash(id, self[0]);
					}
					else {
						exchange.ok(request, "good");
					}
				});
				this.all.add(self[0]);
				this.living.add(id);
				this.store.put(GatewayHarness.SERVERS, id, "app " + self[0].address() + " ready");
			}
		}

		/** From now on servers crash only once each of them has the request. */
		void crashTogether() {
			this.together = true;
		}

		synchronized void forgetLost() {
			this.lapsing.forEach((id) -> this.store.remove(GatewayHarness.SERVERS, id));
			this.lapsing.clear();
		}

		void mend() {
			this.crashing = false;
		}

		private synchronized void crash(String id, ScriptedServer server) {
			this.living.remove(id);
			this.lapsing.add(id);
			this.lost++;
			server.close();
		}

		synchronized List<String> registered() {
			return List.copyOf(this.living);
		}

		synchronized int lost() {
			return this.lost;
		}

		synchronized int sendings() {
			return (int) this.all.stream()
				.flatMap((server) -> server.requests().stream())
				.filter((request) -> request.body().equals(CRASHING))
				.count();
		}

		synchronized void close() {
			this.all.forEach(ScriptedServer::close);
		}

	}

}
