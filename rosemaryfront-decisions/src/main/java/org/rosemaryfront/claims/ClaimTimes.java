package org.rosemaryfront.claims;

/**
 * The times of a claimed call, in milliseconds since its arrival unless said otherwise.
 *
 * @param callMillis when the caller has its final answer at the latest
 * @param storeMillis the part of it kept for storing the outcome
 * @param sendMillis after which the call is not sent any more
 * @param waitMillis how long a repeat waits for the running call
 * @param pollMillis the time between two looks of a waiting repeat
 * @param retryMillis the time before a failed settling write is tried again; it doubles
 * up to sixteen times this
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
	 * When the attempt at a backend server is given up.
	 * @return the time since the arrival, in milliseconds
	 */
	public long runMillis() {
		return this.callMillis - this.storeMillis;
	}

}
