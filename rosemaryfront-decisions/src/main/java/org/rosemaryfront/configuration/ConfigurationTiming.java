package org.rosemaryfront.configuration;

import java.time.Duration;

/**
 * Limits and intervals for the propagation of the configuration. All times are in
 * nanoseconds.
 *
 * @param headReadsPerSecond the number of head reads per second by all members together
 * @param shortestPollNanos the minimum of the mean interval between two head reads by one
 * member
 * @param longestPollNanos the maximum of the mean interval between two head reads by one
 * member
 * @param stalenessNanos how long a member continues to accept work while it reaches
 * neither the table service nor a peer
 * @param readTimeoutNanos the time after which an unfinished read counts as failed
 * @param startWaitNanos how long a member without a configuration collects revisions from
 * its peers before it reads from a peer with the highest revision
 * @param startPeers the number of peers with a configuration that ends this wait early
 */
public record ConfigurationTiming(double headReadsPerSecond, long shortestPollNanos, long longestPollNanos,
		long stalenessNanos, long readTimeoutNanos, long startWaitNanos, int startPeers) {

	/**
	 * Returns the timing for production.
	 * @return a timing with 10 head reads per second and a staleness limit of 30 s
	 */
	public static ConfigurationTiming standard() {
		return of(10, Duration.ofSeconds(30));
	}

	/**
	 * Returns the production timing with another head read rate and staleness limit.
	 * @param headReadsPerSecond the number of head reads per second by all members
	 * together
	 * @param staleness how long a member continues to accept work while it reaches
	 * neither the table service nor a peer
	 * @return the timing
	 */
	public static ConfigurationTiming of(double headReadsPerSecond, Duration staleness) {
		return new ConfigurationTiming(headReadsPerSecond, Duration.ofMillis(500).toNanos(),
				Duration.ofSeconds(60).toNanos(), staleness.toNanos(), Duration.ofSeconds(5).toNanos(),
				Duration.ofSeconds(2).toNanos(), 3);
	}

	/**
	 * Returns the mean interval between two head reads by one member. Within the minimum
	 * and maximum interval, it grows with the number of members, so that the read load on
	 * the table service does not grow with the fleet.
	 * @param members the number of members
	 * @return the interval in nanoseconds
	 */
	public long pollIntervalNanos(int members) {
		double seconds = members / this.headReadsPerSecond;
		long nanos = (long) (seconds * Duration.ofSeconds(1).toNanos());
		return Math.clamp(nanos, this.shortestPollNanos, this.longestPollNanos);
	}

}
