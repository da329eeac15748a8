package org.rosemaryfront.serving;

/** Measures an exponentially weighted rate of events. */
final class RateMeter {

	/**
	 * The time constant, after which an event counts for about a third, in nanoseconds.
	 */
	private final double windowNanos;

	private double weight;

	private long lastNanos;

	RateMeter(double windowNanos) {
		this.windowNanos = windowNanos;
	}

	void count(long nowNanos) {
		this.weight = decayed(nowNanos) + 1;
		this.lastNanos = nowNanos;
	}

	// Returns the number of events per nanosecond.
	double perNano(long nowNanos) {
		return decayed(nowNanos) / this.windowNanos;
	}

	private double decayed(long nowNanos) {
		return this.weight * Math.exp((this.lastNanos - nowNanos) / this.windowNanos);
	}

}
