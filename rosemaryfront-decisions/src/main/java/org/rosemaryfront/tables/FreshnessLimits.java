package org.rosemaryfront.tables;

import java.util.concurrent.TimeUnit;

/**
 * How old the knowledge of a table may become before the store is asked whether anything
 * was missed. Whoever reads for the others asks first, so that a report with its proof
 * spares them the question.
 *
 * @param firstNanos for the first reader
 * @param standByNanos for the other readers
 * @param restingNanos for those who rest
 * @param ownNanos for what a reader was told by the store itself, to count as a reader
 * @param spreadNanos those who rest differ by up to this, so that one of them asks before
 * the others
 */
public record FreshnessLimits(long firstNanos, long standByNanos, long restingNanos, long ownNanos, long spreadNanos) {

	/**
	 * What is acknowledged is wanted in force within this time, where nothing else is
	 * said.
	 */
	private static final long USUAL_BOUND_MILLIS = 2_000;

	/**
	 * With longer limits the time without a proof would reach that of an outage in which
	 * registrations lapse.
	 */
	private static final double SCALE_MOST = 1.5;

	private static final long FIRST_MILLIS = 500;

	private static final long STAND_BY_MILLIS = 800;

	/** The first reader's, and the way of its report in a large fleet. */
	private static final long RESTING_MILLIS = 1_100;

	private static final long OWN_MILLIS = 4_000;

	private static final long SPREAD_MILLIS = 150;

	/**
	 * The limits where nothing else is said.
	 * @return the limits
	 */
	public static FreshnessLimits usual() {
		return within(USUAL_BOUND_MILLIS);
	}

	/**
	 * The limits for tables whose changes must be in force soon.
	 * @param boundMillis within which a change must be in force, in milliseconds
	 * @return the limits, as parts of the bound
	 */
	public static FreshnessLimits within(long boundMillis) {
		double scale = Math.min(SCALE_MOST, (double) boundMillis / USUAL_BOUND_MILLIS);
		return new FreshnessLimits(nanos(FIRST_MILLIS, scale), nanos(STAND_BY_MILLIS, scale),
				nanos(RESTING_MILLIS, scale), nanos(OWN_MILLIS, scale), nanos(SPREAD_MILLIS, scale));
	}

	/**
	 * Longer limits.
	 * @param factor how many times longer
	 * @return the limits
	 */
	public FreshnessLimits times(int factor) {
		return new FreshnessLimits(this.firstNanos * factor, this.standByNanos * factor, this.restingNanos * factor,
				this.ownNanos * factor, this.spreadNanos * factor);
	}

	private static long nanos(long millis, double scale) {
		return Math.round(TimeUnit.MILLISECONDS.toNanos(millis) * scale);
	}

	/**
	 * The limit for a role.
	 * @param role the role
	 * @param place where a resting gateway stands among the others, from 0 to 1
	 * @return the limit in nanoseconds
	 */
	public long of(Role role, double place) {
		return switch (role) {
			case FIRST -> this.firstNanos;
			case STAND_BY -> this.standByNanos;
			case RESTING -> this.restingNanos + Math.round(this.spreadNanos * place);
		};
	}

}
