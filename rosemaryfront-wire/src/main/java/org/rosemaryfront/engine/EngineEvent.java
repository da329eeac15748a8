package org.rosemaryfront.engine;

import org.rosemaryfront.model.AttemptId;

/**
 * An event of an engine's stream. Every event carries the attempt it belongs to, so that
 * an answer to another attempt is recognised and dropped.
 */
public sealed interface EngineEvent {

	/**
	 * The attempt that it belongs to.
	 * @return the attempt
	 */
	AttemptId attempt();

	/**
	 * The engine runs the stream.
	 *
	 * @param attempt the attempt
	 * @param cachedTokens prompt tokens found in the prefix cache
	 */
	record Accepted(AttemptId attempt, int cachedTokens) implements EngineEvent {
	}

	/**
	 * A token of the answer.
	 *
	 * @param attempt the attempt
	 * @param index its place in the answer, from 0
	 * @param text its text
	 */
	record Token(AttemptId attempt, int index, String text) implements EngineEvent {
	}

	/**
	 * The stream is alive.
	 *
	 * @param attempt the attempt
	 */
	record Heartbeat(AttemptId attempt) implements EngineEvent {
	}

	/**
	 * The answer is whole.
	 *
	 * @param attempt the attempt
	 * @param finishReason {@code stop} or {@code length}
	 * @param tokens the length of the whole answer, in tokens
	 */
	record Done(AttemptId attempt, String finishReason, int tokens) implements EngineEvent {
	}

	/**
	 * The engine gives the stream up; the answer is not whole.
	 *
	 * @param attempt the attempt
	 * @param reason {@code leaving}, {@code expired}, {@code moved} or {@code cancelled}
	 */
	record Stopped(AttemptId attempt, String reason) implements EngineEvent {
	}

}
