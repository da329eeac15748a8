package org.rosemaryfront.services;

import org.rosemaryfront.events.EventCode;

/** Events of plain services and at-most-once calls. */
public enum ServiceEvents implements EventCode {

	/** A call was given to a backend server. */
	SERVICE_CALL_ROUTED(2501),

	/** A call had its final answer. */
	SERVICE_CALL_ANSWERED(2502);

	private final int number;

	ServiceEvents(int number) {
		this.number = number;
	}

	@Override
	public int number() {
		return this.number;
	}

}
