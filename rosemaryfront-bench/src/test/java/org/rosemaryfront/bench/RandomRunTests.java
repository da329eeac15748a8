package org.rosemaryfront.bench;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Long randomised runs of the decisions over stand-in engines with seeded faults. The run
 * itself checks the invariants: tokens neither missing nor repeated, exactly one final
 * answer a request, no new work to a server known to be leaving.
 *
 * <p>
 * {@code -Dsoak.seeds=N -Dsoak.seed=S} runs N seeds from S on; a failure names its seed.
 */
class RandomRunTests {

	private static final long DURATION = 15 * VirtualTime.SECOND;

	private static final long NEW_WORK_BOUND_MILLIS = 1_100;

	static LongStream seeds() {
		return LongStream.range(0, Integer.getInteger("soak.seeds", 6)).map((i) -> i + Long.getLong("soak.seed", 1));
	}

	@ParameterizedTest(name = "seed {0}")
	@MethodSource("seeds")
	void shouldEndEveryRequestOnceWhateverFails(long seed) {
		for (Policy policy : List.of(Policy.BASELINE, Policy.CANDIDATE)) {
			Run run = new Run(plan(seed), policy, seed).execute();
			assertThat(run.journal.violations()).as("%s, seed %d", policy.name(), seed).isEmpty();
			assertThat(run.journal.latestToLeavingNanos() / VirtualTime.MILLI).as("seed %d", seed)
				.isLessThan(NEW_WORK_BOUND_MILLIS);
		}
	}

	@ParameterizedTest(name = "seed {0}")
	@MethodSource("seeds")
	void shouldRefuseAfterTheFirstTokenOnlyWhenOutOfTime(long seed) {
		Run run = new Run(plan(seed), Policy.CANDIDATE, seed).execute();
		assertThat(run.answers.values()).filteredOn((answer) -> answer.refusal.isPresent() && answer.tokens > 0)
			.allSatisfy((answer) -> assertThat(answer.refusedNanos).as("%s, seed %d", answer.item.id(), seed)
				.isGreaterThan(answer.item.spec().answerDeadlineNanos()));
	}

	@Test
	void shouldDecideTheSameFromTheSameSeed() {
		List<String> digests = IntStream.range(0, 2)
			.mapToObj((_) -> new Run(plan(7), Policy.CANDIDATE, 7).execute().journal.digest())
			.toList();
		assertThat(digests.get(0)).isEqualTo(digests.get(1));
		assertThat(new Run(plan(8), Policy.CANDIDATE, 8).execute().journal.digest()).isNotEqualTo(digests.get(0));
	}

	private static RunPlan plan(long seed) {
		Deployment deployment = Deployment.tynkarnia();
		return new RunPlan(deployment, Machine.spread(5, deployment.zones(), new double[] { 1, 1, 1 }, 8), 3,
				Work.tynkarnia(deployment, 9, DURATION, seed), DURATION, new FaultPlan(seed));
	}

}
