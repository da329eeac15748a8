package org.rosemaryfront.tables;

import java.util.concurrent.TimeUnit;

/**
 * The maximum ages of the last confirmation of a table, after which a gateway queries the
 * store for missed changes. Gateways that read for the others have shorter limits and
 * query first, so that the confirmations in their reports avoid queries by the others.
 *
 * @param firstNanos the limit of the first reader, in nanoseconds
 * @param standByNanos the limit of the other readers, in nanoseconds
 * @param restingNanos the limit of the gateways that do not read, in nanoseconds
 * @param ownNanos the maximum age of a gateway's own confirmation from the store for it
 * to count as a reader, in nanoseconds
 * @param spreadNanos the range over which the limits of resting gateways differ, in
 * nanoseconds, so that one of them queries before the others
 */
public record FreshnessLimits(long firstNanos, long standByNanos, long restingNanos, long ownNanos, long spreadNanos) {

	/**
	 * The default time within which an acknowledged change must take effect, in
	 * milliseconds.
	 */
	private static final long DEFAULT_BOUND_MILLIS = 2_000;

	/**
	 * With longer limits the time without a confirmation would reach that of an outage,
	 * in which registrations expire.
	 */
	private static final double MAX_SCALE = 1.5;

	private static final long FIRST_MILLIS = 500;

	private static final long STAND_BY_MILLIS = 800;

	/** The first reader's limit plus the transit time of its report in a large fleet. */
	private static final long RESTING_MILLIS = 1_100;

	private static final long OWN_MILLIS = 4_000;

	private static final long SPREAD_MILLIS = 150;

	/** A tick and the response of the store to a query of another table. */
	private static final long STAGGER_MILLIS = 75;

	/**
	 * Returns the default limits.
	 * @return the limits
	 */
	public static FreshnessLimits defaults() {
		return within(DEFAULT_BOUND_MILLIS);
	}

	/**
	 * Returns the limits for tables whose changes must take effect within a bound.
	 * @param boundMillis the bound, in milliseconds
	 * @return the limits, in proportion to the bound, at most 1.5 times the default ones
	 */
	public static FreshnessLimits within(long boundMillis) {
		double scale = Math.min(MAX_SCALE, (double) boundMillis / DEFAULT_BOUND_MILLIS);
		return new FreshnessLimits(nanos(FIRST_MILLIS, scale), nanos(STAND_BY_MILLIS, scale),
				nanos(RESTING_MILLIS, scale), nanos(OWN_MILLIS, scale), nanos(SPREAD_MILLIS, scale));
	}

	/**
	 * Returns the limits for a table that is queried shortly after another one, whose
	 * response often confirms this table as well.
	 * @return the limits, of which those of readers are slightly longer
	 */
	public FreshnessLimits staggered() {
		long staggerNanos = TimeUnit.MILLISECONDS.toNanos(STAGGER_MILLIS);
		return new FreshnessLimits(this.firstNanos + staggerNanos, this.standByNanos + staggerNanos, this.restingNanos,
				this.ownNanos + 2 * staggerNanos, this.spreadNanos);
	}

	/**
	 * Returns the limits multiplied by a factor.
	 * @param factor the factor
	 * @return the longer limits
	 */
	public FreshnessLimits multipliedBy(int factor) {
		return new FreshnessLimits(this.firstNanos * factor, this.standByNanos * factor, this.restingNanos * factor,
				this.ownNanos * factor, this.spreadNanos * factor);
	}

	private static long nanos(long millis, double scale) {
		return Math.round(TimeUnit.MILLISECONDS.toNanos(millis) * scale);
	}

	/**
	 * Returns the limit for a role.
	 * @param role the role
	 * @param position the position of a resting gateway within the spread, from 0 to 1
	 * @return the limit in nanoseconds
	 */
	public long forRole(Role role, double position) {
		return switch (role) {
			case FIRST -> this.firstNanos;
			case STAND_BY -> this.standByNanos;
			case RESTING -> this.restingNanos + Math.round(this.spreadNanos * position);
		};
	}

}
