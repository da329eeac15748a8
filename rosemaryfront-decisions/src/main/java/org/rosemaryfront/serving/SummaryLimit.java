package org.rosemaryfront.serving;

import org.rosemaryfront.model.Resource.Priority;

/**
 * How many summaries of this process may run at a time: its part of the slots that the
 * chats leave.
 */
final class SummaryLimit {

	/**
	 * The part of all slots that summaries can always have, so that chat starves none.
	 */
	private static final double LEAST_SHARE = 0.1;

	/** What chats are taken to need beyond their mean. */
	private static final double CHAT_MARGIN = 1.1;

	private SummaryLimit() {
	}

	static double of(ServingState state, String pool, long nowNanos) {
		double slots = (double) state.servers.pool(pool).live().size() * state.slots(pool) / state.livePeers;
		double chats = state.chatArrivals.perNano(nowNanos) * state.estimates.answerNanos(Priority.CHAT);
		return Math.max(LEAST_SHARE * slots, slots - CHAT_MARGIN * chats);
	}

	// Summaries that can begin a nanosecond: as many as began lately, or as the limit
	// allows when few were there to begin.
	static double startsPerNano(ServingState state, String pool, long nowNanos) {
		double allowed = of(state, pool, nowNanos) / state.estimates.answerNanos(Priority.SUMMARY);
		return Math.max(allowed, state.summaryStarts.perNano(nowNanos));
	}

}
