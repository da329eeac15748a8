package org.rosemaryfront.gateway;

import java.util.concurrent.TimeUnit;

/**
 * Which calls a process takes while it stops: all as long as callers may still be sent
 * here, then those that end before the process does. Times are on the monotonic clock, in
 * nanoseconds.
 *
 * @param openUntilNanos until when all calls are taken
 * @param endsNanos when the process ends
 */
record StopTimes(long openUntilNanos, long endsNanos) {

	/**
	 * What the answer of a call's timeout takes to reach its caller, in milliseconds.
	 */
	private static final long END_MARGIN_MILLIS = 200;

	/**
	 * The times of a stop. They are fixed when the signal comes: set at the next look at
	 * what is left, up to 50 ms later, they let a call through that was cut at the end.
	 * @param signalNanos when the signal came
	 * @param openMillis how long all calls are taken, in milliseconds
	 * @param endsMillis how long the process has, in milliseconds
	 * @return the times
	 */
	static StopTimes of(long signalNanos, long openMillis, long endsMillis) {
		return new StopTimes(signalNanos + TimeUnit.MILLISECONDS.toNanos(openMillis),
				signalNanos + TimeUnit.MILLISECONDS.toNanos(endsMillis));
	}

	/**
	 * The same with an earlier end.
	 * @param nanos when the process ends
	 * @return the times
	 */
	StopTimes endingAt(long nanos) {
		return new StopTimes(Math.min(this.openUntilNanos, nanos), nanos);
	}

	/**
	 * Whether a call is taken.
	 * @param timeoutMillis how long it may take, in milliseconds
	 * @param nowNanos the time
	 * @return false when the process may end before it
	 */
	boolean accepts(long timeoutMillis, long nowNanos) {
		long leftMillis = TimeUnit.NANOSECONDS.toMillis(this.endsNanos - nowNanos) - END_MARGIN_MILLIS;
		return nowNanos - this.openUntilNanos < 0 || timeoutMillis <= leftMillis;
	}

}
