package org.rosemaryfront.moves;

import org.rosemaryfront.dispatch.BackendServer;

/**
 * A server that leaves.
 *
 * @param server the server
 * @param noticedNanos when this gateway learned of it, on the monotonic clock, in
 * nanoseconds
 * @param goneNanos when it is gone, on the same clock
 * @param runs the number of its runs of all gateways
 */
public record LeavingServer(BackendServer server, long noticedNanos, long goneNanos, int runs) {

	private static final double NANOS_PER_MILLI = 1_000_000;

	/**
	 * Returns how long the server runs on after the notice.
	 * @return the time in milliseconds
	 */
	double noticeMillis() {
		return (this.goneNanos - this.noticedNanos) / NANOS_PER_MILLI;
	}

	/**
	 * Returns the time that the server has left.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the time in milliseconds, negative once it is gone
	 */
	double remainingMillis(long nowNanos) {
		return (this.goneNanos - nowNanos) / NANOS_PER_MILLI;
	}

}
