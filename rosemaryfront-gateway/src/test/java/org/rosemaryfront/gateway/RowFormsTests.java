package org.rosemaryfront.gateway;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rosemaryfront.crashes.Crash;
import org.rosemaryfront.crashes.Evidence;
import org.rosemaryfront.crashes.PromptSegment;
import org.rosemaryfront.crashes.RequestDigest;
import org.rosemaryfront.crashes.SegmentSuspect;
import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.dispatch.BackendTable;
import org.rosemaryfront.duties.UsageLedger.Window;
import org.rosemaryfront.rollout.RolloutOrder;
import org.rosemaryfront.rollout.RolloutTable;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against rows that gateways of another build cannot find or read because a table,
 * a key or a field was renamed.
 */
class RowFormsTests {

	private static final RequestDigest REQUEST = new RequestDigest(7, 9);

	private static final long WINDOW_MILLIS = 5_000;

	private static final long WINDOW = 358_000_000;

	private final MemoryRowStore rows = new MemoryRowStore();

	private final Consumer<Runnable> control = (task) -> {
		synchronized (this.rows) {
			task.run();
		}
	};

	@AfterEach
	void stop() {
		this.rows.close();
	}

	// -- crashes

	@ParameterizedTest
	@CsvSource({ "CONFIRMED, false", "CLEARED, true" })
	void shouldKeepFormOfCrashWhenServerCrashed(Evidence.State state, boolean cleared) {
		Evidence evidence = Evidence.against(REQUEST, new Incarnation("vm3", 5), state, 11);
		String key = "00000000000000070000000000000009/19e065fa4c3ba4d9";
		String value = """
				{"server":"vm3","startedMillis":5,"atMillis":11,"cleared":%s,"gateway":"gateway-1/1"}"""
			.formatted(cleared);
		assertThat(CrashRows.TABLE).isEqualTo("crashes");
		assertThat(CrashRows.key(evidence.crash())).isEqualTo(key);
		assertThat(CrashRows.write(evidence, "gateway-1/1")).asString().isEqualTo(value);
		assertThat(CrashRows.read(key, bytes(value))).isEqualTo(evidence);
	}

	@ParameterizedTest
	@CsvSource({ "CONFIRMED, false", "CLEARED, true" })
	void shouldKeepFormOfCrashWhenServerCrashedUnderSegment(Evidence.State state, boolean cleared) {
		SegmentSuspect suspect = new SegmentSuspect(PromptSegment.of("llm", "5c1e"), "v2");
		Evidence evidence = new Evidence(new Crash(suspect, new Incarnation("vm3", 5)), state, 11, REQUEST);
		String key = "segment-53e24c922590ab7444b7ec647424bb92/19e065fa4c3ba4d9";
		String value = """
				{"crash":{"server":"vm3","startedMillis":5,"atMillis":11,"cleared":%s,"gateway":"gateway-1/1"},\
				"service":"llm","segment":"5c1e","version":"v2","request":"00000000000000070000000000000009"}"""
			.formatted(cleared);
		assertThat(CrashRows.key(evidence.crash())).isEqualTo(key);
		assertThat(CrashRows.write(evidence, "gateway-1/1")).asString().isEqualTo(value);
		assertThat(CrashRows.read(key, bytes(value))).isEqualTo(evidence);
	}

	@Test
	void shouldKeepFormOfTrialWhenGatewayTakesIt() {
		assertThat(CrashRows.probeKey(REQUEST)).isEqualTo("00000000000000070000000000000009/trial");
		assertThat(CrashRows.writeProbe("gateway-1/1")).asString().isEqualTo("{\"gateway\":\"gateway-1/1\"}");
		assertThat(CrashRows.readProbe(bytes("{\"gateway\":\"gateway-1/1\"}"))).isEqualTo("gateway-1/1");
	}

	// -- duties

	@Test
	void shouldKeepFormOfLeaseWhenGatewayTakesDuties() {
		DutyLease lease = lease(store());
		awaitRow("leases", "duties", () -> lease.tick(System.nanoTime()));
		assertRow("leases", "duties",
				"{\"holder\":\"gateway-1\",\"fence\":1,\"termMillis\":5000,\"token\":\"gateway-1-7-1\"}");
	}

	private StoreGenerations store() {
		StoreGenerations store = new StoreGenerations(this.rows);
		store.observe(0);
		return store;
	}

	private DutyLease lease(StoreGenerations store) {
		return new DutyLease(store, GatewayHarness.settings(), 7, this.control, ProcessClock.system());
	}

	@Test
	void shouldKeepFormOfUseWhenWindowEnds() {
		StoreGenerations store = store();
		DutyLease lease = lease(store);
		UsageDuty duty = new UsageDuty(store, new RecordedDuties(), GatewayHarness.settings(), this.control, lease,
				ProcessClock.system());
		GatewayHarness.await(() -> {
			this.control.accept(() -> lease.tick(System.nanoTime()));
			return lease.mayAct(System.nanoTime());
		});
		duty.tick(WINDOW * WINDOW_MILLIS);
		String key = "000358000000/gateway-1/1f/1";
		this.control.accept(() -> duty.addClosedWindows(List.of(new Window(WINDOW, Map.of("sfax", 4L))), 31));
		awaitRow("usage", key, () -> {
		});
		assertRow("usage", key, "{\"sfax\":4}");
		awaitRow("usage", "000358000000/~sum",
				() -> duty.act((WINDOW + 1) * WINDOW_MILLIS + 2_001, Set.of("sfax", "hule")));
		assertRow("usage", "000358000000/~sum", "{\"hule\":0,\"sfax\":4}");
	}

	@Test
	void shouldKeepFormOfRolloutWhenOrderComes() {
		RolloutDuty duty = rolloutDuty();
		awaitRow("rollouts", "app", () -> duty.advance(123, System.nanoTime()));
		assertRow("rollouts", "app", "{\"to\":\"v2\",\"number\":9,\"sinceMillis\":123,\"phase\":\"TRIAL\"}");
	}

	@ParameterizedTest
	@CsvSource({ "SUCCEEDED, 2", "ROLLED_BACK, 3" })
	void shouldReadStoredRolloutWhenLeaseHolderChanges(String phase, int place) {
		this.rows.put("rollouts", "app",
				"{\"to\":\"v2\",\"number\":9,\"sinceMillis\":123,\"phase\":\"" + phase + "\"}");
		RolloutDuty duty = rolloutDuty();
		GatewayHarness.await(() -> {
			this.control.accept(() -> duty.advance(123, System.nanoTime()));
			return duty.phase("app").isPresent();
		});
		assertThat(duty.phase("app").orElseThrow().ordinal()).isEqualTo(place);
	}

	// -- gateways

	@Test
	void shouldKeepFormOfAddressWhenGatewayStarts() throws IOException {
		try (GatewayHarness gateway = GatewayHarness.start()) {
			GatewayHarness.await(() -> gateway.store.rows("gateways").containsKey("gateway-1"));
			assertThat(gateway.store.rows("gateways").get("gateway-1").value().orElseThrow()).asString()
				.isEqualTo("127.0.0.1:" + gateway.settings.peers().getPort());
		}
	}

	// -- helpers

	private RolloutDuty rolloutDuty() {
		BackendTable servers = new BackendTable();
		Rollouts rollouts = new Rollouts(RolloutTable.empty(0.5), servers, "gateway-1/1", () -> 0.5);
		rollouts.ordered(new RolloutOrder("app", "v2", 4_000, 9));
		return new RolloutDuty(this.rows, new PlainCodecs(), rollouts, servers, this.control);
	}

	private void awaitRow(String table, String key, Runnable step) {
		GatewayHarness.await(() -> {
			boolean there = this.rows.rows(table).containsKey(key);
			if (!there) {
				this.control.accept(step);
			}
			return there;
		});
	}

	private void assertRow(String table, String key, String value) {
		byte[] stored = this.rows.rows(table).get(key).value().orElseThrow();
		assertThat(RowJson.tree(stored, key)).isEqualTo(RowJson.tree(bytes(value), key));
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
