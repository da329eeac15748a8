package org.rosemaryfront.configuration;

import org.rosemaryfront.events.EventCode;

/** Events of the configuration store. */
public enum StoreEvents implements EventCode {

	/** A change was declared; every process takes it into force from here. */
	CHANGE_APPLIED(3501),

	/** A change lost against another one and was refused. */
	CHANGE_CONFLICTED(3502),

	/** The answer to a commit was lost; the change log says whether it took effect. */
	COMMIT_ANSWER_LOST(3503),

	/** Whether a change took effect could not be found out in time. */
	COMMIT_UNRESOLVED(3504),

	/** The store could not be reached for a read. */
	STORE_READ_FAILED(3505),

	/**
	 * Broken invariant: a resource was changed at a revision that the head has not
	 * reached.
	 */
	REVISION_BEYOND_HEAD(9351);

	private final int number;

	StoreEvents(int number) {
		this.number = number;
	}

	@Override
	public int number() {
		return this.number;
	}

}
