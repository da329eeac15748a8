package org.rosemaryfront.operators;

import org.rosemaryfront.events.EventCode;

/** Events of the operators' side. */
public enum OperatorEvents implements EventCode {

	/** A request without a known operator key was refused. */
	OPERATOR_REFUSED(6001),

	/** An operator applied a change; the outcome is in the fields. */
	OPERATOR_APPLIED(6002),

	/** An operator drains a backend server. */
	OPERATOR_DRAINED(6003),

	/** An operator began to watch. */
	WATCH_STARTED(6004),

	/** A watch ended, by the operator, by a failure or by the stop of the entry. */
	WATCH_ENDED(6005),

	/** An operator's request failed by a defect of this program. */
	OPERATOR_REQUEST_FAILED(6006);

	private final int number;

	OperatorEvents(int number) {
		this.number = number;
	}

	@Override
	public int number() {
		return this.number;
	}

}
