package org.rosemaryfront.rollout;

/** The phases of a roll-out. A roll-out never returns to an earlier phase. */
public enum Phase {

	/** The candidate version gets a small share of the calls, for its evaluation. */
	TRIAL,

	/**
	 * New calls go to the candidate; the baseline version completes its running calls.
	 */
	MOVING,

	/** The candidate version serves all calls. */
	SUCCEEDED,

	/** The candidate version gets no calls. */
	ROLLED_BACK;

	/**
	 * Returns whether the roll-out is complete.
	 * @return true if no other phase can follow
	 */
	public boolean isFinal() {
		return this == SUCCEEDED || this == ROLLED_BACK;
	}

	/**
	 * Returns whether a roll-out in this phase can change to another one.
	 * @param next the other phase
	 * @return false for the same or an earlier phase, and if this phase is final
	 */
	public boolean canAdvanceTo(Phase next) {
		return !isFinal() && next.ordinal() > ordinal();
	}

}
