package org.rosemaryfront.membership;

/**
 * What is known of a member; within one incarnation a later constant replaces an earlier
 * one and never the other way round.
 */
public enum MemberState {

	/** It answers. */
	ALIVE,

	/** It did not answer and may still refute that it is dead. */
	SUSPECT,

	/** It stops and takes nothing new; final for its incarnation. */
	LEAVING,

	/** It is gone; final for its incarnation. */
	DEAD

}
