package org.rosemaryfront.membership;

/**
 * State of a member. Within one incarnation a later constant replaces an earlier one,
 * never the reverse.
 */
public enum MemberState {

	/** Responds to probes. */
	ALIVE,

	/** Did not respond to a probe and can still refute that it is dead. */
	SUSPECT,

	/**
	 * Is shutting down and accepts no new work; it cannot become alive again in its
	 * incarnation.
	 */
	LEAVING,

	/** Is considered terminated; final for its incarnation. */
	DEAD

}
