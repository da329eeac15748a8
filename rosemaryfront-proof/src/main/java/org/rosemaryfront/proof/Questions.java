package org.rosemaryfront.proof;

import java.util.List;

import org.rosemaryfront.standin.engine.StandInAnswer;

/** Questions whose answers the stand-in engines make long enough, with those answers. */
public final class Questions {

	/** The greatest length of an answer, in tokens. */
	public static final int MAX_TOKENS = 200;

	private Questions() {
	}

	/**
	 * The answer that is expected to a chat question.
	 * @param model the name of the model
	 * @param question the user's message
	 * @return the text
	 */
	public static String answer(String model, String question) {
		return String.join("", tokens(model, question));
	}

	/**
	 * A question with a long answer.
	 * @param model the name of the model
	 * @param topic what it is about
	 * @param tokens the least length of its answer, in tokens
	 * @return the question
	 */
	public static String withLongAnswer(String model, String topic, int tokens) {
		for (int i = 1; i < 10_000; i++) {
			String question = topic + ", job " + i;
			if (tokens(model, question).size() >= tokens) {
				return question;
			}
		}
		throw new IllegalArgumentException("no answer has " + tokens + " tokens");
	}

	/**
	 * The tokens of the answer that is expected to a chat question.
	 * @param model the name of the model
	 * @param question the user's message
	 * @param maxTokens the greatest length of the answer
	 * @return the tokens
	 */
	static List<String> tokens(String model, String question, int maxTokens) {
		return StandInAnswer.tokens("user: " + question, model, "", maxTokens);
	}

	private static List<String> tokens(String model, String question) {
		return tokens(model, question, MAX_TOKENS);
	}

}
