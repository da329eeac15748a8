package org.rosemaryfront.rollout;

import java.util.List;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.rosemaryfront.rollout.RolloutSimulation.FailureModel;
import org.rosemaryfront.rollout.RolloutSimulation.Summary;

import static org.assertj.core.api.Assertions.assertThat;

/** Simulated roll-outs of healthy and failing candidates with many gateways. */
class RolloutSimulationTests {

	private static final double SHARE = 0.1;

	private static final long SLACK = 50;

	private static final RolloutOrder ORDER = new RolloutOrder("llm", "v2", 20_000, 1);

	private static final double CALLS_PER_SECOND = 200;

	private static final int SEEDS = 40;

	private static final int NEVER = -1;

	static Summary run(int gateways, int seeds, FailureModel failureModel, long killHolderMillis, long killAllMillis,
			Supplier<RolloutEvaluator> evaluator) {
		List<RolloutSimulation> simulations = LongStream.range(0, seeds).mapToObj((seed) -> {
			RolloutSimulation simulation = new RolloutSimulation(seed, gateways, CALLS_PER_SECOND, ORDER, SHARE,
					failureModel, evaluator);
			simulation.run(killHolderMillis, killAllMillis);
			return simulation;
		}).toList();
		return Summary.of(simulations, SLACK);
	}

	static Stream<Arguments> sizes() {
		return Stream.of(Arguments.arguments(9, SEEDS), Arguments.arguments(68, 8));
	}

	@ParameterizedTest
	@MethodSource("sizes")
	void shouldCompleteRolloutInTimeWhenCandidateIsHealthy(int gateways, int seeds) {
		assertThat(run(gateways, seeds, FailureModel.NONE, NEVER, NEVER, SequentialEvaluator::of).rolledBack())
			.isZero();
	}

	static Stream<Arguments> bad() {
		return Stream.of(Arguments.arguments("always", FailureModel.of(0.3)),
				Arguments.arguments("half", FailureModel.of(0.5)),
				Arguments.arguments("late", FailureModel.from(8_000, 0.3)),
				Arguments.arguments("one route", FailureModel.onRoute(0.4)));
	}

	// Guards against a failing candidate that gets all calls, or more than its allowed
	// share before the rollback.
	@ParameterizedTest(name = "{0}")
	@MethodSource("bad")
	void shouldRollBackWithinExposureLimitWhenCandidateFails(String name, FailureModel failureModel) {
		Summary summary = run(9, SEEDS, failureModel, NEVER, NEVER, SequentialEvaluator::of);
		assertThat(summary.succeeded()).as(name).isZero();
		assertThat(summary.worstExposure()).isLessThan(SHARE);
		assertThat(summary.lateCandidateCalls()).isZero();
	}

	// When the holder of the duty lease or all gateways are killed, the calls that they
	// have counted are lost.
	@ParameterizedTest(name = "{0}")
	@MethodSource("bad")
	void shouldRollBackFailingCandidateWhenGatewaysAreKilled(String name, FailureModel failureModel) {
		for (long killMillis : new long[] { 1_000, 9_000, 15_500 }) {
			Summary holder = run(9, SEEDS / 4, failureModel, killMillis, NEVER, SequentialEvaluator::of);
			Summary all = run(9, SEEDS / 4, failureModel, NEVER, killMillis, SequentialEvaluator::of);
			assertThat(holder.succeeded() + all.succeeded()).as(name + " killed at " + killMillis).isZero();
			assertThat(Math.max(holder.worstExposure(), all.worstExposure())).isLessThan(SHARE);
		}
	}

}
