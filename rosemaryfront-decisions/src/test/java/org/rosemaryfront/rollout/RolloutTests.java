package org.rosemaryfront.rollout;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.rollout.RolloutEvaluator.Verdict;
import org.rosemaryfront.rollout.RolloutPlan.ServerCounts;
import org.rosemaryfront.rollout.Tally.Counts;

import static org.assertj.core.api.Assertions.assertThat;

class RolloutTests {

	private static final RolloutOrder ORDER = new RolloutOrder("llm", "v2", 20_000, 5);

	private static final BackendServer BASELINE = server("s1", "v1");

	private static final BackendServer CANDIDATE = server("s2", "v2");

	private static final List<BackendServer> BOTH = List.of(BASELINE, CANDIDATE);

	private final Rollout rollout = Rollout.of(ORDER, 0.1);

	private static BackendServer server(String id, String version) {
		return new BackendServer(id, 1, "llm", version, "127.0.0.1:1", "a", 4, false, false, 0);
	}

	private boolean allows(BackendServer server, double draw, long millis) {
		return this.rollout.versionRules(BOTH, false, draw, TimeUnit.MILLISECONDS.toNanos(millis))
			.getFirst()
			.allows(server);
	}

	// -- where calls may go

	// A gateway that is partitioned from the holder of the duty lease does not learn that
	// the candidate was rolled back.
	@Test
	void shouldNotUseCandidateWhenAnnouncementExpired() {
		assertThat(allows(CANDIDATE, 0, 0)).isFalse();
		this.rollout.phaseAnnounced(Phase.TRIAL, 0);
		assertThat(allows(CANDIDATE, 0, 1_000)).isTrue();
		assertThat(allows(CANDIDATE, 0, 3_000)).isFalse();
		assertThat(allows(BASELINE, 0, 3_000)).isTrue();
	}

	@Test
	void shouldSendSmallShareToCandidateInTrialPhase() {
		this.rollout.phaseAnnounced(Phase.TRIAL, 0);
		assertThat(allows(CANDIDATE, 0.07, 0)).isTrue();
		assertThat(allows(CANDIDATE, 0.1, 0)).isFalse();
		assertThat(allows(BASELINE, 0.1, 0)).isTrue();
	}

	@Test
	void shouldSendRetryToBaselineOnly() {
		this.rollout.phaseAnnounced(Phase.TRIAL, 0);
		assertThat(this.rollout.versionRules(BOTH, true, 0, 0)).containsExactly(VersionRule.without("v2"));
	}

	@ParameterizedTest
	@EnumSource(Phase.class)
	void shouldAllowServersWhenAllRunOneVersion(Phase phase) {
		this.rollout.phaseAnnounced(phase, 0);
		assertThat(this.rollout.versionRules(List.of(CANDIDATE), false, 1, 0).getFirst().allows(CANDIDATE)).isTrue();
		assertThat(this.rollout.versionRules(List.of(BASELINE), false, 1, 0).getFirst().allows(BASELINE)).isTrue();
	}

	// The candidate servers that get calls in the trial phase run at the load that all
	// candidate servers will have later.
	@Test
	void shouldUseFewCandidateServersInTrialPhase() {
		this.rollout.phaseAnnounced(Phase.TRIAL, 0);
		List<BackendServer> servers = IntStream.range(0, 50)
			.mapToObj((i) -> server("n" + i, (i < 25) ? "v2" : "v1"))
			.toList();
		VersionRule trial = this.rollout.versionRules(servers, false, 0, 0).getFirst();
		assertThat(servers.stream().filter(trial::allows)).hasSize(2).allMatch(this.rollout::isCandidate);
	}

	@ParameterizedTest
	@CsvSource({ "TRIAL, true, false", "MOVING, false, true", "SUCCEEDED, false, true", "ROLLED_BACK, true, false" })
	void shouldCountServersOfVersionInService(Phase phase, boolean baseline, boolean candidate) {
		this.rollout.phaseAnnounced(phase, 0);
		assertThat(this.rollout.countsTowardsCapacity(BASELINE)).isEqualTo(baseline);
		assertThat(this.rollout.countsTowardsCapacity(CANDIDATE)).isEqualTo(candidate);
	}

	// After a process pause, the former holder of the duty lease announces an earlier
	// phase.
	@Test
	void shouldIgnoreEarlierPhase() {
		this.rollout.phaseAnnounced(Phase.ROLLED_BACK, 0);
		assertThat(this.rollout.phaseAnnounced(Phase.TRIAL, 0)).isFalse();
		assertThat(this.rollout.phaseAnnounced(Phase.SUCCEEDED, 0)).isFalse();
		assertThat(this.rollout.phase()).isEqualTo(Phase.ROLLED_BACK);
	}

	// -- verdict

	@Test
	void shouldStopUsingCandidateWhenOwnVerdictIsBad() {
		this.rollout.phaseAnnounced(Phase.TRIAL, 0);
		this.rollout.recordReport("g1", Map.of("quotes", new Tally(new Counts(30, 15), new Counts(400, 20))), 0);
		assertThat(this.rollout.verdict()).isEqualTo(Verdict.BAD);
		assertThat(allows(CANDIDATE, 0, 0)).isFalse();
	}

	// If each report added its totals once more, the same calls would add up to a
	// verdict.
	@Test
	void shouldCountCallsOnceWhenReportIsRepeated() {
		Map<String, Tally> totals = Map.of("quotes", new Tally(new Counts(3, 2), new Counts(100, 5)));
		for (int i = 0; i < 50; i++) {
			this.rollout.recordReport("g1", totals, i);
		}
		assertThat(this.rollout.verdict()).isEqualTo(Verdict.OPEN);
	}

	@Test
	void shouldNotRejectCandidateWhenBothVersionsFail() {
		for (int second = 0; second < 10; second++) {
			long failing = (second > 3 && second < 7) ? 9 : 1;
			this.rollout.recordReport("g" + second,
					Map.of("quotes", new Tally(new Counts(20, failing), new Counts(200, 10 * failing))),
					TimeUnit.SECONDS.toNanos(second));
		}
		assertThat(this.rollout.verdict()).isEqualTo(Verdict.GOOD);
	}

	// -- orders

	@ParameterizedTest
	@CsvSource({ "v2, 6, false", "v3, 6, true", "v3, 4, false" })
	void shouldReplaceOrderOnlyWhenNewerAndForOtherVersion(String to, long number, boolean added) {
		RolloutTable table = RolloutTable.empty(0.1);
		assertThat(table.addOrder(ORDER)).isTrue();
		assertThat(table.addOrder(new RolloutOrder("llm", to, 1_000, number))).isEqualTo(added);
	}

	@Test
	void shouldRestartRolloutWhenOrderedAgainAfterRollback() {
		RolloutTable table = RolloutTable.empty(0.1);
		table.addOrder(ORDER);
		table.find("llm").orElseThrow().phaseAnnounced(Phase.ROLLED_BACK, 0);
		assertThat(table.addOrder(new RolloutOrder("llm", "v2", 1_000, 6))).isTrue();
		assertThat(table.find("llm").orElseThrow().phase()).isEqualTo(Phase.TRIAL);
	}

	// -- phases

	@ParameterizedTest
	@CsvSource({ "TRIAL, OPEN, 1000, 20, 20, 9, ", "TRIAL, GOOD, 1000, 20, 20, 9, ",
			"TRIAL, GOOD, 16500, 20, 20, 9, MOVING", "TRIAL, GOOD, 16500, 5, 20, 9, ",
			"TRIAL, OPEN, 16500, 20, 20, 9, ", "TRIAL, OPEN, 19500, 20, 20, 9, ROLLED_BACK",
			"TRIAL, BAD, 1000, 20, 20, 9, ROLLED_BACK", "TRIAL, OPEN, 1000, 20, 0, 0, SUCCEEDED",
			"TRIAL, OPEN, 30000, 0, 0, 0, ROLLED_BACK", "MOVING, GOOD, 17000, 20, 20, 9, ",
			"MOVING, GOOD, 17000, 20, 20, 0, SUCCEEDED", "MOVING, GOOD, 19500, 20, 20, 9, SUCCEEDED",
			"MOVING, BAD, 17000, 20, 20, 9, ROLLED_BACK", "MOVING, GOOD, 17000, 0, 20, 0, ROLLED_BACK",
			"SUCCEEDED, BAD, 17000, 20, 0, 0, ", "ROLLED_BACK, GOOD, 17000, 20, 20, 0, " })
	void shouldPlanNextPhase(Phase phase, Verdict verdict, long sinceMillis, int candidate, int baseline,
			int baselineCalls, Phase next) {
		assertThat(RolloutPlan.next(ORDER, phase, verdict, sinceMillis,
				new ServerCounts(candidate, baseline, baselineCalls)))
			.isEqualTo(Optional.ofNullable(next));
	}

}
