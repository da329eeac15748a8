package org.rosemaryfront.entry;

import java.util.Objects;

import org.rosemaryfront.model.Problem;

/**
 * What a reader of an answer learns, in order.
 */
sealed interface AnswerEvent {

	/**
	 * A token of the answer.
	 *
	 * @param index its place in the answer, from 0
	 * @param text its text
	 */
	record Token(int index, String text) implements AnswerEvent {

		public Token {
			Objects.requireNonNull(text, "text is null");
		}

	}

	/** Nothing came for a while and the answer goes on. */
	record Heartbeat() implements AnswerEvent {
	}

	/**
	 * The answer is whole; the last event.
	 *
	 * @param reason {@code stop} or {@code length}
	 */
	record Finished(String reason) implements AnswerEvent {
	}

	/**
	 * The request failed; the last event.
	 *
	 * @param problem what the caller reads
	 */
	record Failed(Problem problem) implements AnswerEvent {
	}

	/** Another entry process goes on with the answer; the last event. */
	record Moved() implements AnswerEvent {
	}

}
