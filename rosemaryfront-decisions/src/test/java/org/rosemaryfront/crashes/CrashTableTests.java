package org.rosemaryfront.crashes;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rosemaryfront.crashes.Evidence.State;
import org.rosemaryfront.dispatch.BackendServer.Incarnation;

import static org.assertj.core.api.Assertions.assertThat;

class CrashTableTests {

	private static final RequestDigest HARMFUL = new RequestDigest(1, 1);

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private final CrashTable table = new CrashTable();

	// -- evidence against a request

	@ParameterizedTest
	@CsvSource({ "0, Allowed", "1, Allowed", "2, Allowed", "3, Quarantined", "4, Quarantined" })
	void shouldQuarantineRequestWhenThreeServersCrashed(int crashes, String decision) {
		crash(HARMFUL, crashes);
		assertThat(this.table.decide(HARMFUL).getClass().getSimpleName()).isEqualTo(decision);
		assertThat(this.table.isQuarantined(HARMFUL)).isEqualTo(decision.equals("Quarantined"));
	}

	@Test
	void shouldCountStartsOfOneServerSeparately() {
		for (int start = 0; start < 3; start++) {
			crash(HARMFUL, new Incarnation("s1", start), start * 1_000L);
		}
		assertThat(this.table.isQuarantined(HARMFUL)).isTrue();
	}

	// Live servers also truncate responses, and connections are reset: a server that
	// accepts a connection right after that has not crashed.
	@Test
	void shouldRemoveSuspectedCrashesWhenServersRespond() {
		for (int i = 0; i < 5; i++) {
			this.table.connectionLost(Evidence.against(HARMFUL, server(i), State.SUSPECTED, i * 1_000), i);
			this.table.serverResponded(server(i), i + 1, i + 1);
		}
		assertThat(this.table.decide(HARMFUL).servers()).isEmpty();
		assertThat(this.table.size()).isZero();
	}

	@Test
	void shouldExpireSuspectedCrashWhenItIsNotConfirmed() {
		this.table.connectionLost(Evidence.against(HARMFUL, server(1), State.SUSPECTED, 0), 0);
		this.table.expire(60 * SECOND);
		assertThat(this.table.size()).isZero();
	}

	// -- clearing of evidence

	@Test
	void shouldClearEvidenceWhenResponseIsComplete() {
		crash(HARMFUL, 2);
		this.table.clear(HARMFUL, SECOND);
		crash(HARMFUL, new Incarnation("later", 0), 9_000);
		assertThat(this.table.decide(HARMFUL)).isInstanceOf(QuarantineDecision.Allowed.class);
	}

	// A call that was sent before the connections broke may be completed from data that
	// had already been received.
	@ParameterizedTest
	@CsvSource({ "-1, 3", "1, 2" })
	void shouldClearCrashOnlyWhenLaterCallGetsResponse(long sentNanos, int remaining) {
		crash(HARMFUL, 3);
		this.table.serverResponded(server(0), sentNanos, SECOND);
		assertThat(this.table.decide(HARMFUL).servers()).hasSize(remaining);
	}

	// Updates may be reordered and duplicated: cleared evidence must stay cleared.
	@Test
	void shouldKeepEvidenceClearedWhenLateUpdatesArrive() {
		crash(HARMFUL, 3);
		this.table.clear(HARMFUL, SECOND);
		for (int i = 0; i < 3; i++) {
			this.table.receive(Evidence.against(HARMFUL, server(i), State.CONFIRMED, i * 1_000L), SECOND);
			this.table.rowRead(Evidence.against(HARMFUL, server(i), State.CONFIRMED, i * 1_000L), SECOND);
		}
		assertThat(this.table.isQuarantined(HARMFUL)).isFalse();
		// A row in an earlier state results from a delayed write and must be rewritten.
		assertThat(this.table.pendingWrites(10, SECOND)).hasSize(3)
			.allMatch((evidence) -> evidence.state() == State.CLEARED);
	}

	// -- probe

	@Test
	void shouldProbeRequestOnceWhenServersCrashedSimultaneously() {
		for (int i = 0; i < 3; i++) {
			crash(HARMFUL, server(i), 20L * i);
		}
		assertThat(this.table.decide(HARMFUL)).isInstanceOf(QuarantineDecision.Probe.class);
		assertThat(this.table.isQuarantined(HARMFUL)).isTrue();
		this.table.setProbeGranted(HARMFUL, true);
		assertThat(this.table.decide(HARMFUL)).isInstanceOf(QuarantineDecision.Quarantined.class);
	}

	// -- updates for the store and other processes

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void shouldQuarantineRequestWhenOthersObservedCrashes(boolean byStore) {
		for (int i = 0; i < 3; i++) {
			Evidence evidence = Evidence.against(HARMFUL, server(i), State.CONFIRMED, i * 1_000L);
			boolean changed = byStore ? this.table.rowRead(evidence, 0) : this.table.receive(evidence, 0);
			assertThat(changed).isTrue();
		}
		assertThat(this.table.isQuarantined(HARMFUL)).isTrue();
	}

	@Test
	void shouldReportCrashForLimitedTime() {
		crash(HARMFUL, 1);
		assertThat(this.table.updates(SECOND)).hasSize(1);
		assertThat(this.table.updates(5 * SECOND)).isEmpty();
	}

	// A harmless request is retried and answered before its only crash is written.
	@Test
	void shouldWriteNoRowWhenRetrySucceedsImmediately() {
		crash(HARMFUL, 1);
		assertThat(this.table.pendingWrites(10, 0)).isEmpty();
		this.table.clear(HARMFUL, SECOND / 10);
		assertThat(this.table.pendingWrites(10, 10 * SECOND)).isEmpty();
		this.table.expire(20 * SECOND);
		assertThat(this.table.size()).isZero();
	}

	@Test
	void shouldWriteAllCrashesImmediatelyWhenThereAreTwo() {
		crash(HARMFUL, 2);
		assertThat(this.table.pendingWrites(10, 0)).hasSize(2);
	}

	// The gateway that observed a crash may be unable to reach the store: the gateways
	// that received its report must write the row.
	@Test
	void shouldWriteReceivedCrashWhenStoreLacksIt() {
		Evidence evidence = Evidence.against(HARMFUL, server(1), State.CONFIRMED, 0);
		this.table.receive(evidence, 0);
		assertThat(this.table.pendingWrites(10, SECOND / 10)).isEmpty();
		assertThat(this.table.pendingWrites(10, SECOND)).containsExactly(evidence);
		this.table.writeFailed(evidence, SECOND);
		assertThat(this.table.pendingWrites(10, SECOND)).isEmpty();
		assertThat(this.table.pendingWrites(10, 2 * SECOND)).containsExactly(evidence);
		this.table.writeCommitted(evidence);
		assertThat(this.table.pendingWrites(10, 9 * SECOND)).isEmpty();
	}

	@Test
	void shouldRemoveEvidenceWhenRowsAreRemoved() {
		for (int i = 0; i < 3; i++) {
			this.table.rowRead(Evidence.against(HARMFUL, server(i), State.CONFIRMED, i * 1_000L), 0);
		}
		IntStream.range(0, 3).forEach((i) -> this.table.rowRemoved(new Crash(HARMFUL, server(i))));
		assertThat(this.table.decide(HARMFUL).servers()).isEmpty();
	}

	// -- bounds

	// With thousands of requests that have one crash each, the requests with the most
	// crashes must stay in the table.
	@Test
	void shouldEvictRequestsWithFewestCrashesWhenFull() {
		crash(HARMFUL, 3);
		crash(new RequestDigest(2, 2), 2);
		for (int i = 0; i < 20_000; i++) {
			crash(new RequestDigest(3, i), new Incarnation("other" + i, 0), i);
		}
		assertThat(this.table.size()).isLessThanOrEqualTo(4_096);
		assertThat(this.table.isQuarantined(HARMFUL)).isTrue();
		assertThat(this.table.decide(new RequestDigest(2, 2)).servers()).hasSize(2);
		assertThat(this.table.pendingWrites(50, SECOND)).hasSize(50)
			.contains(Evidence.against(HARMFUL, server(0), State.CONFIRMED, 0));
		assertThat(this.table.updates(SECOND)).hasSize(16);
	}

	// -- helpers

	private void crash(RequestDigest request, int servers) {
		IntStream.range(0, servers).forEach((i) -> crash(request, server(i), i * 1_000L));
	}

	private void crash(RequestDigest request, Incarnation server, long atMillis) {
		this.table.connectionLost(Evidence.against(request, server, State.SUSPECTED, atMillis), 0);
		List<Evidence> confirmed = this.table.serverCrashed(server, 0);
		assertThat(confirmed).extracting((evidence) -> evidence.crash().suspect()).contains(request);
	}

	private static Incarnation server(int number) {
		return new Incarnation("s" + number, 0);
	}

}
