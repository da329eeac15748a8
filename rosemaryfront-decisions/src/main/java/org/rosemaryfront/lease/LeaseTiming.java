package org.rosemaryfront.lease;

import java.time.Duration;

/**
 * The durations that govern a lease, in nanoseconds.
 *
 * @param termNanos how long the lease is valid after it was written
 * @param marginNanos how long before the end of the term its holder stops acting; covers
 * clocks that run at different rates and the delay of an order between the check of the
 * lease and its sending
 * @param renewalIntervalNanos the interval between renewals
 * @param readIntervalNanos the interval between reads of a process that does not hold the
 * lease
 * @param retryIntervalNanos the delay before a failed read or write is retried
 * @param requestTimeoutNanos the time after which a read or write without a response is
 * treated as failed, a write with unknown outcome
 */
public record LeaseTiming(long termNanos, long marginNanos, long renewalIntervalNanos, long readIntervalNanos,
		long retryIntervalNanos, long requestTimeoutNanos) {

	private static final int RENEWALS_PER_TERM = 4;

	private static final int RETRIES_PER_TERM = 20;

	public LeaseTiming {
		if (marginNanos < 0 || marginNanos >= termNanos) {
			throw new IllegalArgumentException("the margin must not be negative and must be shorter than the term");
		}
	}

	/**
	 * Derives all durations from a term and its margin.
	 * @param term how long the lease is valid after it was written
	 * @param margin how long before the end of the term its holder stops acting
	 * @return the durations
	 */
	public static LeaseTiming of(Duration term, Duration margin) {
		long nanos = term.toNanos();
		return new LeaseTiming(nanos, margin.toNanos(), nanos / RENEWALS_PER_TERM, nanos / RENEWALS_PER_TERM,
				nanos / RETRIES_PER_TERM, nanos / RENEWALS_PER_TERM);
	}

}
