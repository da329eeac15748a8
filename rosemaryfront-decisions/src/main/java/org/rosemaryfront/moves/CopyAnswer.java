package org.rosemaryfront.moves;

import java.util.Optional;

/** What a server answers to a request to copy a run. */
public sealed interface CopyAnswer {

	/**
	 * The copy is complete.
	 *
	 * @param handle identifies the copy
	 * @param events the events that the run had made
	 */
	record Copied(String handle, long events) implements CopyAnswer {
	}

	/** The server has no such run. */
	record NoRun() implements CopyAnswer {
	}

	/** Another copy of the run is in progress. */
	record InProgress() implements CopyAnswer {
	}

	/**
	 * The target has no room or cannot be reached.
	 *
	 * @param handle identifies the KV cache entries kept at the source, if the run was to
	 * stop
	 */
	record NoRoom(Optional<String> handle) implements CopyAnswer {
	}

	/**
	 * There is no valid answer: the copy may be complete, and the run may have stopped.
	 *
	 * @param cause the cause
	 */
	record Failed(String cause) implements CopyAnswer {
	}

}
