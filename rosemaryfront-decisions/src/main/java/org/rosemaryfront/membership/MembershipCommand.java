package org.rosemaryfront.membership;

/**
 * Action that the caller of {@link Membership} must perform or report.
 */
public sealed interface MembershipCommand {

	/**
	 * Send a datagram.
	 *
	 * @param address the destination, {@code host:port}
	 * @param message the message
	 */
	record Send(String address, MembershipMessage message) implements MembershipCommand {
	}

	/**
	 * The record of a member changed.
	 *
	 * @param record the new record
	 */
	record MemberChanged(MemberRecord record) implements MembershipCommand {
	}

	/**
	 * A peer reported that a backend server is leaving; issued once per VM.
	 *
	 * @param notice the departure
	 */
	record DepartureReceived(DepartureNotice notice) implements MembershipCommand {
	}

	/**
	 * A datagram was received from a member.
	 *
	 * @param address its address
	 * @param revision the configuration revision in force at that member
	 */
	record PeerMessageReceived(String address, long revision) implements MembershipCommand {
	}

	/**
	 * This member refuted a record of itself as suspect or dead, or as leaving in an
	 * earlier run.
	 *
	 * @param incarnation its new incarnation
	 */
	record Refuted(long incarnation) implements MembershipCommand {
	}

	/**
	 * This process was paused for so long that its outstanding probes were dropped and
	 * the deadlines of its suspicions extended.
	 *
	 * @param nanos the length of the pause, in nanoseconds
	 */
	record PauseDetected(long nanos) implements MembershipCommand {
	}

}
