package org.rosemaryfront.streams;

import java.util.concurrent.TimeUnit;

/**
 * Since when a gateway knows the origins of all streams that it began or should have been
 * told of. What began earlier may be missing from its table.
 *
 * @param nanos the time on the monotonic clock, in nanoseconds
 * @param cause what moved it last
 * @param checkedNanos when the gateway was last known to run, in nanoseconds
 */
record KnownSince(long nanos, Cause cause, long checkedNanos) {

	/**
	 * The time without a check from which on a gateway counts as paused, in nanoseconds.
	 * A running one checks several times within it.
	 */
	private static final long MAX_GAP_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * Returns what a gateway knows when it starts.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return nothing before now
	 */
	static KnownSince start(long nowNanos) {
		return new KnownSince(nowNanos, Cause.START, nowNanos);
	}

	/**
	 * Records that the gateway runs.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the same, or since now if it stood still before
	 */
	KnownSince running(long nowNanos) {
		return (nowNanos - this.checkedNanos > MAX_GAP_NANOS) ? interrupted(Cause.PAUSE, nowNanos)
				: new KnownSince(this.nanos, this.cause, nowNanos);
	}

	/**
	 * Records that the gateway may have missed what it was told.
	 * @param why what happened
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return since now
	 */
	KnownSince interrupted(Cause why, long nowNanos) {
		return new KnownSince(nowNanos, why, nowNanos);
	}

	/**
	 * Records that an origin was dropped before its time.
	 * @param lastNanos when an event of its stream was last known to be sent
	 * @return since then, if that is later
	 */
	KnownSince dropped(long lastNanos) {
		return (lastNanos - this.nanos > 0) ? new KnownSince(lastNanos, Cause.EVICTION, this.checkedNanos) : this;
	}

	/**
	 * Returns for how long all streams are known.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the time in milliseconds
	 */
	long millis(long nowNanos) {
		return Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - this.nanos));
	}

	/** What can move the time since which all streams are known. */
	enum Cause {

		/** The process started. */
		START,

		/** The process, or its VM, stood still. */
		PAUSE,

		/** Most other gateways were out of touch. */
		CUT_OFF,

		/** Too many origins were kept. */
		EVICTION

	}

}
