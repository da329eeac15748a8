package org.rosemaryfront.speeds;

import java.util.HashMap;
import java.util.Map;

/**
 * The response times of calls without a prompt at a typical server, by service.
 */
public final class TypicalTimes {

	/** The maximum weight of past calls, as a number of calls. */
	private static final int MAX_CALLS = 200;

	private final Map<String, Mean> means = new HashMap<>();

	/**
	 * Records a call.
	 * @param service the service
	 * @param millis the time that a typical server would have taken, in milliseconds,
	 * more than 0
	 */
	public void record(String service, double millis) {
		Mean mean = this.means.computeIfAbsent(service, (_) -> new Mean());
		mean.calls = Math.min(MAX_CALLS, mean.calls + 1);
		mean.logMillis += (Math.log(millis) - mean.logMillis) / mean.calls;
	}

	/**
	 * Returns the typical time of a service.
	 * @param service the service
	 * @param unknownMillis the time to return if no call was recorded, in milliseconds
	 * @return the geometric mean in milliseconds
	 */
	public double millis(String service, double unknownMillis) {
		Mean mean = this.means.get(service);
		return (mean != null) ? Math.exp(mean.logMillis) : unknownMillis;
	}

	private static final class Mean {

		double logMillis;

		int calls;

	}

}
