package org.rosemaryfront.placement;

import java.util.Arrays;

/**
 * Estimates how long calls wait at servers once work that no report names yet has been
 * spread over them.
 *
 * <p>
 * All gateways avoid the servers with the longest waits, so that such work fills up the
 * servers with the shortest waits to a common level.
 */
public final class FillLevel {

	private FillLevel() {
	}

	/**
	 * Returns the level to which the work fills the servers.
	 * @param waits the waiting times at the servers as reported, in milliseconds, at
	 * least one
	 * @param unreportedMillis the work that no report names, as the time that a single
	 * server takes for it, in milliseconds
	 * @return the level in milliseconds, the shortest wait if there is no such work
	 */
	public static double of(double[] waits, double unreportedMillis) {
		double[] ascending = waits.clone();
		Arrays.sort(ascending);
		double sum = 0;
		for (int filled = 1; filled < ascending.length; filled++) {
			sum += ascending[filled - 1];
			double roomBelowNext = filled * ascending[filled] - sum;
			if (unreportedMillis <= roomBelowNext) {
				return (sum + Math.max(0, unreportedMillis)) / filled;
			}
		}
		return (sum + ascending[ascending.length - 1] + Math.max(0, unreportedMillis)) / ascending.length;
	}

}
