package org.rosemaryfront.membership;

/**
 * Something that the caller of {@link Membership} must do or tell.
 */
public sealed interface MembershipCommand {

	/**
	 * Send a datagram.
	 *
	 * @param address where to, {@code host:port}
	 * @param message the message
	 */
	record Send(String address, MembershipMessage message) implements MembershipCommand {
	}

	/**
	 * What is known of a member changed.
	 *
	 * @param record the new record
	 */
	record MemberChanged(MemberRecord record) implements MembershipCommand {
	}

	/**
	 * A peer said that a backend server is leaving; told once a VM.
	 *
	 * @param notice the departure
	 */
	record DepartureLearned(DepartureNotice notice) implements MembershipCommand {
	}

	/**
	 * A datagram came from a member.
	 *
	 * @param address its address
	 * @param revision the configuration revision in force there
	 */
	record PeerHeard(String address, long revision) implements MembershipCommand {
	}

	/**
	 * This member refuted a suspicion, its death or a departure of an earlier run.
	 *
	 * @param incarnation its new incarnation
	 */
	record Refuted(long incarnation) implements MembershipCommand {
	}

	/**
	 * This process was paused for so long that its open questions and suspicions were
	 * dropped.
	 *
	 * @param nanos how long, in nanoseconds
	 */
	record PauseSeen(long nanos) implements MembershipCommand {
	}

}
