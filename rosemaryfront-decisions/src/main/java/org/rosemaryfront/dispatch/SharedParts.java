package org.rosemaryfront.dispatch;

import java.util.ArrayList;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * The segments at the beginning of a prompt that other calls have in common, in order. An
 * engine that has a segment cached does not prefill it again if it also has all preceding
 * segments cached.
 *
 * @param parts the segments in order
 */
public record SharedParts(List<Part> parts) {

	private static final SharedParts NONE = new SharedParts(List.of());

	public SharedParts {
		parts = List.copyOf(parts);
	}

	// -- factories

	/**
	 * Returns the empty prompt prefix.
	 * @return the empty prompt prefix
	 */
	public static SharedParts none() {
		return NONE;
	}

	/**
	 * Returns a prompt prefix from the names of its segments.
	 * @param names the names in order
	 * @param tokens the sizes in order, in tokens
	 * @return the prompt prefix
	 */
	public static SharedParts of(List<String> names, List<Integer> tokens) {
		List<Part> parts = new ArrayList<>();
		long prefixHash = 0;
		for (int i = 0; i < names.size(); i++) {
			prefixHash = Hashing.wyhashFinal4().hashCharsToLong(Long.toHexString(prefixHash) + '/' + names.get(i));
			parts.add(new Part(prefixHash, tokens.get(i)));
		}
		return parts.isEmpty() ? NONE : new SharedParts(parts);
	}

	// -- queries

	/**
	 * Returns the total size of the segments.
	 * @return the number of tokens
	 */
	public int tokens() {
		return this.parts.stream().mapToInt(Part::tokens).sum();
	}

	/**
	 * Returns the hash that calls with the same segments have in common.
	 * @return the hash of the whole prefix, 0 if it is empty
	 */
	public long hash() {
		return this.parts.isEmpty() ? 0 : this.parts.getLast().chain();
	}

	/**
	 * A segment, identified together with all segments before it.
	 *
	 * @param chain the hash of the segment and all segments before it
	 * @param tokens the number of tokens of this segment alone
	 */
	public record Part(long chain, int tokens) {
	}

}
