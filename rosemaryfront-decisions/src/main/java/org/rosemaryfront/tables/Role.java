package org.rosemaryfront.tables;

/** The role of a gateway in keeping all gateways up to date with the store's tables. */
public enum Role {

	/** Reads the tables and checks most often for missed changes. */
	FIRST,

	/** Reads the tables, so that the others have a reader when the first one fails. */
	STAND_BY,

	/** Relies on the readers as long as their reports confirm the tables often enough. */
	RESTING;

	/**
	 * Returns whether a gateway of this role waits at the store for changes.
	 * @return false if it receives the changes from other gateways
	 */
	public boolean reads() {
		return this != RESTING;
	}

}
