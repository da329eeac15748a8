package org.rosemaryfront.serving;

import org.rosemaryfront.model.Resource.Priority;

/**
 * Computes how many summaries of this process may run at the same time: its part of the
 * slots that chats leave free.
 */
final class SummaryLimit {

	/**
	 * The minimum fraction of all slots for summaries, so that chat does not starve them.
	 */
	private static final double MIN_SLOT_FRACTION = 0.1;

	/** The factor by which chats are assumed to need more slots than their mean. */
	private static final double CHAT_MARGIN = 1.1;

	private SummaryLimit() {
	}

	static double maxRunning(ServingState state, String pool, long nowNanos) {
		double slots = (double) state.servers.pool(pool).live().size() * state.slots(pool) / state.livePeers;
		double expectedChats = state.chatArrivals.perNano(nowNanos) * state.estimates.answerNanos(Priority.CHAT);
		return Math.max(MIN_SLOT_FRACTION * slots, slots - CHAT_MARGIN * expectedChats);
	}

	// Returns the number of summaries that can start per nanosecond: the recent rate, or
	// the rate that the limit allows if few summaries were waiting to start.
	static double maxStartsPerNano(ServingState state, String pool, long nowNanos) {
		double allowedRate = maxRunning(state, pool, nowNanos) / state.estimates.answerNanos(Priority.SUMMARY);
		return Math.max(allowedRate, state.summaryStarts.perNano(nowNanos));
	}

}
