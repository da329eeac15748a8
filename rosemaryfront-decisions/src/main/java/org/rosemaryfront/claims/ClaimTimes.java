package org.rosemaryfront.claims;

/**
 * Time limits of a claimed call, in milliseconds since its arrival unless stated
 * otherwise.
 *
 * @param callMillis the deadline of the final response to the caller
 * @param storeMillis the part of callMillis reserved for storing the outcome
 * @param sendMillis the time after which the call is no longer sent
 * @param waitMillis how long a repeat waits for the outcome of an earlier request
 * @param pollMillis the time between two reads of the row by a waiting repeat
 * @param retryMillis the delay before the first retry of a failed settling write; it
 * doubles up to sixteen times this value
 */
public record ClaimTimes(long callMillis, long storeMillis, long sendMillis, long waitMillis, long pollMillis,
		long retryMillis) {

	public ClaimTimes {
		if (callMillis <= storeMillis || sendMillis > callMillis - storeMillis || waitMillis > callMillis) {
			throw new IllegalArgumentException("a call needs sendMillis <= callMillis - storeMillis and "
					+ "waitMillis <= callMillis, all greater than 0");
		}
	}

	/**
	 * Returns when the attempt at a backend server is aborted.
	 * @return the time since the arrival, in milliseconds
	 */
	public long runMillis() {
		return this.callMillis - this.storeMillis;
	}

}
