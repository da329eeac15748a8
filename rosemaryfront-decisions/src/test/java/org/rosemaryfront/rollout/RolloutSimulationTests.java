package org.rosemaryfront.rollout;

import java.util.List;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.rosemaryfront.rollout.RolloutFleet.Badness;
import org.rosemaryfront.rollout.RolloutFleet.Summary;

import static org.assertj.core.api.Assertions.assertThat;

/** Simulated roll-outs of healthy and failing candidates with many gateways. */
class RolloutFleetTests {

	private static final double SHARE = 0.1;

	private static final long SLACK = 50;

	private static final RolloutOrder ORDER = new RolloutOrder("llm", "v2", 20_000, 1);

	private static final double CALLS_PER_SECOND = 200;

	private static final int SEEDS = 40;

	private static final int NEVER = -1;

	static Summary play(int gateways, int seeds, Badness badness, long killHolderMillis, long killAllMillis,
			Supplier<RolloutJudge> judge) {
		List<RolloutFleet> fleets = LongStream.range(0, seeds).mapToObj((seed) -> {
			RolloutFleet fleet = new RolloutFleet(seed, gateways, CALLS_PER_SECOND, ORDER, SHARE, badness, judge);
			fleet.play(killHolderMillis, killAllMillis);
			return fleet;
		}).toList();
		return Summary.of(fleets, SLACK);
	}

	static Stream<Arguments> sizes() {
		return Stream.of(Arguments.arguments(9, SEEDS), Arguments.arguments(68, 8));
	}

	@ParameterizedTest
	@MethodSource("sizes")
	void shouldMoveToGoodVersionInTime(int gateways, int seeds) {
		assertThat(play(gateways, seeds, Badness.NONE, NEVER, NEVER, SequentialJudge::of).back()).isZero();
	}

	static Stream<Arguments> bad() {
		return Stream.of(Arguments.arguments("always", Badness.of(0.3)), Arguments.arguments("half", Badness.of(0.5)),
				Arguments.arguments("late", Badness.from(8_000, 0.3)),
				Arguments.arguments("one route", Badness.onRoute(0.4)));
	}

	// Guards against a failing candidate that gets all calls, or more than its allowed
	// share before the rollback.
	@ParameterizedTest(name = "{0}")
	@MethodSource("bad")
	void shouldTakeBadVersionBackBeforeManyCallersMeetIt(String name, Badness badness) {
		Summary summary = play(9, SEEDS, badness, NEVER, NEVER, SequentialJudge::of);
		assertThat(summary.good()).as(name).isZero();
		assertThat(summary.worstExposure()).isLessThan(SHARE);
		assertThat(summary.tooLate()).isZero();
	}

	// When the holder of the duty lease or all gateways are killed, the calls that they
	// have counted are lost.
	@ParameterizedTest(name = "{0}")
	@MethodSource("bad")
	void shouldKeepBadVersionFromServiceOverKills(String name, Badness badness) {
		for (long at : new long[] { 1_000, 9_000, 15_500 }) {
			Summary holder = play(9, SEEDS / 4, badness, at, NEVER, SequentialJudge::of);
			Summary all = play(9, SEEDS / 4, badness, NEVER, at, SequentialJudge::of);
			assertThat(holder.good() + all.good()).as(name + " killed at " + at).isZero();
			assertThat(Math.max(holder.worstExposure(), all.worstExposure())).isLessThan(SHARE);
		}
	}

}
