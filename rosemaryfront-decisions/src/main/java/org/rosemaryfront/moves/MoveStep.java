package org.rosemaryfront.moves;

import org.rosemaryfront.dispatch.BackendServer;

/** What follows from an answer about a move. */
public sealed interface MoveStep {

	/** Nothing. */
	record None() implements MoveStep {
	}

	/** The run that was asked to stop goes on where it is, or has ended by itself. */
	record NotStopped() implements MoveStep {
	}

	/**
	 * The copy is not needed; free it at both ends.
	 *
	 * @param source the server that made it
	 * @param handle identifies the copy
	 */
	record Drop(BackendServer source, String handle) implements MoveStep {
	}

	/**
	 * The run has stopped and continues from KV cache entries.
	 *
	 * @param server the server that continues it
	 * @param source the server that made the copy
	 * @param handle identifies the copy
	 */
	record Continue(BackendServer server, BackendServer source, String handle) implements MoveStep {
	}

	/** Whether the run has stopped is not known before its stream ends. */
	record Unknown() implements MoveStep {
	}

	/** The run has stopped, and its KV cache entries cannot be used. */
	record Lost() implements MoveStep {
	}

}
