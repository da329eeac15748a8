package org.rosemaryfront.gateway;

import java.util.concurrent.TimeUnit;

/**
 * Detects from two clocks whether this process was paused or its VM suspended since the
 * last check. The monotonic clock advances while a process is paused but not while its VM
 * is suspended; the time of day advances in both cases.
 */
final class PauseDetector {

	/** Process pauses longer than this are reported, in milliseconds. */
	private static final long MIN_PAUSE_MILLIS = 700;

	/**
	 * Difference by which the time of day must advance more than the monotonic clock to
	 * show a suspension, in milliseconds; larger than a single clock adjustment.
	 */
	private static final long MIN_SUSPENSION_MILLIS = 500;

	private long checkedNanos;

	private long checkedMillis;

	PauseDetector(long nowNanos, long epochMillis) {
		this.checkedNanos = nowNanos;
		this.checkedMillis = epochMillis;
	}

	/**
	 * Compares both clocks with their values at the last check.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @param epochMillis the time of day, in milliseconds since 1970
	 * @return what happened since the last check
	 */
	Observation check(long nowNanos, long epochMillis) {
		long monotonicMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - this.checkedNanos);
		long wallClockMillis = epochMillis - this.checkedMillis;
		this.checkedNanos = nowNanos;
		this.checkedMillis = epochMillis;
		if (wallClockMillis - monotonicMillis > MIN_SUSPENSION_MILLIS) {
			return new Observation.Suspended(wallClockMillis, monotonicMillis);
		}
		long millis = Math.max(wallClockMillis, monotonicMillis);
		return (millis > MIN_PAUSE_MILLIS) ? new Observation.Paused(millis, monotonicMillis)
				: new Observation.Running();
	}

	/** What happened between two checks. */
	sealed interface Observation {

		/** The process ran without a notable pause. */
		record Running() implements Observation {
		}

		/**
		 * The process was paused while its monotonic clock advanced.
		 *
		 * @param millis the duration, in milliseconds
		 * @param monotonicMillis the duration on the monotonic clock, in milliseconds
		 */
		record Paused(long millis, long monotonicMillis) implements Observation {
		}

		/**
		 * The VM was suspended: leases that this process times on its monotonic clock may
		 * have expired although that clock does not show it.
		 *
		 * @param millis the duration, in milliseconds
		 * @param monotonicMillis the duration on the monotonic clock, in milliseconds
		 */
		record Suspended(long millis, long monotonicMillis) implements Observation {
		}

	}

}
