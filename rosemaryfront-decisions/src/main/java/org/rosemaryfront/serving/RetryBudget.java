package org.rosemaryfront.serving;

/**
 * Limits retries to a fraction of the first dispatches (token bucket), so that the
 * simultaneous failure of many backend servers does not double the load. A slow refill by
 * time ensures that accepted requests don't have to wait for new requests.
 */
final class RetryBudget {

	/** The number of retries allowed per second without any new requests. */
	private static final double REFILL_PER_SECOND = 4;

	private final double retriesPerDispatch;

	private final double maxTokens;

	private double tokens;

	private long lastRefillNanos = Long.MIN_VALUE;

	RetryBudget(double retriesPerDispatch, double maxTokens) {
		this.retriesPerDispatch = retriesPerDispatch;
		this.maxTokens = maxTokens;
		this.tokens = maxTokens;
	}

	void recordFirstDispatch() {
		this.tokens = Math.min(this.maxTokens, this.tokens + this.retriesPerDispatch);
	}

	// Takes one retry from the budget and returns how long it must wait, in nanoseconds.
	long take(long nowNanos) {
		if (this.lastRefillNanos != Long.MIN_VALUE) {
			this.tokens = Math.min(this.maxTokens,
					this.tokens + REFILL_PER_SECOND * (nowNanos - this.lastRefillNanos) / 1e9);
		}
		this.lastRefillNanos = nowNanos;
		this.tokens -= 1;
		return (this.tokens >= 0) ? 0 : (long) (-this.tokens * 1e9 / REFILL_PER_SECOND);
	}

}
