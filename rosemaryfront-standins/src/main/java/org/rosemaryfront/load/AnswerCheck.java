package org.rosemaryfront.load;

import org.rosemaryfront.standin.engine.StandInAnswer;

/** Compares an answer with the one that the request must get, while it comes in. */
final class AnswerCheck {

	private final String expected;

	private int position;

	private int tokens;

	private boolean torn;

	private boolean foreign;

	private AnswerCheck(String expected) {
		this.expected = expected;
	}

	static AnswerCheck of(String prompt, String model, String adapter, int maxTokens) {
		return new AnswerCheck(String.join("", StandInAnswer.tokens(prompt, model, adapter, maxTokens)));
	}

	// Tokens taken so far.
	int tokens() {
		return this.tokens;
	}

	void feed(String text) {
		if (!this.expected.startsWith(text, this.position)) {
			this.foreign |= !this.expected.contains(text);
			this.torn = true;
		}
		this.position += text.length();
		this.tokens += StandInAnswer.countTokens(text);
	}

	// An event says how many tokens there are by now.
	void offset(int offset) {
		this.torn |= offset != this.tokens;
	}

	Result result() {
		if (this.foreign) {
			return Result.FOREIGN;
		}
		return (this.torn || this.position != this.expected.length()) ? Result.TORN : Result.WHOLE;
	}

	/** What an answer is. */
	enum Result {

		/** It is the right one. */
		WHOLE,

		/** Tokens are missing, doubled or out of place. */
		TORN,

		/** It has tokens that are not its own. */
		FOREIGN

	}

}
