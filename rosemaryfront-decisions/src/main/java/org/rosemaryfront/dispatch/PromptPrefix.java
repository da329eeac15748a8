package org.rosemaryfront.dispatch;

import java.util.ArrayList;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * The segments at the beginning of a prompt that other calls have in common, in order. An
 * engine that has a segment cached does not prefill it again if it also has all preceding
 * segments cached.
 *
 * @param segments the segments in order
 */
public record PromptPrefix(List<Segment> segments) {

	private static final PromptPrefix NONE = new PromptPrefix(List.of());

	public PromptPrefix {
		segments = List.copyOf(segments);
	}

	// -- factories

	/**
	 * Returns the empty prompt prefix.
	 * @return the empty prompt prefix
	 */
	public static PromptPrefix none() {
		return NONE;
	}

	/**
	 * Returns a prompt prefix from the names of its segments.
	 * @param names the names in order
	 * @param tokens the sizes in order, in tokens
	 * @return the prompt prefix
	 */
	public static PromptPrefix of(List<String> names, List<Integer> tokens) {
		List<Segment> segments = new ArrayList<>();
		long prefixHash = 0;
		for (int i = 0; i < names.size(); i++) {
			prefixHash = Hashing.wyhashFinal4().hashCharsToLong(Long.toHexString(prefixHash) + '/' + names.get(i));
			segments.add(new Segment(prefixHash, tokens.get(i)));
		}
		return segments.isEmpty() ? NONE : new PromptPrefix(segments);
	}

	// -- queries

	/**
	 * Returns the total size of the segments.
	 * @return the number of tokens
	 */
	public int tokens() {
		int tokens = 0;
		for (Segment segment : this.segments) {
			tokens += segment.tokens();
		}
		return tokens;
	}

	/**
	 * Returns the hash that calls with the same segments have in common.
	 * @return the hash of the whole prefix, 0 if it is empty
	 */
	public long hash() {
		return this.segments.isEmpty() ? 0 : this.segments.getLast().prefixHash();
	}

	/**
	 * A segment, identified together with all segments before it.
	 *
	 * @param prefixHash the hash of the segment and all segments before it
	 * @param tokens the number of tokens of this segment alone
	 */
	public record Segment(long prefixHash, int tokens) {
	}

}
