package org.rosemaryfront.serving;

/**
 * Limits retries to a share of the fresh work (a token bucket), so that the failure of
 * many backend servers at once does not make as much work again as there is. A slow
 * refill by time keeps accepted requests from waiting for fresh ones.
 */
final class RetryBudget {

	/** Retries allowed a second without any fresh work. */
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

	// Takes one retry; returns how long it has to wait, in nanoseconds.
	long take(long nowNanos) {
		if (this.refilledNanos != Long.MIN_VALUE) {
			this.tokens = Math.min(this.burst, this.tokens + PER_SECOND * (nowNanos - this.refilledNanos) / 1e9);
		}
		this.refilledNanos = nowNanos;
		this.tokens -= 1;
		return (this.tokens >= 0) ? 0 : (long) (-this.tokens * 1e9 / PER_SECOND);
	}

}
