package org.rosemaryfront.rollout;

import java.util.HashMap;
import java.util.Map;

/**
 * Classifies calls as slow by comparison with the latency of the baseline version on the
 * same route, as observed by this process.
 */
public final class LatencyReference {

	/** The ratio to the baseline latency above which a call is slow. */
	private static final double SLOW_FACTOR = 2.5;

	/** The minimum number of baseline calls of a route before a call can be slow. */
	private static final int LEAST_CALLS = 5;

	/** The minimum weight of the latest call in the moving average. */
	private static final double NEWEST = 0.1;

	private final Map<String, Usual> routes = new HashMap<>();

	private LatencyReference() {
	}

	/**
	 * Creates a reference without any calls.
	 * @return the reference
	 */
	public static LatencyReference empty() {
		return new LatencyReference();
	}

	/**
	 * Records a call and returns whether it was slow. Only calls of the baseline version
	 * change the reference.
	 * @param route the route of the call
	 * @param isFresh whether the candidate version served it
	 * @param ratio the duration of the call, divided by the expected duration if there is
	 * one
	 * @return true if the call was slow
	 */
	public boolean isSlow(String route, boolean isFresh, double ratio) {
		Usual usual = this.routes.computeIfAbsent(route, (_) -> new Usual());
		double log = Math.log(Math.max(ratio, Double.MIN_NORMAL));
		boolean slow = usual.calls >= LEAST_CALLS && log > usual.mean + Math.log(SLOW_FACTOR);
		if (!isFresh) {
			usual.add(log);
		}
		return slow;
	}

	/** The moving average of the logarithms of the baseline version's durations. */
	private static final class Usual {

		private int calls;

		private double mean;

		private void add(double log) {
			this.calls++;
			this.mean += Math.max(NEWEST, 1.0 / this.calls) * (log - this.mean);
		}

	}

}
