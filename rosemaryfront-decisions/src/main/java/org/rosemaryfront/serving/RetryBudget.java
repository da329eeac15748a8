package org.rosemaryfront.serving;

/**
 * Limits retries to a fraction of the first dispatches (token bucket), so that the
 * simultaneous failure of many backend servers does not double the load. A slow refill by
 * time ensures that accepted requests don't have to wait for new requests.
 */
final class RetryBudget {

	/** The number of retries allowed per second without any new requests. */
	private static final double PER_SECOND = 4;

	private final double share;

	private final double burst;

	private double tokens;

	private long refilledNanos = Long.MIN_VALUE;

	RetryBudget(double share, double burst) {
		this.share = share;
		this.burst = burst;
		this.tokens = burst;
	}

	void fresh() {
		this.tokens = Math.min(this.burst, this.tokens + this.share);
	}

	// Takes one retry from the budget and returns how long it must wait, in nanoseconds.
	long take(long nowNanos) {
		if (this.refilledNanos != Long.MIN_VALUE) {
			this.tokens = Math.min(this.burst, this.tokens + PER_SECOND * (nowNanos - this.refilledNanos) / 1e9);
		}
		this.refilledNanos = nowNanos;
		this.tokens -= 1;
		return (this.tokens >= 0) ? 0 : (long) (-this.tokens * 1e9 / PER_SECOND);
	}

}
