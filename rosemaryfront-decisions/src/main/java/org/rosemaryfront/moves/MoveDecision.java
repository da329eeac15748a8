package org.rosemaryfront.moves;

import org.rosemaryfront.dispatch.BackendServer;

/** What to do about a run at a leaving server. */
public sealed interface MoveDecision {

	/** Nothing for now. */
	record Stay() implements MoveDecision {
	}

	/**
	 * Copy the KV cache entries of the run while it goes on.
	 *
	 * @param target the server that gets the copy
	 * @param transfer the transfer
	 */
	record Copy(BackendServer target, Transfer transfer) implements MoveDecision {
	}

	/**
	 * Stop the run, copy what is new and continue it from the copy.
	 *
	 * @param target the server that has the copy
	 * @param transfer the transfer of what is new
	 */
	record Switch(BackendServer target, Transfer transfer) implements MoveDecision {
	}

	/**
	 * Give up the move; the run stays until its end.
	 *
	 * @param reason the reason
	 */
	record Abandon(Reason reason) implements MoveDecision {
	}

	/**
	 * A transfer of KV cache entries.
	 *
	 * @param millis how long it occupies the link, in milliseconds
	 * @param requestedNanos when it is requested, on the monotonic clock, in nanoseconds
	 * @param expiresNanos until when its end is awaited, on the monotonic clock, in
	 * nanoseconds
	 */
	record Transfer(double millis, long requestedNanos, long expiresNanos) {
	}

	/** Why a move is given up. */
	enum Reason {

		/** It would not be complete before the server is gone. */
		TOO_LATE,

		/** The server with the copy takes no calls any more. */
		TARGET_LOST

	}

}
