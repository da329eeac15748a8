package org.rosemaryfront.traffic;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.rosemaryfront.events.EventLog;

/**
 * Records how late the threads of this gateway are, and how its calls fare meanwhile.
 * Confined to the traffic thread.
 */
final class ThreadDelays {

	private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

	private long begunNanos;

	private CallTally begunTally = CallTally.NONE;

	private long maxTrafficNanos;

	private long maxControlNanos;

	private long trafficNanos;

	private long beats;

	private ThreadDelays(long nowNanos) {
		this.begunNanos = nowNanos;
	}

	static ThreadDelays startingAt(long nowNanos) {
		return new ThreadDelays(nowNanos);
	}

	/**
	 * Records how late the threads are.
	 * @param trafficLateNanos how late the periodic task of the traffic thread runs
	 * @param controlLagNanos how long the control thread let work wait
	 * @param tally the calls since the start
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the delays of the interval that ends now; empty during one, and if no call
	 * was received in it
	 */
	Optional<Summary> beat(long trafficLateNanos, long controlLagNanos, CallTally tally, long nowNanos) {
		this.beats++;
		this.trafficNanos += Math.max(0, trafficLateNanos);
		this.maxTrafficNanos = Math.max(this.maxTrafficNanos, trafficLateNanos);
		this.maxControlNanos = Math.max(this.maxControlNanos, controlLagNanos);
		if (nowNanos - this.begunNanos < INTERVAL_NANOS) {
			return Optional.empty();
		}
		Summary summary = new Summary(nowNanos - this.begunNanos, this.trafficNanos / this.beats, this.maxTrafficNanos,
				this.maxControlNanos, tally.minus(this.begunTally));
		begin(tally, nowNanos);
		return (summary.calls().received() > 0) ? Optional.of(summary) : Optional.empty();
	}

	private void begin(CallTally tally, long nowNanos) {
		this.begunNanos = nowNanos;
		this.begunTally = tally;
		this.beats = 0;
		this.trafficNanos = 0;
		this.maxTrafficNanos = 0;
		this.maxControlNanos = 0;
	}

	/**
	 * The delays of an interval.
	 *
	 * @param nanos the length of the interval
	 * @param trafficMeanNanos how late the periodic task of the traffic thread ran on
	 * average
	 * @param trafficMaxNanos how late it ran at most
	 * @param controlMaxNanos how long the control thread let work wait at most
	 * @param calls the calls of the interval
	 */
	record Summary(long nanos, long trafficMeanNanos, long trafficMaxNanos, long controlMaxNanos, CallTally calls) {

		void log() {
			EventLog.info(TrafficEvents.THREAD_DELAYS, "intervalMillis", millis(this.nanos), "trafficMeanMillis",
					millis(this.trafficMeanNanos), "trafficMaxMillis", millis(this.trafficMaxNanos), "controlMaxMillis",
					millis(this.controlMaxNanos), "received", this.calls.received(), "inTime", this.calls.inTime(),
					"late", this.calls.late(), "refused", this.calls.refused(), "callersLeft", this.calls.left());
		}

		private static long millis(long nanos) {
			return TimeUnit.NANOSECONDS.toMillis(nanos);
		}

	}

}
