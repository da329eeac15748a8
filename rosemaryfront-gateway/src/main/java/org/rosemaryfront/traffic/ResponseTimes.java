package org.rosemaryfront.traffic;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Records when chunks of a response were received, to diagnose slow streams. Times are on
 * the monotonic clock, in nanoseconds.
 */
final class ResponseTimes {

	private OptionalLong firstChunkNanos = OptionalLong.empty();

	private long lastChunkNanos;

	private long longestPauseNanos;

	/**
	 * Records that a chunk was received.
	 * @param nowNanos the current time
	 */
	void chunkReceived(long nowNanos) {
		if (this.firstChunkNanos.isEmpty()) {
			this.firstChunkNanos = OptionalLong.of(nowNanos);
		}
		else {
			this.longestPauseNanos = Math.max(this.longestPauseNanos, nowNanos - this.lastChunkNanos);
		}
		this.lastChunkNanos = nowNanos;
	}

	/**
	 * Returns the time to the first chunk.
	 * @param fromNanos when the call was received
	 * @return the time in milliseconds, -1 if no chunk was recorded
	 */
	long firstMillis(long fromNanos) {
		return this.firstChunkNanos.isPresent()
				? TimeUnit.NANOSECONDS.toMillis(this.firstChunkNanos.getAsLong() - fromNanos) : -1;
	}

	/**
	 * Returns the longest time between two chunks.
	 * @return the time in milliseconds
	 */
	long longestPauseMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.longestPauseNanos);
	}

}
