package org.rosemaryfront.traffic;

import org.rosemaryfront.events.EventCode;

/** Events of calls that pass through a gateway. */
public enum TrafficEvents implements EventCode {

	/** A caller's request was refused before it became a call. */
	REQUEST_REFUSED(2701),

	/** A call was handed to a backend server; with what the choice rested on. */
	CALL_DISPATCHED(2702),

	/** A call did not reach a backend server, or its server failed it. */
	CALL_FAILED(2703),

	/** A call ended with an answer to its caller. */
	CALL_ANSWERED(2704),

	/** A call was refused; it did not run. */
	CALL_REFUSED(2705),

	/** The caller left before the end of its answer. */
	CALLER_LEFT(2706),

	/** An answer broke off after its beginning had gone to the caller. */
	ANSWER_BROKEN(2707),

	/** A backend server sent bytes that answer no call; its connection was closed. */
	STRAY_ANSWER(2708),

	/** A connection failed in a way that nothing else reports. */
	CONNECTION_FAILED(2709),

	/** A stream goes on at another backend server within the same answer. */
	STREAM_RESUMED(2710);

	private final int number;

	TrafficEvents(int number) {
		this.number = number;
	}

	@Override
	public int number() {
		return this.number;
	}

}
