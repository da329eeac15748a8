package org.rosemaryfront.serving;

import org.rosemaryfront.model.AttemptId;

/** A row of {@link AttemptTable}. */
final class Attempt {

	final AttemptId id;

	/** The attempt under which the stream was opened at the engine. */
	final AttemptId stream;

	final Request request;

	final Server server;

	final ServingCommand.Mode mode;

	final long dispatchedNanos;

	/** The tokens that existed when it was dispatched. */
	final int firstOffset;

	/** The prompt tokens that were believed to be cached at its server. */
	final int believedTokens;

	boolean accepted;

	long acceptedNanos;

	int cachedTokens;

	/** Whether its first token came. */
	boolean begun;

	long lastTokenNanos;

	Attempt(AttemptId id, AttemptId stream, Request request, Server server, ServingCommand.Mode mode,
			long dispatchedNanos) {
		this.id = id;
		this.stream = stream;
		this.request = request;
		this.server = server;
		this.mode = mode;
		this.dispatchedNanos = dispatchedNanos;
		this.believedTokens = server.hints.believedBlocks(request.blocks) * PrefixBlocks.BLOCK_TOKENS;
		this.firstOffset = request.emittedTokens;
	}

}
