package org.rosemaryfront.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;

import org.rosemaryfront.crashes.Crash;
import org.rosemaryfront.crashes.Evidence;
import org.rosemaryfront.crashes.Evidence.State;
import org.rosemaryfront.crashes.QuarantineDecision;
import org.rosemaryfront.crashes.RequestDigest;
import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.dispatch.BackendTable;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.ports.RowStore;
import org.rosemaryfront.ports.StoreException;
import org.rosemaryfront.ports.StoreException.Reason;
import org.rosemaryfront.program.ControlLoop;
import org.rosemaryfront.tables.FreshnessLimits;
import org.rosemaryfront.traffic.Liveness;

import static org.assertj.core.api.Assertions.assertThat;

class CrashRecordsTests {

	private static final RequestDigest REQUEST = new RequestDigest(7, 7);

	private static final CallSuspects CALL = new CallSuspects(Optional.of(REQUEST), "c1", Set.of());

	private final MemoryRowStore rows = new MemoryRowStore();

	private final LoopResources loops = LoopResources.create("test", 1, true);

	private final AtomicInteger commits = new AtomicInteger();

	/** What another gateway does right before the first commit. */
	private volatile Runnable otherGateway = () -> {
	};

	private volatile boolean losingResponses;

	private ControlLoop control;

	private CrashRecords records;

	private Disposable ticking = Disposables.single();

	@BeforeEach
	void start() {
		this.control = ControlLoop.start("control", Duration.ofMillis(5), (now) -> {
			if (this.records != null) {
				this.records.tick(now);
			}
		});
	}

	@AfterEach
	void stop() {
		this.ticking.dispose();
		this.rows.close();
		this.control.close();
		this.loops.dispose();
	}

	// -- the store

	// A starting process takes over the crashes that others recorded, and skips rows that
	// it cannot parse.
	@Test
	void shouldQuarantineRequestWhenStoreHasItsCrashes() {
		this.rows.put(CrashRows.TABLE, "no digest", "{}");
		this.rows.put(CrashRows.TABLE, REQUEST + "/0", "no crash");
		this.rows.put(CrashRows.TABLE, REQUEST + "/trial", "no trial");
		for (int i = 0; i < 3; i++) {
			put(evidence(i, State.CONFIRMED, i * 1_000L));
		}
		follow();
		assertThat(this.records.isQuarantined(REQUEST)).isTrue();
	}

	// Servers crash while the store is unavailable. Their rows are written once it is
	// available again, so that a process that starts then reads them.
	@Test
	void shouldWritePendingCrashesWhenStoreIsAvailableAgain() {
		follow();
		this.rows.setUnavailable(true);
		for (int i = 0; i < 3; i++) {
			breakConnection(i);
		}
		GatewayHarness.await(() -> this.records.isQuarantined(REQUEST));
		this.rows.setUnavailable(false);
		GatewayHarness.await(() -> this.rows.rows(CrashRows.TABLE).size() == 3);
	}

	// Two gateways write the same crash, one of them in a commit with another crash.
	@Test
	void shouldWriteOtherRowsWhenOneExistsAlready() {
		follow();
		this.rows.setUnavailable(true);
		breakConnection(0);
		breakConnection(1);
		GatewayHarness.await(() -> judge().servers().size() == 2);
		put(evidence(0, State.CONFIRMED, 0));
		this.rows.setUnavailable(false);
		GatewayHarness.await(() -> this.rows.rows(CrashRows.TABLE).size() == 2);
	}

	// Guards against a call for each row when gateways write the rows that they share.
	@Test
	void shouldWriteOtherRowsTogetherWhenOneExistsAlready() {
		follow();
		this.otherGateway = () -> put(evidence(0, State.CONFIRMED, 0));
		this.control.post((now) -> {
			for (int i = 0; i < 6; i++) {
				this.records.connectionBroke(CALL, server(i), now);
			}
		});
		GatewayHarness.await(() -> this.rows.rows(CrashRows.TABLE).size() == 6);
		assertThat(this.commits).hasValue(2);
	}

	@Test
	void shouldReleaseRequestWhenOneOfItsRowsIsDeleted() {
		for (int i = 0; i < 3; i++) {
			put(evidence(i, State.CONFIRMED, i * 1_000L));
		}
		follow();
		this.rows.remove(CrashRows.TABLE, CrashRows.key(crash(1)));
		GatewayHarness.await(() -> !this.records.isQuarantined(REQUEST));
	}

	// -- responses that end with their connections

	// Guards against a crash that counts as a complete response, because a check that
	// began before it found the server alive.
	@Test
	void shouldCountCrashWhenCheckBeganBeforeResponseEnded() {
		List<Consumer<Liveness>> checks = new CopyOnWriteArrayList<>();
		follow((_, reply) -> checks.add(reply));
		BackendServer server = server(0);
		this.control.post((_) -> this.records.endedWithConnection(CALL, server));
		GatewayHarness.await(() -> checks.size() == 1);
		CallSuspects later = new CallSuspects(Optional.of(new RequestDigest(8, 8)), "c2", Set.of());
		this.control.post((_) -> this.records.endedWithConnection(later, server));
		checks.getFirst().accept(Liveness.ALIVE);
		GatewayHarness.await(() -> checks.size() == 2);
		checks.getLast().accept(Liveness.DOWN);
		GatewayHarness.await(() -> judge(later).servers().size() == 1);
		assertThat(judge(CALL).servers()).isEmpty();
	}

	// -- the probe

	// Two gateways claim the only probe of a request at the same time.
	@Test
	void shouldGrantProbeToOneGatewayOnly() {
		crashSimultaneously();
		follow();
		QuarantineDecision decision = judge();
		assertThat(decision).isInstanceOf(QuarantineDecision.Probe.class);
		this.rows.put(CrashRows.TABLE, CrashRows.probeKey(REQUEST), "{\"gateway\":\"gateway-2/1\"}");
		assertThat(claim()).isFalse();
		GatewayHarness.await(() -> judge() instanceof QuarantineDecision.Quarantined);
	}

	// The response to a claim is lost although its row was written. Nothing was sent, and
	// without giving the probe back the request would never get another one.
	@Test
	void shouldGiveBackProbeWhenResponseToClaimIsLost() {
		crashSimultaneously();
		follow();
		this.losingResponses = true;
		assertThat(claim()).isFalse();
		this.losingResponses = false;
		GatewayHarness.await(() -> !this.rows.rows(CrashRows.TABLE).containsKey(CrashRows.probeKey(REQUEST)));
		GatewayHarness.await(this::claim);
	}

	// A probe that no server received is given back while the store is unavailable.
	@Test
	void shouldGiveBackProbeWhenStoreIsAvailableAgain() {
		crashSimultaneously();
		follow();
		assertThat(claim()).isTrue();
		this.rows.setUnavailable(true);
		this.control.post((_) -> this.records.probes().giveBack(REQUEST));
		GatewayHarness.await(() -> this.rows.rejectedCommits(CrashRows.TABLE) > 0);
		this.rows.setUnavailable(false);
		GatewayHarness.await(() -> !this.rows.rows(CrashRows.TABLE).containsKey(CrashRows.probeKey(REQUEST)));
	}

	// -- helpers

	private void crashSimultaneously() {
		for (int i = 0; i < 3; i++) {
			put(evidence(i, State.CONFIRMED, i));
		}
	}

	private void follow() {
		follow((_, reply) -> reply.accept(Liveness.DOWN));
	}

	private void follow(BiConsumer<BackendServer, Consumer<Liveness>> check) {
		this.records = new CrashRecords(store(), new BackendTable(), this.control, "gateway-1/1", new Servers(check));
		TableWatch watch = TableWatch.of(this.rows, CrashRows.TABLE, GatewayHarness.table(),
				new PeerTables(this.loops, List::of), FreshnessLimits.defaults(), this.records.listener());
		this.ticking.dispose();
		this.ticking = GatewayHarness.ticking(watch);
		GatewayHarness.await(this.records::isLoaded);
	}

	private boolean claim() {
		CompletableFuture<Boolean> granted = new CompletableFuture<>();
		this.control.post((_) -> this.records.probes().claim(REQUEST, granted::complete));
		return granted.join();
	}

	private void breakConnection(int number) {
		this.control.post((now) -> this.records.connectionBroke(CALL, server(number), now));
	}

	private static BackendServer server(int number) {
		return new BackendServer("s" + number, 0, "app", "v1", "127.0.0.1:9", "a", 8, false, false, 0);
	}

	private QuarantineDecision judge() {
		return judge(CALL);
	}

	private QuarantineDecision judge(CallSuspects call) {
		CompletableFuture<QuarantineDecision> response = new CompletableFuture<>();
		this.control.post((_) -> response.complete(this.records.judge(call)));
		return response.join();
	}

	private void put(Evidence evidence) {
		this.rows.put(CrashRows.TABLE, CrashRows.key(evidence.crash()),
				new String(CrashRows.write(evidence, "gateway-9/1")));
	}

	private static Evidence evidence(int server, State state, long atMillis) {
		return Evidence.against(REQUEST, new Incarnation("s" + server, 0), state, atMillis);
	}

	private static Crash crash(int server) {
		return new Crash(REQUEST, new Incarnation("s" + server, 0));
	}

	// Executes each commit but can lose its response.
	private RowStore store() {
		return new RowStore() {
			@Override
			public Mono<Outcome> commit(Commit commit) {
				if (CrashRecordsTests.this.commits.getAndIncrement() == 0) {
					CrashRecordsTests.this.otherGateway.run();
				}
				return CrashRecordsTests.this.rows.commit(commit).flatMap((outcome) -> response(outcome));
			}

			@Override
			public Mono<Page> read(Range range) {
				return CrashRecordsTests.this.rows.read(range);
			}

			@Override
			public Mono<Page> changes(String table, long since, Duration wait) {
				return CrashRecordsTests.this.rows.changes(table, since, wait);
			}
		};
	}

	private <T> Mono<T> response(T value) {
		return this.losingResponses
				? Mono.error(StoreException.of(Reason.UNREACHABLE, Verdict.mayHaveRun(), "no response"))
				: Mono.just(value);
	}

	/**
	 * Servers whose liveness a test determines.
	 *
	 * @param check receives each check and where to send what was found
	 */
	private record Servers(BiConsumer<BackendServer, Consumer<Liveness>> check) implements CrashRecords.Callbacks {

		@Override
		public void checkAlive(BackendServer server, Consumer<Liveness> reply) {
			this.check.accept(server, reply);
		}

		@Override
		public void quarantineChanged() {
			// No calls to end.
		}

		@Override
		public void count(String name) {
			// Metrics are not checked.
		}

	}

}
