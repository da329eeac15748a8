package org.rosemaryfront.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Weighs each call of the new version by how much likelier it is of a bad version than of
 * one like the old one. A cumulative sum that starts anew at zero finds a version that
 * turns bad late as soon as one that is bad from the start. Routes are weighed one by one
 * and all together.
 */
public final class SequentialJudge implements RolloutJudge {

	/** How many more calls of a bad version are bad, as a share, at least. */
	private static final double WORSE = 0.2;

	/** The sum, in nats, at which a version is bad. */
	private static final double BAD_NATS = 12;

	/** The sum, in nats, from which on a version is not good. */
	private static final double DOUBT_NATS = 4;

	/** The sum of all calls, in nats, below which a version is good. */
	private static final double GOOD_NATS = -4;

	/** Calls of the new version before it can be good. */
	private static final long LEAST_CALLS = 30;

	/** Calls of a route from which on the route alone must not speak against it. */
	private static final long LEAST_ROUTE_CALLS = 8;

	/** How much of the old version's calls still counts a second later. */
	private static final double KEPT_A_SECOND = 0.75;

	/** What is believed of the old version before its calls are known. */
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
	 * A judge that knows no calls.
	 * @return the judge
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
		// By the route's share: the new version may get another mix of routes.
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

	/** The calls of one route, or of all. */
	private static final class Weighing {

		private double oldCalls;

		private double oldBad;

		private long oldNanos;

		private long calls;

		/** The sum since it last was zero. */
		private double sum;

		/** The sum of all calls. */
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
