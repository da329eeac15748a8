package org.rosemaryfront.gateway;

import java.util.concurrent.TimeUnit;

/**
 * Determines which calls a process accepts while it stops: all calls while callers may
 * still be directed to it, then only calls that finish before the process ends. Times are
 * on the monotonic clock, in nanoseconds.
 *
 * @param openUntilNanos until when all calls are accepted
 * @param endsNanos when the process ends
 */
record StopTimes(long openUntilNanos, long endsNanos) {

	/**
	 * Time that the response to a timed-out call takes to reach its caller, in
	 * milliseconds.
	 */
	private static final long RESPONSE_MARGIN_MILLIS = 200;

	/**
	 * Creates the times of a stop from the time of the signal. Taken from the next check
	 * of the remaining calls instead, up to 50 ms later, they would admit a call that is
	 * cut off when the process ends.
	 * @param signalNanos when the signal arrived
	 * @param openMillis how long all calls are accepted after the signal, in milliseconds
	 * @param endsMillis how long the process runs after the signal, in milliseconds
	 * @return the times
	 */
	static StopTimes of(long signalNanos, long openMillis, long endsMillis) {
		return new StopTimes(signalNanos + TimeUnit.MILLISECONDS.toNanos(openMillis),
				signalNanos + TimeUnit.MILLISECONDS.toNanos(endsMillis));
	}

	/**
	 * Returns these times with an earlier end.
	 * @param nanos when the process ends
	 * @return the times
	 */
	StopTimes endingAt(long nanos) {
		return new StopTimes(Math.min(this.openUntilNanos, nanos), nanos);
	}

	/**
	 * Returns whether a call is accepted.
	 * @param timeoutMillis the timeout of the call, in milliseconds
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return false if the process may end before the call does
	 */
	boolean accepts(long timeoutMillis, long nowNanos) {
		long leftMillis = TimeUnit.NANOSECONDS.toMillis(this.endsNanos - nowNanos) - RESPONSE_MARGIN_MILLIS;
		return nowNanos - this.openUntilNanos < 0 || timeoutMillis <= leftMillis;
	}

}
