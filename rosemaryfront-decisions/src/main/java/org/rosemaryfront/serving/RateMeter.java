package org.rosemaryfront.serving;

/** Measures an exponentially weighted rate of events. */
final class RateMeter {

	/**
	 * The time constant, after which an event counts for about a third, in nanoseconds.
	 */
	private final double timeConstantNanos;

	private double decayedCount;

	private long lastNanos;

	RateMeter(double timeConstantNanos) {
		this.timeConstantNanos = timeConstantNanos;
	}

	void recordEvent(long nowNanos) {
		this.decayedCount = decayedCountAt(nowNanos) + 1;
		this.lastNanos = nowNanos;
	}

	// Returns the number of events per nanosecond.
	double perNano(long nowNanos) {
		return decayedCountAt(nowNanos) / this.timeConstantNanos;
	}

	private double decayedCountAt(long nowNanos) {
		return this.decayedCount * Math.exp((this.lastNanos - nowNanos) / this.timeConstantNanos);
	}

}
