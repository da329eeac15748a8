package org.rosemaryfront.dispatch;

import java.util.ArrayList;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * The parts of a prompt that other calls have too, in order. An engine that has read a
 * part need not read it again, as long as it has all parts before it.
 *
 * @param parts the parts in order
 */
public record SharedParts(List<Part> parts) {

	private static final SharedParts NONE = new SharedParts(List.of());

	public SharedParts {
		parts = List.copyOf(parts);
	}

	// -- factories

	/**
	 * No shared parts.
	 * @return the empty chain
	 */
	public static SharedParts none() {
		return NONE;
	}

	/**
	 * A chain from the names of its parts.
	 * @param names the names in order
	 * @param tokens the sizes in order
	 * @return the chain
	 */
	public static SharedParts of(List<String> names, List<Integer> tokens) {
		List<Part> parts = new ArrayList<>();
		long chain = 0;
		for (int i = 0; i < names.size(); i++) {
			chain = Hashing.wyhashFinal4().hashCharsToLong(Long.toHexString(chain) + '/' + names.get(i));
			parts.add(new Part(chain, tokens.get(i)));
		}
		return parts.isEmpty() ? NONE : new SharedParts(parts);
	}

	// -- queries

	/**
	 * The size of all parts.
	 * @return the tokens
	 */
	public int tokens() {
		return this.parts.stream().mapToInt(Part::tokens).sum();
	}

	/**
	 * What calls with the same parts have in common.
	 * @return the name of the whole chain, 0 when it is empty
	 */
	public long name() {
		return this.parts.isEmpty() ? 0 : this.parts.getLast().chain();
	}

	/**
	 * A part with all that stands before it.
	 *
	 * @param chain names the part and those before it
	 * @param tokens the size of the part alone
	 */
	public record Part(long chain, int tokens) {
	}

}
