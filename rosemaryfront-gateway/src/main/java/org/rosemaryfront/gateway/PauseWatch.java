package org.rosemaryfront.gateway;

import java.util.concurrent.TimeUnit;

/**
 * Tells from two clocks whether this process stood still since the last look. The
 * monotonic clock goes on while a process is paused, and not while its VM is suspended;
 * the time of day goes on in both cases.
 */
final class PauseWatch {

	/** A pause beyond this is worth a line of the log, in milliseconds. */
	private static final long PAUSE_MILLIS = 700;

	/**
	 * The time of day went on so much longer than the monotonic clock, in milliseconds:
	 * more than the time of day is set by at a time.
	 */
	private static final long SUSPENDED_MILLIS = 500;

	private long lookedNanos;

	private long lookedMillis;

	PauseWatch(long nowNanos, long epochMillis) {
		this.lookedNanos = nowNanos;
		this.lookedMillis = epochMillis;
	}

	/**
	 * Looks at the clocks.
	 * @param nowNanos the monotonic clock, in nanoseconds
	 * @param epochMillis the time of day, in milliseconds
	 * @return what happened since the last look
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

	/** What happened between two looks. */
	sealed interface Finding {

		/** The process ran. */
		record Running() implements Finding {
		}

		/**
		 * The process stood still, and its monotonic clock went on.
		 *
		 * @param millis for how long, in milliseconds
		 * @param monotonicMillis the same by the monotonic clock
		 */
		record Paused(long millis, long monotonicMillis) implements Finding {
		}

		/**
		 * The VM was suspended: terms that this process counts on its monotonic clock are
		 * over although they do not look so.
		 *
		 * @param millis for how long, in milliseconds
		 * @param monotonicMillis the same by the monotonic clock
		 */
		record Suspended(long millis, long monotonicMillis) implements Finding {
		}

	}

}
