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
import org.rosemaryfront.rollout.RolloutJudge.Verdict;
import org.rosemaryfront.rollout.RolloutPlan.Servers;
import org.rosemaryfront.rollout.Tally.Counts;

import static org.assertj.core.api.Assertions.assertThat;

class RolloutTests {

	private static final RolloutOrder ORDER = new RolloutOrder("llm", "v2", 20_000, 5);

	private static final BackendServer OLD = server("s1", "v1");

	private static final BackendServer FRESH = server("s2", "v2");

	private static final List<BackendServer> BOTH = List.of(OLD, FRESH);

	private final Rollout rollout = Rollout.of(ORDER, 0.1);

	private static BackendServer server(String id, String version) {
		return new BackendServer(id, 1, "llm", version, "127.0.0.1:1", "a", 4, false, false, 0);
	}

	private boolean uses(BackendServer server, double draw, long millis) {
		return this.rollout.versions(BOTH, false, draw, TimeUnit.MILLISECONDS.toNanos(millis))
			.getFirst()
			.allows(server);
	}

	// -- where calls may go

	// A gateway that is partitioned from the holder of the duty lease does not learn that
	// the candidate was rolled back.
	@Test
	void shouldSendNothingToNewVersionWithoutFreshWordOfHolder() {
		assertThat(uses(FRESH, 0, 0)).isFalse();
		this.rollout.said(Phase.TRIAL, 0);
		assertThat(uses(FRESH, 0, 1_000)).isTrue();
		assertThat(uses(FRESH, 0, 3_000)).isFalse();
		assertThat(uses(OLD, 0, 3_000)).isTrue();
	}

	@Test
	void shouldSendSmallPartToNewVersionOnTrial() {
		this.rollout.said(Phase.TRIAL, 0);
		assertThat(uses(FRESH, 0.07, 0)).isTrue();
		assertThat(uses(FRESH, 0.1, 0)).isFalse();
		assertThat(uses(OLD, 0.1, 0)).isTrue();
	}

	@Test
	void shouldSendCallAgainToOldVersionOnly() {
		this.rollout.said(Phase.TRIAL, 0);
		assertThat(this.rollout.versions(BOTH, true, 0, 0)).containsExactly(Versions.without("v2"));
	}

	@ParameterizedTest
	@EnumSource(Phase.class)
	void shouldUseWhatIsThereWhenAllServersAreOfOneVersion(Phase phase) {
		this.rollout.said(phase, 0);
		assertThat(this.rollout.versions(List.of(FRESH), false, 1, 0).getFirst().allows(FRESH)).isTrue();
		assertThat(this.rollout.versions(List.of(OLD), false, 1, 0).getFirst().allows(OLD)).isTrue();
	}

	// The candidate servers that get calls in the trial phase run at the load that all
	// candidate servers will have later.
	@Test
	void shouldBringFewNewServersToFullLoadOnTrial() {
		this.rollout.said(Phase.TRIAL, 0);
		List<BackendServer> servers = IntStream.range(0, 50)
			.mapToObj((i) -> server("n" + i, (i < 25) ? "v2" : "v1"))
			.toList();
		Versions trial = this.rollout.versions(servers, false, 0, 0).getFirst();
		assertThat(servers.stream().filter(trial::allows)).hasSize(2).allMatch(this.rollout::isFresh);
	}

	@ParameterizedTest
	@CsvSource({ "TRIAL, true, false", "MOVING, false, true", "SUCCEEDED, false, true", "ROLLED_BACK, true, false" })
	void shouldCountOnServersOfTheVersionThatHasTheService(Phase phase, boolean old, boolean fresh) {
		this.rollout.said(phase, 0);
		assertThat(this.rollout.counts(OLD)).isEqualTo(old);
		assertThat(this.rollout.counts(FRESH)).isEqualTo(fresh);
	}

	// After a process pause, the former holder of the duty lease announces an earlier
	// phase.
	@Test
	void shouldNeverGoBackToEarlierPhase() {
		this.rollout.said(Phase.ROLLED_BACK, 0);
		assertThat(this.rollout.said(Phase.TRIAL, 0)).isFalse();
		assertThat(this.rollout.said(Phase.SUCCEEDED, 0)).isFalse();
		assertThat(this.rollout.phase()).isEqualTo(Phase.ROLLED_BACK);
	}

	// -- verdict

	@Test
	void shouldStopByItselfWhenCallsSpeakAgainstNewVersion() {
		this.rollout.said(Phase.TRIAL, 0);
		this.rollout.counted("g1", Map.of("quotes", new Tally(new Counts(30, 15), new Counts(400, 20))), 0);
		assertThat(this.rollout.verdict()).isEqualTo(Verdict.BAD);
		assertThat(uses(FRESH, 0, 0)).isFalse();
	}

	// If each report added its totals once more, the same calls would add up to a
	// verdict.
	@Test
	void shouldCountCallsOfProcessOnce() {
		Map<String, Tally> told = Map.of("quotes", new Tally(new Counts(3, 2), new Counts(100, 5)));
		for (int i = 0; i < 50; i++) {
			this.rollout.counted("g1", told, i);
		}
		assertThat(this.rollout.verdict()).isEqualTo(Verdict.OPEN);
	}

	@Test
	void shouldNotBlameNewVersionForWhatBothDo() {
		for (int second = 0; second < 10; second++) {
			long bad = (second > 3 && second < 7) ? 9 : 1;
			this.rollout.counted("g" + second,
					Map.of("quotes", new Tally(new Counts(20, bad), new Counts(200, 10 * bad))),
					TimeUnit.SECONDS.toNanos(second));
		}
		assertThat(this.rollout.verdict()).isEqualTo(Verdict.GOOD);
	}

	// -- orders

	@ParameterizedTest
	@CsvSource({ "v2, 6, false", "v3, 6, true", "v3, 4, false" })
	void shouldTakeNewerOrderOfAnotherVersionOnly(String to, long number, boolean taken) {
		RolloutTable table = RolloutTable.empty(0.1);
		assertThat(table.ordered(ORDER)).isTrue();
		assertThat(table.ordered(new RolloutOrder("llm", to, 1_000, number))).isEqualTo(taken);
	}

	@Test
	void shouldTryVersionAnewWhenItIsOrderedOnceMore() {
		RolloutTable table = RolloutTable.empty(0.1);
		table.ordered(ORDER);
		table.find("llm").orElseThrow().said(Phase.ROLLED_BACK, 0);
		assertThat(table.ordered(new RolloutOrder("llm", "v2", 1_000, 6))).isTrue();
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
	void shouldPlanNextPhase(Phase phase, Verdict verdict, long sinceMillis, int fresh, int old, int oldCalls,
			Phase next) {
		assertThat(RolloutPlan.next(ORDER, phase, verdict, sinceMillis, new Servers(fresh, old, oldCalls)))
			.isEqualTo(Optional.ofNullable(next));
	}

}
