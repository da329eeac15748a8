package org.rosemaryfront.traffic;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Records when chunks of a response were received, to diagnose slow streams. Times are on
 * the monotonic clock, in nanoseconds.
 */
final class AnswerTimes {

	private OptionalLong firstNanos = OptionalLong.empty();

	private long lastNanos;

	private long longestPauseNanos;

	/**
	 * Records that a chunk was received.
	 * @param nowNanos the current time
	 */
	void bytes(long nowNanos) {
		if (this.firstNanos.isEmpty()) {
			this.firstNanos = OptionalLong.of(nowNanos);
		}
		else {
			this.longestPauseNanos = Math.max(this.longestPauseNanos, nowNanos - this.lastNanos);
		}
		this.lastNanos = nowNanos;
	}

	/**
	 * Returns the time to the first chunk.
	 * @param fromNanos when the call was received
	 * @return the time in milliseconds, -1 if no chunk was recorded
	 */
	long firstMillis(long fromNanos) {
		return this.firstNanos.isPresent() ? TimeUnit.NANOSECONDS.toMillis(this.firstNanos.getAsLong() - fromNanos)
				: -1;
	}

	/**
	 * Returns the longest time between two chunks.
	 * @return the time in milliseconds
	 */
	long longestPauseMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.longestPauseNanos);
	}

}
