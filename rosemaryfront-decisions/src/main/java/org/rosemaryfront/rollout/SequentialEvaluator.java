package org.rosemaryfront.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Compares both versions with sequential likelihood-ratio tests. Each call of the
 * candidate version adds the log-likelihood ratio of a worse version to one that equals
 * the baseline. The cumulative sum (CUSUM) is reset when it falls below zero, so that a
 * version that becomes worse later is detected as soon as one that is worse from the
 * start. Each route is tested on its own, and all routes together.
 */
public final class SequentialEvaluator implements RolloutEvaluator {

	/**
	 * The minimum increase in the share of failed or slow calls that the tests are to
	 * detect.
	 */
	private static final double MIN_DETECTED_INCREASE = 0.2;

	/** The cumulative sum, in nats, at which the candidate is worse. */
	private static final double FAILING_NATS = 12;

	/** The cumulative sum, in nats, from which on the candidate cannot be accepted. */
	private static final double INCONCLUSIVE_NATS = 4;

	/**
	 * The sum without resets, in nats, at or below which the candidate can be accepted.
	 */
	private static final double PASSING_NATS = -4;

	/** The minimum number of candidate calls before the candidate can be accepted. */
	private static final long MIN_CALLS = 30;

	/**
	 * The number of candidate calls of a route from which on the route's own sums must
	 * not indicate a worse version.
	 */
	private static final long MIN_ROUTE_CALLS = 8;

	/** The factor by which the weight of the baseline calls decays per second. */
	private static final double DECAY_PER_SECOND = 0.75;

	/**
	 * The prior for the baseline: 10 calls, 1 of them failed or slow, so that the share
	 * is defined before any call has been observed.
	 */
	private static final double PRIOR_CALLS = 10;

	private static final double PRIOR_FAILING_CALLS = 1;

	private static final double MAX_BASELINE_FAILING_SHARE = 0.6;

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private final Map<String, LikelihoodRatioTest> routes = new HashMap<>();

	private final LikelihoodRatioTest all = new LikelihoodRatioTest();

	private boolean failing;

	private SequentialEvaluator() {
	}

	/**
	 * Creates an instance without any observed calls.
	 * @return the instance
	 */
	public static SequentialEvaluator of() {
		return new SequentialEvaluator();
	}

	@Override
	public void observe(String route, Tally calls, long nowNanos) {
		LikelihoodRatioTest test = this.routes.computeIfAbsent(route, (_) -> new LikelihoodRatioTest());
		test.addBaseline(calls.baseline(), nowNanos);
		this.all.addBaseline(calls.baseline(), nowNanos);
		double baselineShare = test.baselineFailingShare();
		test.addCandidate(calls.candidate(), baselineShare);
		// The route's share is used since the versions may get different mixes of routes.
		this.all.addCandidate(calls.candidate(), baselineShare);
		this.failing |= test.cumulativeSum >= FAILING_NATS || this.all.cumulativeSum >= FAILING_NATS;
	}

	@Override
	public Verdict verdict() {
		if (this.failing) {
			return Verdict.BAD;
		}
		boolean routesPassing = this.routes.values()
			.stream()
			.allMatch((route) -> route.candidateCalls < MIN_ROUTE_CALLS
					|| (route.logLikelihoodRatio < 0 && route.cumulativeSum < INCONCLUSIVE_NATS));
		boolean passing = this.all.candidateCalls >= MIN_CALLS && this.all.logLikelihoodRatio <= PASSING_NATS
				&& this.all.cumulativeSum < INCONCLUSIVE_NATS && routesPassing;
		return passing ? Verdict.GOOD : Verdict.OPEN;
	}

	/** The test statistics of one route, or of all routes together. */
	private static final class LikelihoodRatioTest {

		private double baselineCalls;

		private double baselineFailingCalls;

		private long decayedNanos;

		private long candidateCalls;

		/** The cumulative sum, reset when it falls below zero. */
		private double cumulativeSum;

		/** The sum over all calls, without resets. */
		private double logLikelihoodRatio;

		private void addBaseline(Tally.Counts counts, long nowNanos) {
			double decay = Math.pow(DECAY_PER_SECOND, Math.max(0, nowNanos - this.decayedNanos) / NANOS_PER_SECOND);
			this.decayedNanos = nowNanos;
			this.baselineCalls = this.baselineCalls * decay + counts.calls();
			this.baselineFailingCalls = this.baselineFailingCalls * decay + Math.min(counts.calls(), counts.failing());
		}

		private double baselineFailingShare() {
			return Math.min(MAX_BASELINE_FAILING_SHARE,
					(this.baselineFailingCalls + PRIOR_FAILING_CALLS) / (this.baselineCalls + PRIOR_CALLS));
		}

		private void addCandidate(Tally.Counts counts, double baselineShare) {
			double worseShare = baselineShare + MIN_DETECTED_INCREASE;
			double step = counts.failing() * Math.log(worseShare / baselineShare)
					+ counts.passing() * Math.log((1 - worseShare) / (1 - baselineShare));
			this.candidateCalls += counts.calls();
			this.logLikelihoodRatio += step;
			this.cumulativeSum = Math.max(0, this.cumulativeSum + step);
		}

	}

}
