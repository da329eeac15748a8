package org.rosemaryfront.rollout;

import java.util.HashMap;
import java.util.Map;

/**
 * How long calls of a route take at the old version, as this process sees it, to tell
 * which calls are slow.
 */
public final class LatencyReference {

	/** A call is slow that takes so many times the usual. */
	private static final double SLOW_FACTOR = 2.5;

	/** Calls of a route before any is called slow. */
	private static final int LEAST_CALLS = 5;

	/** The weight of the newest call. */
	private static final double NEWEST = 0.1;

	private final Map<String, Usual> routes = new HashMap<>();

	private LatencyReference() {
	}

	/**
	 * A reference that knows no calls.
	 * @return the reference
	 */
	public static LatencyReference empty() {
		return new LatencyReference();
	}

	/**
	 * Takes a call.
	 * @param route its route
	 * @param isFresh whether the new version had it
	 * @param ratio how long it took, against what was expected where something was
	 * @return whether it was slow
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

	/** The mean of the logarithms of the old version's times. */
	private static final class Usual {

		private int calls;

		private double mean;

		private void add(double log) {
			this.calls++;
			this.mean += Math.max(NEWEST, 1.0 / this.calls) * (log - this.mean);
		}

	}

}
