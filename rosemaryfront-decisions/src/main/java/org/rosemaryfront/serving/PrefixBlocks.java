package org.rosemaryfront.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * A prompt split into blocks, each identified by a hash that is chained over the
 * preceding blocks: two prompts share their first n blocks exactly if they share the n-th
 * hash. A token is a word with the white space before it.
 *
 * <pre>
 * PrefixBlocks blocks = PrefixBlocks.of("plaster", "", prompt);
 * blocks.hashes(); // one per full block
 * </pre>
 *
 * @param tokens the length of the prompt, in tokens
 * @param hashes the chained hashes of the full blocks, first block first
 */
public record PrefixBlocks(int tokens, List<Long> hashes) {

	/** The length of a block, in tokens. */
	public static final int BLOCK_TOKENS = 32;

	private static final Hasher64 HASHER = Hashing.wyhashFinal4();

	public PrefixBlocks {
		hashes = List.copyOf(hashes);
	}

	// -- factories

	/**
	 * Splits a prompt into blocks.
	 * @param model the name of the model
	 * @param adapter the name of the adapter, empty for none
	 * @param prompt the prompt
	 * @return the blocks of the prompt
	 */
	public static PrefixBlocks of(String model, String adapter, String prompt) {
		Objects.requireNonNull(model, "model is null");
		Objects.requireNonNull(adapter, "adapter is null");
		Objects.requireNonNull(prompt, "prompt is null");
		List<Long> hashes = new ArrayList<>();
		long previousHash = HASHER.hashStream().putString(model).putString(adapter).getAsLong();
		int tokens = 0;
		int blockStart = 0;
		int position = 0;
		while (position < prompt.length()) {
			int end = findTokenEnd(prompt, position);
			if (end < 0) {
				break;
			}
			tokens++;
			position = end;
			if (tokens % BLOCK_TOKENS == 0) {
				previousHash = chain(previousHash, prompt, blockStart, end);
				hashes.add(previousHash);
				blockStart = end;
			}
		}
		return new PrefixBlocks(tokens, hashes);
	}

	private static long chain(long previousHash, String prompt, int start, int end) {
		return HASHER.hashStream().putLong(previousHash).putString(prompt.substring(start, end)).getAsLong();
	}

	// Returns the end index of the token that begins at or after the given index, or a
	// negative value if only white space follows.
	private static int findTokenEnd(String prompt, int start) {
		int position = start;
		while (position < prompt.length() && Character.isWhitespace(prompt.charAt(position))) {
			position++;
		}
		if (position == prompt.length()) {
			return -1;
		}
		while (position < prompt.length() && !Character.isWhitespace(prompt.charAt(position))) {
			position++;
		}
		return position;
	}

}
