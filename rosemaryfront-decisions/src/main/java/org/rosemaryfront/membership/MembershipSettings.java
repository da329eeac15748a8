package org.rosemaryfront.membership;

import java.time.Duration;

/**
 * Limits and intervals of the membership protocol.
 *
 * @param periodNanos the time between two probes sent by a member
 * @param ackTimeoutNanos the time to wait for the acknowledgement of a direct probe
 * before indirect probes are sent
 * @param suspicionFactor the number of periods that a suspect has to refute, to be
 * multiplied by the decimal logarithm of the number of members
 * @param indirectProbes the number of members asked for an indirect probe
 * @param fanout the number of members that an urgent change is pushed to immediately
 * @param retransmitFactor the number of transmissions of a change, to be multiplied by
 * the decimal logarithm of the number of members
 * @param datagramBytes the maximum size of a datagram, in bytes
 * @param usageOrganisations the maximum number of organisations in a usage digest, those
 * with the most tokens in flight first
 * @param pushBytesPerSecond the refill rate of the budget for urgent datagrams, in bytes
 * per second
 * @param pushBurstBytes the capacity of the budget for urgent datagrams, in bytes
 */
public record MembershipSettings(long periodNanos, long ackTimeoutNanos, double suspicionFactor, int indirectProbes,
		int fanout, double retransmitFactor, int datagramBytes, int usageOrganisations, int pushBytesPerSecond,
		int pushBurstBytes) {

	/** How long a departure of a backend server is kept; VM names are not reused. */
	static final long DEPARTURE_RETENTION_NANOS = Duration.ofHours(1).toNanos();

	/** How long a dead member is kept, so that old records cannot revive it. */
	static final long TOMBSTONE_RETENTION_NANOS = Duration.ofHours(24).toNanos();

	/** How long a usage digest is used after its arrival. */
	static final long USAGE_RETENTION_NANOS = Duration.ofSeconds(20).toNanos();

	/** Number of transmissions of a new member. */
	static final int JOIN_TRANSMISSIONS = 3;

	/** Maximum number of changed records in a datagram. */
	static final int MEMBERS_PER_DATAGRAM = 6;

	/** Maximum number of new departures in a datagram that is not urgent. */
	static final int DEPARTURES_PER_DATAGRAM = 12;

	/**
	 * Returns the production settings: one probe per second and datagrams that fit any
	 * path MTU.
	 * @return the settings
	 */
	public static MembershipSettings standard() {
		return ofPeriod(Duration.ofSeconds(1));
	}

	/**
	 * Returns the standard settings with another period.
	 * @param period the time between two probes
	 * @return the settings
	 */
	public static MembershipSettings ofPeriod(Duration period) {
		long nanos = period.toNanos();
		return new MembershipSettings(nanos, nanos * 2 / 5, 3, 3, 4, 4, 1_200, 6, 500, 32_000);
	}

	/**
	 * Returns the number of transmissions of a change.
	 * @param members the number of members
	 * @return the count
	 */
	int retransmissions(int members) {
		return (int) Math.ceil(this.retransmitFactor * logarithm(members));
	}

	/**
	 * Returns how long a suspect has to refute.
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
