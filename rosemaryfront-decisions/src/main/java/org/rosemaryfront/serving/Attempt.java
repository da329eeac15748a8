package org.rosemaryfront.serving;

import org.rosemaryfront.model.AttemptId;

/** An execution of a request on a backend server; a row of {@link AttemptTable}. */
final class Attempt {

	final AttemptId id;

	/** The ID of the attempt under which the stream was opened at the engine. */
	final AttemptId streamId;

	final Request request;

	final Server server;

	final ServingCommand.Mode mode;

	final long dispatchedNanos;

	/** The number of answer tokens that were already emitted at dispatch. */
	final int initialTokens;

	/**
	 * The prompt tokens in the server's prefix cache at dispatch, according to the hints.
	 */
	final int hintedTokens;

	boolean accepted;

	long acceptedNanos;

	int cachedTokens;

	/** Whether its first token was received. */
	boolean firstTokenReceived;

	long lastTokenNanos;

	Attempt(AttemptId id, AttemptId streamId, Request request, Server server, ServingCommand.Mode mode,
			long dispatchedNanos) {
		this.id = id;
		this.streamId = streamId;
		this.request = request;
		this.server = server;
		this.mode = mode;
		this.dispatchedNanos = dispatchedNanos;
		this.hintedTokens = server.hints.hintedBlocks(request.blocks) * PrefixBlocks.BLOCK_TOKENS;
		this.initialTokens = request.emittedTokens;
	}

}
