package org.rosemaryfront.serving;

/** The rate of events, exponentially weighted over the last seconds. */
final class RateMeter {

	/** The time after which an event counts for about a third, in nanoseconds. */
	private static final double WINDOW_NANOS = 2e9;

	private double weight;

	private long lastNanos;

	void count(long nowNanos) {
		this.weight = decayed(nowNanos) + 1;
		this.lastNanos = nowNanos;
	}

	// Events a nanosecond.
	double perNano(long nowNanos) {
		return decayed(nowNanos) / WINDOW_NANOS;
	}

	private double decayed(long nowNanos) {
		return this.weight * Math.exp((this.lastNanos - nowNanos) / WINDOW_NANOS);
	}

}
