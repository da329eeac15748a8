package org.rosemaryfront.placement;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Estimates the work that other gateways have given to servers since their last reports.
 *
 * <p>
 * Reports name the work of each server at the time of sending. What was sent since then
 * follows from the rate of all work and the age of the reports.
 */
public final class PeerWork {

	/** The time over which the rate is averaged, short enough to follow a burst. */
	private static final long AVERAGING_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

	private double reportedTokens;

	private double tokensPerNano;

	/** When the rate was last updated; empty before that. */
	private OptionalLong updatedNanos = OptionalLong.empty();

	private PeerWork() {
	}

	/**
	 * Creates an estimate for gateways that have sent nothing yet.
	 * @return the estimate
	 */
	public static PeerWork none() {
		return new PeerWork();
	}

	/**
	 * Records work that another gateway reports for the first time.
	 * @param tokens the prompt tokens that servers have to prefill for it
	 */
	public void record(long tokens) {
		this.reportedTokens += Math.max(0, tokens);
	}

	/**
	 * Returns the work that no report names yet.
	 * @param ageNanos the average age of what reports say, in nanoseconds
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the prompt tokens
	 */
	public double unreportedTokens(long ageNanos, long nowNanos) {
		long elapsed = nowNanos - this.updatedNanos.orElse(nowNanos - AVERAGING_NANOS);
		if (elapsed > 0) {
			double weight = 1 - Math.exp(-(double) elapsed / AVERAGING_NANOS);
			this.tokensPerNano += weight * (this.reportedTokens / elapsed - this.tokensPerNano);
			this.reportedTokens = 0;
			this.updatedNanos = OptionalLong.of(nowNanos);
		}
		return this.tokensPerNano * ageNanos;
	}

}
