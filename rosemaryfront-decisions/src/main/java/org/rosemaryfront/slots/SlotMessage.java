package org.rosemaryfront.slots;

import java.util.Set;

import org.rosemaryfront.dispatch.BackendServer.Incarnation;

/**
 * What gateways tell one another about slots. A number identifies one request for a slot
 * among all of the gateway that made it, also those of its earlier starts.
 */
public sealed interface SlotMessage {

	/**
	 * Returns the number of the request that the message is about.
	 * @return the number
	 */
	long number();

	/**
	 * Asks the keeper for a slot; repeated until it answers.
	 *
	 * @param number the number of the request
	 * @param service the service
	 * @param priority the priority of the call, 0 for the most urgent
	 * @param usefulMillis for how much longer an answer is of use, in milliseconds
	 * @param tried ids of the servers to which the call was already sent
	 * @param passed gateways that come before the keeper and do not answer the sender
	 */
	record Ask(long number, String service, int priority, int usefulMillis, Set<String> tried,
			Set<String> passed) implements SlotMessage {

		public Ask {
			tried = Set.copyOf(tried);
			passed = Set.copyOf(passed);
		}

	}

	/**
	 * Grants a slot, to which nothing was sent yet.
	 *
	 * @param number the number of the request
	 * @param server the run of the server
	 */
	record Grant(long number, Incarnation server) implements SlotMessage {
	}

	/**
	 * Tells that no slot becomes free in time.
	 *
	 * @param number the number of the request
	 * @param retryMillis when one can be expected, in milliseconds from now
	 */
	record Full(long number, int retryMillis) implements SlotMessage {
	}

	/**
	 * Tells that the gateway keeps no slots, since it does not exchange reports with all
	 * others.
	 *
	 * @param number the number of the request
	 */
	record Decline(long number) implements SlotMessage {
	}

	/**
	 * Tells all gateways that some do not reach the keepers before the sender, so that
	 * all agree on it.
	 *
	 * @param number the number of the request by which the sender learned it
	 * @param passed the keepers that are passed over
	 */
	record Passed(long number, Set<String> passed) implements SlotMessage {

		public Passed {
			passed = Set.copyOf(passed);
		}

	}

	/**
	 * Tells the keeper that a call uses a slot, whether it was granted or not; repeated
	 * until the call ends.
	 *
	 * @param number the number of the request
	 * @param server the run of the server
	 */
	record Held(long number, Incarnation server) implements SlotMessage {
	}

	/**
	 * Gives a slot back, or the place of a request that waits for one.
	 *
	 * @param number the number of the request
	 * @param outcome what came of it
	 */
	record Release(long number, Outcome outcome) implements SlotMessage {
	}

	/** What came of a request for a slot. */
	enum Outcome {

		/** The call ended. */
		ENDED,

		/** The server had no free slot and rejected the call. */
		REJECTED,

		/** Nothing was sent to a server. */
		UNUSED

	}

	/**
	 * A message and the gateway that it goes to.
	 *
	 * @param gateway the name of the gateway
	 * @param message the message
	 */
	record Addressed(String gateway, SlotMessage message) {
	}

}
