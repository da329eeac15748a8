package org.rosemaryfront.peer;

import org.rosemaryfront.events.EventCode;

/** Events of membership and of the connections between our own processes. */
public enum MembershipEvents implements EventCode {

	/** The peer listener is open. */
	PEER_LISTENING(4001),

	/** A member is alive. */
	MEMBER_ALIVE(4002),

	/** A member did not answer and has time to refute that it is dead. */
	MEMBER_SUSPECT(4003),

	/** A member stops and takes nothing new. */
	MEMBER_LEAVING(4004),

	/** A member is gone. */
	MEMBER_DEAD(4005),

	/** This member refuted what others thought of it. */
	MEMBERSHIP_REFUTED(4006),

	/** This process was paused; its open probes and suspicions were extended. */
	PAUSE_SEEN(4007),

	/** A peer said that a backend server is leaving. */
	DEPARTURE_LEARNED(4008),

	/** A datagram could not be read or belongs to another region; it was dropped. */
	DATAGRAM_DROPPED(4009),

	/** The VM list could not be read; members are still found through each other. */
	VM_LIST_FAILED(4010),

	/** A connection to a peer went silent with open questions; it was closed. */
	CONNECTION_SILENT(4011),

	/** A connection between peers broke. */
	CONNECTION_BROKEN(4012),

	/** A callback of the process failed. */
	HANDLER_FAILED(4013),

	/** This process announces that it is leaving. */
	LEAVE_ANNOUNCED(4014);

	private final int number;

	MembershipEvents(int number) {
		this.number = number;
	}

	@Override
	public int number() {
		return this.number;
	}

}
