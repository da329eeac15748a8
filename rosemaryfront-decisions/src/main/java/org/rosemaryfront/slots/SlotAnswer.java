package org.rosemaryfront.slots;

import org.rosemaryfront.dispatch.BackendServer.Incarnation;

/** What a gateway does with a call that asked for a slot; there is one for each call. */
public sealed interface SlotAnswer {

	/**
	 * The call is sent to a server.
	 *
	 * @param server the run of the server
	 */
	record Send(Incarnation server) implements SlotAnswer {
	}

	/**
	 * The call is refused; it has not run.
	 *
	 * @param retryMillis when a slot can be expected, in milliseconds from now
	 */
	record Refuse(int retryMillis) implements SlotAnswer {
	}

	/** The keeper did not answer in time: the gateway chooses a server by itself. */
	record ChooseAlone() implements SlotAnswer {
	}

	/**
	 * The answer to a request.
	 *
	 * @param number the number of the request
	 * @param answer the answer
	 */
	record Answered(long number, SlotAnswer answer) {
	}

}
