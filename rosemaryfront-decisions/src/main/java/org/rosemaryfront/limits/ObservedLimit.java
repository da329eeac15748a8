package org.rosemaryfront.limits;

import java.util.OptionalDouble;

/**
 * The limit that a backend server had at some time within an interval.
 *
 * <p>
 * A response shows the limit that its server had between the sending of the request and
 * the receipt of the response. Of two responses whose intervals overlap, it is unknown
 * which one is newer.
 *
 * @param perSecond the requests per second that the server takes from all gateways
 * together, empty if it takes any number
 * @param fromNanos the start of the interval on the monotonic clock, in nanoseconds
 * @param untilNanos the end of the interval on the monotonic clock, in nanoseconds
 */
public record ObservedLimit(OptionalDouble perSecond, long fromNanos, long untilNanos) {

	// A response in which the server states no limit.
	static ObservedLimit unlimited(long fromNanos, long untilNanos) {
		return new ObservedLimit(OptionalDouble.empty(), fromNanos, untilNanos);
	}

	/**
	 * Returns whether the server states a limit.
	 * @return false if it takes any number of requests
	 */
	public boolean isLimited() {
		return this.perSecond.isPresent();
	}

	/**
	 * Returns whether this observation replaces an earlier one. Where it is unknown which
	 * of two is newer, the lower limit counts.
	 * @param known the observation known so far
	 * @return true if this one is newer, or may be newer and states a lower limit
	 */
	boolean replaces(ObservedLimit known) {
		if (this.perSecond.equals(known.perSecond)) {
			return this.fromNanos - known.fromNanos > 0;
		}
		if (this.fromNanos - known.untilNanos > 0) {
			return true;
		}
		boolean maybeNewer = this.untilNanos - known.fromNanos >= 0;
		return maybeNewer && ratePerSecond() < known.ratePerSecond();
	}

	private double ratePerSecond() {
		return this.perSecond.orElse(Double.POSITIVE_INFINITY);
	}

}
