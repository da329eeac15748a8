package org.rosemaryfront.moves;

import org.rosemaryfront.routes.ServiceSpec.MoveSpec;

/**
 * How fast a run makes the events of its stream.
 *
 * @param events the number of events
 * @param firstNanos when the first one arrived, on the monotonic clock, in nanoseconds
 * @param lastNanos when the last one arrived, on the same clock
 */
public record RunPace(long events, long firstNanos, long lastNanos) {

	private static final double NANOS_PER_MILLI = 1_000_000;

	/**
	 * Creates the pace of a run that has made no event.
	 * @return the pace
	 */
	public static RunPace unknown() {
		return new RunPace(0, 0, 0);
	}

	/**
	 * Adds events that arrived together.
	 * @param count their number
	 * @param nowNanos when they arrived
	 * @return the pace with them
	 */
	public RunPace plus(long count, long nowNanos) {
		return (count > 0) ? new RunPace(this.events + count, (this.events > 0) ? this.firstNanos : nowNanos, nowNanos)
				: this;
	}

	/**
	 * Returns the number of tokens in the events.
	 * @param engine the engine
	 * @return the number
	 */
	public long tokens(MoveSpec engine) {
		return this.events * engine.tokensPerEvent();
	}

	/**
	 * Returns the time between two tokens.
	 * @param engine the engine
	 * @return the time in milliseconds, 0 while it is not known
	 */
	public double millisPerToken(MoveSpec engine) {
		return (this.events > 1)
				? (this.lastNanos - this.firstNanos) / NANOS_PER_MILLI / (this.events - 1) / engine.tokensPerEvent()
				: 0;
	}

}
