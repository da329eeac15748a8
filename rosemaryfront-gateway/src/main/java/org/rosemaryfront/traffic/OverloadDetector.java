package org.rosemaryfront.traffic;

import java.util.concurrent.TimeUnit;

import org.rosemaryfront.events.EventLog;

/**
 * Detects that the traffic thread has more to do than it can, by how late a periodic task
 * runs. A single pause is no overload: what arrived meanwhile is processed at once
 * afterwards. Confined to the traffic thread.
 */
final class OverloadDetector {

	/** The interval of the periodic task. */
	static final long BEAT_INTERVAL_MILLIS = 50;

	/** The delay at which a call, which needs several turns of the thread, is late. */
	private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

	/** The number of late runs in a row that show an overload. */
	private static final int OVERLOAD_BEATS = 3;

	private long beatNanos;

	private int lateBeats;

	private long turnedAway;

	private OverloadDetector(long nowNanos) {
		this.beatNanos = nowNanos;
	}

	static OverloadDetector startingAt(long nowNanos) {
		return new OverloadDetector(nowNanos);
	}

	/**
	 * Records a run of the periodic task.
	 * @param nowNanos the current time
	 * @return how late it runs, in nanoseconds
	 */
	long beat(long nowNanos) {
		boolean before = isOverloaded();
		long lateNanos = nowNanos - this.beatNanos - TimeUnit.MILLISECONDS.toNanos(BEAT_INTERVAL_MILLIS);
		this.beatNanos = nowNanos;
		this.lateBeats = (lateNanos > LATE_NANOS) ? this.lateBeats + 1 : 0;
		if (before != isOverloaded()) {
			EventLog.info(TrafficEvents.OVERLOAD_CHANGED, "overloaded", isOverloaded(), "lateMillis",
					TimeUnit.NANOSECONDS.toMillis(lateNanos), "turnedAway", this.turnedAway);
		}
		return lateNanos;
	}

	/**
	 * Returns whether new connections are closed before anything is read from them, so
	 * that their callers come to another gateway.
	 * @return true while the thread is overloaded
	 */
	boolean isOverloaded() {
		return this.lateBeats >= OVERLOAD_BEATS;
	}

	/** Records that a new connection was closed. */
	void turnedAway() {
		this.turnedAway++;
	}

	long turnedAwayCount() {
		return this.turnedAway;
	}

}
