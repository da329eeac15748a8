package org.rosemaryfront.gateway;

import java.util.concurrent.TimeUnit;

/**
 * Detects from two clocks whether this process was paused or its VM suspended since the
 * last check. The monotonic clock advances while a process is paused but not while its VM
 * is suspended; the time of day advances in both cases.
 */
final class PauseWatch {

	/** Process pauses longer than this are reported, in milliseconds. */
	private static final long PAUSE_MILLIS = 700;

	/**
	 * Difference by which the time of day must advance more than the monotonic clock to
	 * show a suspension, in milliseconds; larger than a single clock adjustment.
	 */
	private static final long SUSPENDED_MILLIS = 500;

	private long lookedNanos;

	private long lookedMillis;

	PauseWatch(long nowNanos, long epochMillis) {
		this.lookedNanos = nowNanos;
		this.lookedMillis = epochMillis;
	}

	/**
	 * Compares both clocks with their values at the last check.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @param epochMillis the time of day, in milliseconds since 1970
	 * @return what happened since the last check
	 */
	Finding look(long nowNanos, long epochMillis) {
		long monotonicMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - this.lookedNanos);
		long dayMillis = epochMillis - this.lookedMillis;
		this.lookedNanos = nowNanos;
		this.lookedMillis = epochMillis;
		if (dayMillis - monotonicMillis > SUSPENDED_MILLIS) {
			return new Finding.Suspended(dayMillis, monotonicMillis);
		}
		long millis = Math.max(dayMillis, monotonicMillis);
		return (millis > PAUSE_MILLIS) ? new Finding.Paused(millis, monotonicMillis) : new Finding.Running();
	}

	/** What happened between two checks. */
	sealed interface Finding {

		/** The process ran without a notable pause. */
		record Running() implements Finding {
		}

		/**
		 * The process was paused while its monotonic clock advanced.
		 *
		 * @param millis the duration, in milliseconds
		 * @param monotonicMillis the duration on the monotonic clock, in milliseconds
		 */
		record Paused(long millis, long monotonicMillis) implements Finding {
		}

		/**
		 * The VM was suspended: leases that this process times on its monotonic clock may
		 * have expired although that clock does not show it.
		 *
		 * @param millis the duration, in milliseconds
		 * @param monotonicMillis the duration on the monotonic clock, in milliseconds
		 */
		record Suspended(long millis, long monotonicMillis) implements Finding {
		}

	}

}
