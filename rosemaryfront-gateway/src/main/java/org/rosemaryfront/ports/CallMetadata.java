package org.rosemaryfront.ports;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;

import org.rosemaryfront.dispatch.PromptPrefix;

/**
 * The metadata that a caller sends in the headers of its request.
 *
 * @param requestId identifies the call; empty when the caller sent no identifier
 * @param remainingMillis how long the caller will wait for the response, in milliseconds
 * @param key the caller's API key
 * @param prompt the prompt of a call to a model
 * @param resumption the stream that the caller takes up, empty for a call that begins one
 */
public record CallMetadata(String requestId, OptionalLong remainingMillis, Optional<String> key,
		Optional<Prompt> prompt, Optional<Resumption> resumption) {

	/**
	 * The size and the segments of a prompt.
	 *
	 * @param promptTokens the number of tokens of the prompt
	 * @param maxResponseTokens the maximum number of tokens of the response
	 * @param segments the segments of the prompt in order; the last one is specific to
	 * this call
	 */
	public record Prompt(int promptTokens, int maxResponseTokens, List<Segment> segments) {

		public Prompt {
			segments = List.copyOf(segments);
		}

		/**
		 * Returns the prefix that other calls may share: all segments but the last.
		 * @return the chain of segments
		 */
		public PromptPrefix sharedPrefix() {
			List<Segment> shared = this.segments.subList(0, Math.max(0, this.segments.size() - 1));
			return PromptPrefix.of(shared.stream().map(Segment::id).toList(),
					shared.stream().map(Segment::tokens).toList());
		}

		/**
		 * Returns all segments as one token of a log line.
		 * @return identifiers with sizes, in order
		 */
		public String segmentList() {
			return this.segments.stream()
				.map((part) -> part.id() + ":" + part.tokens())
				.collect(Collectors.joining(","));
		}

		/**
		 * Returns the number of tokens that no other call shares.
		 * @return the tokens of the last segment, or of the whole prompt if it has no
		 * segments
		 */
		public int unsharedTokens() {
			return this.segments.isEmpty() ? this.promptTokens : this.segments.getLast().tokens();
		}

	}

	/**
	 * A stream that its caller takes up in a new call.
	 *
	 * @param namesCall whether the caller names the call that brought the first event
	 * @param firstCall the identifier of that call; empty when it is not named, or not by
	 * one valid identifier
	 * @param lastEvent the identifier of the last event received, empty when the caller
	 * names none
	 */
	public record Resumption(boolean namesCall, Optional<String> firstCall, Optional<String> lastEvent) {
	}

	/**
	 * A segment of a prompt.
	 *
	 * @param id identifies the segment; calls that use the same identifier share it
	 * @param tokens the number of tokens
	 */
	public record Segment(String id, int tokens) {
	}

}
