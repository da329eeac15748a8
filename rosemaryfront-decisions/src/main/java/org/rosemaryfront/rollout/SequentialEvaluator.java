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
public final class SequentialJudge implements RolloutJudge {

	/**
	 * The minimum increase in the share of failed or slow calls that the tests are to
	 * detect.
	 */
	private static final double WORSE = 0.2;

	/** The cumulative sum, in nats, at which the candidate is worse. */
	private static final double BAD_NATS = 12;

	/** The cumulative sum, in nats, from which on the candidate cannot be accepted. */
	private static final double DOUBT_NATS = 4;

	/**
	 * The sum without resets, in nats, at or below which the candidate can be accepted.
	 */
	private static final double GOOD_NATS = -4;

	/** The minimum number of candidate calls before the candidate can be accepted. */
	private static final long LEAST_CALLS = 30;

	/**
	 * The number of candidate calls of a route from which on the route's own sums must
	 * not indicate a worse version.
	 */
	private static final long LEAST_ROUTE_CALLS = 8;

	/** The factor by which the weight of the baseline calls decays per second. */
	private static final double KEPT_A_SECOND = 0.75;

	/**
	 * The prior for the baseline: 10 calls, 1 of them failed or slow, so that the share
	 * is defined before any call has been observed.
	 */
	private static final double PRIOR_CALLS = 10;

	private static final double PRIOR_BAD = 1;

	private static final double MOST_BAD_SHARE = 0.6;

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private final Map<String, Weighing> routes = new HashMap<>();

	private final Weighing all = new Weighing();

	private boolean bad;

	private SequentialJudge() {
	}

	/**
	 * Creates an instance without any observed calls.
	 * @return the instance
	 */
	public static SequentialJudge of() {
		return new SequentialJudge();
	}

	@Override
	public void observe(String route, Tally calls, long nowNanos) {
		Weighing weighing = this.routes.computeIfAbsent(route, (_) -> new Weighing());
		weighing.old(calls.old(), nowNanos);
		this.all.old(calls.old(), nowNanos);
		double share = weighing.oldBadShare();
		weighing.fresh(calls.fresh(), share);
		// The route's share is used since the versions may get different mixes of routes.
		this.all.fresh(calls.fresh(), share);
		this.bad |= weighing.sum >= BAD_NATS || this.all.sum >= BAD_NATS;
	}

	@Override
	public Verdict verdict() {
		if (this.bad) {
			return Verdict.BAD;
		}
		boolean routesGood = this.routes.values()
			.stream()
			.allMatch((route) -> route.calls < LEAST_ROUTE_CALLS || (route.nats < 0 && route.sum < DOUBT_NATS));
		boolean good = this.all.calls >= LEAST_CALLS && this.all.nats <= GOOD_NATS && this.all.sum < DOUBT_NATS
				&& routesGood;
		return good ? Verdict.GOOD : Verdict.OPEN;
	}

	/** The test statistics of one route, or of all routes together. */
	private static final class Weighing {

		private double oldCalls;

		private double oldBad;

		private long oldNanos;

		private long calls;

		/** The cumulative sum, reset when it falls below zero. */
		private double sum;

		/** The sum over all calls, without resets. */
		private double nats;

		private void old(Tally.Counts counts, long nowNanos) {
			double kept = Math.pow(KEPT_A_SECOND, Math.max(0, nowNanos - this.oldNanos) / NANOS_PER_SECOND);
			this.oldNanos = nowNanos;
			this.oldCalls = this.oldCalls * kept + counts.calls();
			this.oldBad = this.oldBad * kept + Math.min(counts.calls(), counts.bad());
		}

		private double oldBadShare() {
			return Math.min(MOST_BAD_SHARE, (this.oldBad + PRIOR_BAD) / (this.oldCalls + PRIOR_CALLS));
		}

		private void fresh(Tally.Counts counts, double oldShare) {
			double worse = oldShare + WORSE;
			double step = counts.bad() * Math.log(worse / oldShare)
					+ counts.good() * Math.log((1 - worse) / (1 - oldShare));
			this.calls += counts.calls();
			this.nats += step;
			this.sum = Math.max(0, this.sum + step);
		}

	}

}
