package org.rosemaryfront.rollout;

import java.util.HashMap;
import java.util.Map;

/**
 * Classifies calls as slow by comparison with the latency of the baseline version on the
 * same route, as observed by this process.
 */
public final class LatencyBaseline {

	/** The ratio to the baseline latency above which a call is slow. */
	private static final double SLOW_FACTOR = 2.5;

	/** The minimum number of baseline calls of a route before a call can be slow. */
	private static final int MIN_CALLS = 5;

	/** The minimum weight of the latest call in the moving average. */
	private static final double MIN_SMOOTHING_FACTOR = 0.1;

	private final Map<String, RouteBaseline> routes = new HashMap<>();

	private LatencyBaseline() {
	}

	/**
	 * Creates a reference without any calls.
	 * @return the reference
	 */
	public static LatencyBaseline empty() {
		return new LatencyBaseline();
	}

	/**
	 * Records a call and returns whether it was slow. Only calls of the baseline version
	 * change the reference.
	 * @param route the route of the call
	 * @param isCandidate whether the candidate version served it
	 * @param ratio the duration of the call, divided by the expected duration if there is
	 * one
	 * @return true if the call was slow
	 */
	public boolean recordCall(String route, boolean isCandidate, double ratio) {
		RouteBaseline baseline = this.routes.computeIfAbsent(route, (_) -> new RouteBaseline());
		double logRatio = Math.log(Math.max(ratio, Double.MIN_NORMAL));
		boolean slow = baseline.calls >= MIN_CALLS && logRatio > baseline.meanLog + Math.log(SLOW_FACTOR);
		if (!isCandidate) {
			baseline.add(logRatio);
		}
		return slow;
	}

	/** The moving average of the logarithms of the baseline version's durations. */
	private static final class RouteBaseline {

		private int calls;

		private double meanLog;

		private void add(double logRatio) {
			this.calls++;
			this.meanLog += Math.max(MIN_SMOOTHING_FACTOR, 1.0 / this.calls) * (logRatio - this.meanLog);
		}

	}

}
