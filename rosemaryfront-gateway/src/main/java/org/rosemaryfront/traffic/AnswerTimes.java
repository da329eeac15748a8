package org.rosemaryfront.traffic;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * When the parts of an answer came, for whoever asks later why a stream was late. Times
 * are on the monotonic clock, in nanoseconds.
 */
final class AnswerTimes {

	private OptionalLong firstNanos = OptionalLong.empty();

	private long lastNanos;

	private long longestPauseNanos;

	/**
	 * Notes that a part came.
	 * @param nowNanos the time
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
	 * The time to the first part.
	 * @param fromNanos when the call came
	 * @return the time in milliseconds, -1 when the answer did not come in parts
	 */
	long firstMillis(long fromNanos) {
		return this.firstNanos.isPresent() ? TimeUnit.NANOSECONDS.toMillis(this.firstNanos.getAsLong() - fromNanos)
				: -1;
	}

	/**
	 * The longest time between two parts.
	 * @return the time in milliseconds
	 */
	long longestPauseMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.longestPauseNanos);
	}

}
