package org.rosemaryfront.quota;

import java.util.concurrent.TimeUnit;

/**
 * The fraction of a quota that a process admits within its first window, since it does
 * not know the use before its start.
 *
 * @param holdFraction the fraction of the first window after which the limit begins to
 * rise, evenly
 * @param endFraction the limit at the end of the first window, in quotas
 */
record StartLimit(double holdFraction, double endFraction) {

	/**
	 * The limit up to the rise, in quotas. Callers whose calls were cut off when all
	 * processes were killed retry immediately, so that it is above 0.
	 */
	static final double START_FRACTION = 0.06;

	/** What a kill of all processes may add to a quota, in quotas. */
	private static final double OVERUSE_FRACTION = 0.1;

	/**
	 * Returns the limit of a process whose predecessors admitted bursts. As long as no
	 * more of a window than a burst has passed, a whole quota may have been used within
	 * the window before. After that, the use in one burst right before the kill comes on
	 * top of what becomes available evenly.
	 * @param burstFraction the size of a burst, in quotas
	 * @return the limit
	 */
	static StartLimit behindBursts(double burstFraction) {
		return new StartLimit(burstFraction - OVERUSE_FRACTION, 1 + OVERUSE_FRACTION - burstFraction);
	}

	/**
	 * Returns the limit.
	 * @param runningNanos the time since the start, in nanoseconds
	 * @param windowNanos the window of quotas, in nanoseconds
	 * @return the limit in quotas, 1 after the first window
	 */
	double fraction(long runningNanos, long windowNanos) {
		double passed = runningNanos / (double) windowNanos;
		return (passed < 1) ? START_FRACTION + rise() * Math.max(0, passed - this.holdFraction) : 1;
	}

	/**
	 * Returns the time until the limit has risen during the first window.
	 * @param missingFraction the rise, in quotas
	 * @param runningNanos the time since the start, in nanoseconds
	 * @param windowNanos the window of quotas, in nanoseconds
	 * @return the time in milliseconds
	 */
	long waitMillis(double missingFraction, long runningNanos, long windowNanos) {
		double untilRiseNanos = Math.max(0, this.holdFraction * windowNanos - runningNanos);
		return TimeUnit.NANOSECONDS.toMillis((long) (untilRiseNanos + missingFraction * windowNanos / rise()));
	}

	private double rise() {
		return (this.endFraction - START_FRACTION) / (1 - this.holdFraction);
	}

}
