package org.rosemaryfront.ports;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;

import org.rosemaryfront.dispatch.SharedParts;

/**
 * The metadata that a caller sends in the headers of its request.
 *
 * @param requestId identifies the call; empty when the caller sent no identifier
 * @param remainingMillis how long the caller will wait for the response, in milliseconds
 * @param key the caller's API key
 * @param prompt the prompt of a call to a model
 */
public record CallTerms(String requestId, OptionalLong remainingMillis, Optional<String> key, Optional<Prompt> prompt) {

	/**
	 * The size and the segments of a prompt.
	 *
	 * @param promptTokens the number of tokens of the prompt
	 * @param answerTokens the maximum number of tokens of the response
	 * @param parts the segments of the prompt in order; the last one is specific to this
	 * call
	 */
	public record Prompt(int promptTokens, int answerTokens, List<Part> parts) {

		public Prompt {
			parts = List.copyOf(parts);
		}

		/**
		 * Returns the prefix that other calls may share: all segments but the last.
		 * @return the chain of segments
		 */
		public SharedParts shared() {
			List<Part> shared = this.parts.subList(0, Math.max(0, this.parts.size() - 1));
			return SharedParts.of(shared.stream().map(Part::id).toList(), shared.stream().map(Part::tokens).toList());
		}

		/**
		 * Returns all segments as one token of a log line.
		 * @return identifiers with sizes, in order
		 */
		public String partList() {
			return this.parts.stream().map((part) -> part.id() + ":" + part.tokens()).collect(Collectors.joining(","));
		}

		/**
		 * Returns the number of tokens that no other call shares.
		 * @return the tokens of the last segment, or of the whole prompt if it has no
		 * segments
		 */
		public int ownTokens() {
			return this.parts.isEmpty() ? this.promptTokens : this.parts.getLast().tokens();
		}

	}

	/**
	 * A segment of a prompt.
	 *
	 * @param id identifies the segment; calls that use the same identifier share it
	 * @param tokens the number of tokens
	 */
	public record Part(String id, int tokens) {
	}

}
