package org.rosemaryfront.ports;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;

import org.rosemaryfront.dispatch.SharedParts;

/**
 * What a caller says of its call beside method, path and body.
 *
 * @param requestId names the call; empty when the caller gave none
 * @param remainingMillis how long the caller will wait, in milliseconds
 * @param key the caller's key
 * @param prompt the prompt of a call to a model
 */
public record CallTerms(String requestId, OptionalLong remainingMillis, Optional<String> key, Optional<Prompt> prompt) {

	/**
	 * The prompt of a call.
	 *
	 * @param promptTokens the tokens of the prompt
	 * @param answerTokens the greatest number of tokens of the answer
	 * @param parts the parts of the prompt in order; the last is the call's own
	 */
	public record Prompt(int promptTokens, int answerTokens, List<Part> parts) {

		public Prompt {
			parts = List.copyOf(parts);
		}

		/**
		 * The parts that the call shares with others: all but its own.
		 * @return the chain of parts
		 */
		public SharedParts shared() {
			List<Part> shared = this.parts.subList(0, Math.max(0, this.parts.size() - 1));
			return SharedParts.of(shared.stream().map(Part::id).toList(), shared.stream().map(Part::tokens).toList());
		}

		/**
		 * All parts as one word of a log line.
		 * @return identifiers with sizes, in order
		 */
		public String partList() {
			return this.parts.stream().map((part) -> part.id() + ":" + part.tokens()).collect(Collectors.joining(","));
		}

		/**
		 * The tokens that no other call has.
		 * @return the tokens of the call's own part
		 */
		public int ownTokens() {
			return this.parts.isEmpty() ? this.promptTokens : this.parts.getLast().tokens();
		}

	}

	/**
	 * A part of a prompt.
	 *
	 * @param id names the part; calls with the same name share it
	 * @param tokens its size
	 */
	public record Part(String id, int tokens) {
	}

}
