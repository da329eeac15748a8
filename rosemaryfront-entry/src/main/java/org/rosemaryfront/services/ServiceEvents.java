package org.rosemaryfront.services;

import org.rosemaryfront.events.EventCode;

/** Events of plain services and at-most-once calls. */
public enum ServiceEvents implements EventCode {

	/** A call was given to a backend server. */
	SERVICE_CALL_ROUTED(2501),

	/** An at-most-once call had its final answer. */
	SERVICE_CALL_ANSWERED(2502),

	/** No backend server took a call. */
	SERVICE_CALL_UNROUTED(2503),

	/** An attempt at a backend server gave no answer. */
	SERVICE_ATTEMPT_FAILED(2504),

	/** A backend server failed several times in a row and gets no calls for a while. */
	SERVICE_SERVER_EJECTED(2505),

	/** A write of claims was not answered by the table service. */
	CLAIM_WRITE_FAILED(2510),

	/** A call ran and its outcome is not stored yet; storing goes on. */
	CLAIM_OUTCOME_PENDING(2511),

	/** An invariant of the claims is broken. */
	CLAIM_INVARIANT_BROKEN(2590);

	private final int number;

	ServiceEvents(int number) {
		this.number = number;
	}

	@Override
	public int number() {
		return this.number;
	}

}
