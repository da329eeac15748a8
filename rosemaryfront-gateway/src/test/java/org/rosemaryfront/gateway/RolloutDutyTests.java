package org.rosemaryfront.gateway;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.rosemaryfront.ports.RowStore;

import static org.assertj.core.api.Assertions.assertThat;

class RolloutDutyTests {

	private static final String STATES = "states";

	private static final int CALLS_AFTER_RESTORE = 400;

	private static final long AWAIT_NANOS = 20_000_000_000L;

	@Test
	void shouldMoveCallsToCandidateAndPublishPhaseWhenItSucceeds() throws IOException {
		try (GatewayHarness gateway = GatewayHarness.start();
				ScriptedServer baseline = ScriptedServer.start((request, exchange) -> exchange.ok(request, "x"));
				ScriptedServer candidate = ScriptedServer.start((request, exchange) -> exchange.ok(request, "x"))) {
			begin(gateway, baseline, candidate);
			gateway.store.put("declared", "rollout/app", "v2 4000");
			callUntil(gateway, "v2 SUCCEEDED");
			int before = baseline.requests().size();
			for (int i = 0; i < 20; i++) {
				assertThat(gateway.send(RawCaller.get("c" + i, "/sheets/")).status()).isEqualTo(200);
			}
			assertThat(baseline.requests()).hasSize(before);
		}
	}

	// Without a rollback a failing version would keep failing its share of the calls, and
	// in the end all of them.
	@Test
	void shouldRollBackCandidateWhenItFailsCalls() throws IOException {
		try (GatewayHarness gateway = GatewayHarness.start();
				ScriptedServer baseline = ScriptedServer.start((request, exchange) -> exchange.ok(request, "x"));
				ScriptedServer candidate = ScriptedServer
					.start((request, exchange) -> exchange.status(request, 500, "Signature: s\r\n"))) {
			begin(gateway, baseline, candidate);
			gateway.store.put("declared", "rollout/app", "v2 60000");
			callUntil(gateway, "v2 ROLLED_BACK");
			int before = candidate.requests().size();
			for (int i = 0; i < 20; i++) {
				assertThat(gateway.send(RawCaller.get("c" + i, "/sheets/")).status()).isEqualTo(200);
			}
			assertThat(candidate.requests()).hasSize(before);
		}
	}

	// Guards against trying a version again that was rolled back, because the store lost
	// the state of its roll-out.
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void shouldKeepVersionRolledBackWhenStoreIsRestored(boolean orderLost) throws Exception {
		try (GatewayHarness gateway = GatewayHarness.start();
				ScriptedServer baseline = ScriptedServer.start((request, exchange) -> exchange.ok(request, "x"));
				ScriptedServer candidate = ScriptedServer
					.start((request, exchange) -> exchange.status(request, 500, "Signature: s\r\n"))) {
			begin(gateway, baseline, candidate);
			MemoryRowStore.Copy beforeOrder = gateway.store.copy();
			gateway.store.put("declared", "rollout/app", "v2 60000");
			callUntil(gateway, "v2 TRIAL");
			MemoryRowStore.Copy copy = orderLost ? beforeOrder : gateway.store.copy();
			callUntil(gateway, "v2 ROLLED_BACK");
			gateway.store.restore(copy);
			gateway.store.put("declared", "rollout/app", "v2 60000");
			int before = candidate.requests().size();
			callUntil(gateway, "v2 ROLLED_BACK");
			for (int i = 0; i < CALLS_AFTER_RESTORE; i++) {
				gateway.send(RawCaller.get("c" + i, "/sheets/"));
			}
			assertThat(candidate.requests()).hasSize(before);
		}
	}

	// Guards against trying a version again that was rolled back, because its order has
	// another number behind a restore and no gateway remembers it.
	@Test
	void shouldKeepVersionRolledBackWhenGatewaysStartAfterRestore() throws Exception {
		try (GatewayHarness gateway = GatewayHarness.start();
				ScriptedServer baseline = ScriptedServer.start((request, exchange) -> exchange.ok(request, "x"));
				ScriptedServer candidate = ScriptedServer.start((request, exchange) -> exchange.ok(request, "x"))) {
			gateway.store.put("rollouts", "app",
					"{\"to\":\"v2\",\"number\":1,\"sinceMillis\":123,\"phase\":\"ROLLED_BACK\"}");
			gateway.store.restore(gateway.store.copy());
			begin(gateway, baseline, candidate);
			gateway.store.put("declared", "rollout/app", "v2 60000");
			callUntil(gateway, "v2 ROLLED_BACK");
			int before = candidate.requests().size();
			for (int i = 0; i < CALLS_AFTER_RESTORE; i++) {
				gateway.send(RawCaller.get("c" + i, "/sheets/"));
			}
			assertThat(candidate.requests()).hasSize(before);
		}
	}

	// A version without an order in force is not evaluated, so its servers must get no
	// calls once the order is withdrawn.
	@Test
	void shouldSendNoCallsToCandidateWhenOrderWasWithdrawn() throws IOException {
		try (GatewayHarness gateway = GatewayHarness.start();
				ScriptedServer baseline = ScriptedServer.start((request, exchange) -> exchange.ok(request, "x"));
				ScriptedServer candidate = ScriptedServer.start((request, exchange) -> exchange.ok(request, "x"))) {
			begin(gateway, baseline, candidate);
			gateway.store.put("declared", "rollout/app", "v2 60000");
			callUntil(gateway, "v2 TRIAL");
			gateway.store.remove("declared", "rollout/app");
			callUntil(gateway, "v2 ROLLED_BACK");
			int before = candidate.requests().size();
			for (int i = 0; i < 20; i++) {
				gateway.send(RawCaller.get("c" + i, "/sheets/"));
			}
			assertThat(candidate.requests()).hasSize(before);
		}
	}

	@Test
	void shouldSkipOrderWhenItCannotBeParsed() throws IOException {
		try (GatewayHarness gateway = GatewayHarness.start();
				ScriptedServer server = ScriptedServer.start((request, exchange) -> exchange.ok(request, "x"))) {
			gateway.declare().register("s1", server).ready();
			gateway.store.put("declared", "rollout/app", "rubbish");
			gateway.store.put("declared", "rollout/other", "v2 4000");
			GatewayHarness.await(() -> state(gateway, "other").isPresent());
			assertThat(state(gateway, "app")).isEmpty();
			assertThat(gateway.send(RawCaller.get("c1", "/sheets/")).status()).isEqualTo(200);
		}
	}

	private static void begin(GatewayHarness gateway, ScriptedServer baseline, ScriptedServer candidate)
			throws IOException {
		gateway.declare().register("s1", baseline);
		gateway.store.put(GatewayHarness.SERVERS, "s2", "app " + candidate.address() + " ready 1 v2");
		gateway.ready();
		GatewayHarness.await(() -> gateway.knowsServer("s2"));
	}

	private static void callUntil(GatewayHarness gateway, String state) throws IOException {
		long until = System.nanoTime() + AWAIT_NANOS;
		while (!state(gateway, "app").equals(Optional.of(state))) {
			assertThat(System.nanoTime()).as("waiting for " + state).isLessThan(until);
			gateway.send(RawCaller.get("c1", "/sheets/"));
		}
	}

	private static Optional<String> state(GatewayHarness gateway, String service) {
		return Optional.ofNullable(gateway.store.rows(STATES).get(service))
			.flatMap(RowStore.Row::value)
			.map((value) -> new String(value, StandardCharsets.UTF_8));
	}

}
