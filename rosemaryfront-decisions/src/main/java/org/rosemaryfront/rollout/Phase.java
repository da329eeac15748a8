package org.rosemaryfront.rollout;

/** How far a roll-out is. A later phase never goes back to an earlier one. */
public enum Phase {

	/** The new version gets a small part of the calls, to be judged. */
	TRIAL,

	/** New calls go to the new version; the old one ends those that it has. */
	MOVING,

	/** The new version has the service. */
	SUCCEEDED,

	/** The new version gets no calls. */
	ROLLED_BACK;

	/**
	 * Whether the roll-out is decided.
	 * @return true for the last phases
	 */
	public boolean isFinal() {
		return this == SUCCEEDED || this == ROLLED_BACK;
	}

	/**
	 * Whether a roll-out in this phase can get to another one.
	 * @param next the other phase
	 * @return false for the same phase, an earlier one, and behind a last one
	 */
	public boolean leadsTo(Phase next) {
		return !isFinal() && next.ordinal() > ordinal();
	}

}
