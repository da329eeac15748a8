package org.rosemaryfront.standin.platform;

/**
 * Limits a rate: lets through what a constant rate with a bounded burst lets through.
 */
final class TokenBucket {

	/**
	 * The burst let through at once, as the time in seconds that the rate needs for it.
	 */
	private static final double BURST_SECONDS = 0.25;

	private static final double MILLIS_A_SECOND = 1000;

	private final double ratePerMilli;

	private final double burst;

	private double tokens;

	private long lastMillis;

	private TokenBucket(long perSecond, long nowMillis) {
		this.ratePerMilli = perSecond / MILLIS_A_SECOND;
		this.burst = Math.max(1, perSecond * BURST_SECONDS);
		this.tokens = this.burst;
		this.lastMillis = nowMillis;
	}

	/**
	 * A full bucket.
	 * @param perSecond the rate
	 * @param nowMillis the time now, in milliseconds
	 * @return the bucket
	 */
	static TokenBucket of(long perSecond, long nowMillis) {
		return new TokenBucket(perSecond, nowMillis);
	}

	/**
	 * Takes one token when there is one.
	 * @param nowMillis the time now, in milliseconds
	 * @return whether there was one
	 */
	boolean take(long nowMillis) {
		long passed = Math.max(0, nowMillis - this.lastMillis);
		this.lastMillis = Math.max(this.lastMillis, nowMillis);
		this.tokens = Math.min(this.burst, this.tokens + passed * this.ratePerMilli);
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
