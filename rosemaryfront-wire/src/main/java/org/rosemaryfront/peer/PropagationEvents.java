package org.rosemaryfront.peer;

import org.rosemaryfront.events.EventCode;

/** Events of the propagation of the configuration. */
public enum PropagationEvents implements EventCode {

	/** A configuration of a higher revision is in force. */
	CONFIGURATION_APPLIED(3001),

	/** A configuration that was read is not higher than the one in force. */
	CONFIGURATION_DROPPED(3002),

	/** The configuration could not be read; it is tried again. */
	CONFIGURATION_READ_FAILED(3003),

	/** The table service shows a lower revision than the one in force, which stays. */
	HEAD_BEHIND(3004),

	/** New work may be accepted under the configuration in force. */
	CONFIGURATION_FRESH(3005),

	/** Neither the table service nor a peer was reached for too long. */
	CONFIGURATION_STALE(3006),

	/** Invariant: the configuration in force never reverts. */
	CONFIGURATION_REVERTED(9301);

	private final int number;

	PropagationEvents(int number) {
		this.number = number;
	}

	@Override
	public int number() {
		return this.number;
	}

}
