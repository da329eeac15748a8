package org.rosemaryfront.configuration;

import java.time.Duration;

/**
 * The limits and intervals of the configuration's propagation.
 *
 * @param headReadsPerSecond how often all members together read the head, a second
 * @param shortestPollNanos the least time between two reads of the head by one member
 * @param longestPollNanos the greatest time between two reads of the head by one member
 * @param stalenessNanos how long a member that reaches neither the table service nor a
 * peer goes on accepting work
 * @param readTimeoutNanos after which a read that did not end is given up
 * @param startWaitNanos how long a member without a configuration collects the revisions
 * of peers, before it reads from the highest of them
 * @param startPeers how many peers end that wait
 */
public record ConfigurationTiming(double headReadsPerSecond, long shortestPollNanos, long longestPollNanos,
		long stalenessNanos, long readTimeoutNanos, long startWaitNanos, int startPeers) {

	/**
	 * The values for production.
	 * @return 10 head reads a second, 30 s of staleness
	 */
	public static ConfigurationTiming standard() {
		return of(10, Duration.ofSeconds(30));
	}

	/**
	 * The standard values with the two that matter most.
	 * @param headReadsPerSecond how often all members together read the head, a second
	 * @param staleness how long a member that reaches nobody goes on accepting work
	 * @return the timing
	 */
	public static ConfigurationTiming of(double headReadsPerSecond, Duration staleness) {
		return new ConfigurationTiming(headReadsPerSecond, Duration.ofMillis(500).toNanos(),
				Duration.ofSeconds(60).toNanos(), staleness.toNanos(), Duration.ofSeconds(5).toNanos(),
				Duration.ofSeconds(2).toNanos(), 3);
	}

	/**
	 * The mean time between two reads of the head by one member. All members together
	 * read at a fixed rate, whatever their number, so that the table service sees no more
	 * of it as the fleet grows.
	 * @param members the number of members
	 * @return the time in nanoseconds
	 */
	public long pollNanos(int members) {
		double seconds = members / this.headReadsPerSecond;
		long nanos = (long) (seconds * Duration.ofSeconds(1).toNanos());
		return Math.clamp(nanos, this.shortestPollNanos, this.longestPollNanos);
	}

}
