package org.rosemaryfront.membership;

import java.time.Duration;

/**
 * The limits and intervals of the membership.
 *
 * @param periodNanos the time between two probes of a member
 * @param ackTimeoutNanos how long a direct probe waits before others are asked to probe
 * @param suspicionFactor periods that a suspect has to refute, times the decimal
 * logarithm of the number of members
 * @param indirectProbes members asked to probe on one's behalf
 * @param fanout members told at once of something urgent
 * @param retransmitFactor how often a change is passed on, times the decimal logarithm of
 * the number of members
 * @param datagramBytes the greatest size of a datagram
 * @param usageOrganisations organisations in a digest of usage, those with the most first
 * @param pushBytesPerSecond bytes a second for urgent datagrams
 * @param pushBurstBytes bytes for urgent datagrams that may be saved up
 */
public record MembershipSettings(long periodNanos, long ackTimeoutNanos, double suspicionFactor, int indirectProbes,
		int fanout, double retransmitFactor, int datagramBytes, int usageOrganisations, int pushBytesPerSecond,
		int pushBurstBytes) {

	/** How long a departure of a backend server is remembered; VM names do not recur. */
	static final long DEPARTURE_RETENTION_NANOS = Duration.ofHours(1).toNanos();

	/** How long a dead member is remembered, so that old records cannot revive it. */
	static final long TOMBSTONE_RETENTION_NANOS = Duration.ofHours(24).toNanos();

	/** How long a digest of usage counts. */
	static final long USAGE_RETENTION_NANOS = Duration.ofSeconds(20).toNanos();

	/** How often a new member is passed on. */
	static final int JOIN_TRANSMISSIONS = 3;

	/** Records passed on in a datagram that is not urgent. */
	static final int MEMBERS_PER_DATAGRAM = 6;

	/** Departures passed on in a datagram that is not urgent. */
	static final int DEPARTURES_PER_DATAGRAM = 12;

	/**
	 * The values for production.
	 * @return a probe a second, with a datagram that fits any path
	 */
	public static MembershipSettings standard() {
		return ofPeriod(Duration.ofSeconds(1));
	}

	/**
	 * The standard values with another period.
	 * @param period the time between two probes
	 * @return the settings
	 */
	public static MembershipSettings ofPeriod(Duration period) {
		long nanos = period.toNanos();
		return new MembershipSettings(nanos, nanos * 2 / 5, 3, 3, 4, 4, 1_200, 6, 500, 32_000);
	}

	/**
	 * How often a change is passed on.
	 * @param members the number of members
	 * @return the count
	 */
	int retransmissions(int members) {
		return (int) Math.ceil(this.retransmitFactor * logarithm(members));
	}

	/**
	 * How long a suspect has to refute.
	 * @param members the number of members
	 * @return the time in nanoseconds
	 */
	long suspicionTimeoutNanos(int members) {
		return (long) (this.suspicionFactor * logarithm(members) * this.periodNanos);
	}

	private static double logarithm(int members) {
		return Math.max(1, Math.log10(members + 1));
	}

}
