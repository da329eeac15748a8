package org.rosemaryfront.lease;

import java.time.Duration;

/**
 * The times of a lease, in nanoseconds.
 *
 * @param termNanos how long a written lease holds
 * @param marginNanos how long before the end of the term its holder stops; covers clocks
 * that run at different rates and the way of an order from the check to the wire
 * @param renewNanos the time between two renewals
 * @param readNanos the time between two reads of a process that does not hold it
 * @param retryNanos the time before a failed read or write is tried again
 * @param requestNanos the time after which an unanswered read or write counts as unknown
 */
public record LeaseTerms(long termNanos, long marginNanos, long renewNanos, long readNanos, long retryNanos,
		long requestNanos) {

	private static final int RENEWALS_PER_TERM = 4;

	private static final int RETRIES_PER_TERM = 20;

	public LeaseTerms {
		if (marginNanos < 0 || marginNanos >= termNanos) {
			throw new IllegalArgumentException("the margin must be shorter than the term");
		}
	}

	/**
	 * The times that follow from a term and its margin.
	 * @param term how long a written lease holds
	 * @param margin how long before its end the holder stops
	 * @return the times
	 */
	public static LeaseTerms of(Duration term, Duration margin) {
		long nanos = term.toNanos();
		return new LeaseTerms(nanos, margin.toNanos(), nanos / RENEWALS_PER_TERM, nanos / RENEWALS_PER_TERM,
				nanos / RETRIES_PER_TERM, nanos / RENEWALS_PER_TERM);
	}

}
