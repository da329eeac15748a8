package org.rosemaryfront.entry;

import java.util.ArrayList;
import java.util.List;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Cuts prompts into blocks and hashes them as a chain: a block's hash covers its own
 * text, the model, the adapter and the hash of the block before it, so that equal hashes
 * mean equal prefixes.
 */
final class PromptBlocks {

	/** The length of a block, in tokens. */
	static final int TOKENS = 32;

	private PromptBlocks() {
	}

	/**
	 * Hashes the full blocks of a prompt.
	 * @param model the name of the model
	 * @param adapter the name of the adapter, empty for none
	 * @param prompt the prompt
	 * @return the hashes, first block first
	 */
	static List<Long> hash(String model, String adapter, String prompt) {
		List<Long> hashes = new ArrayList<>();
		long previous = 0;
		int from = 0;
		int words = 0;
		int at = 0;
		while (at < prompt.length()) {
			at = endOfWord(prompt, at);
			words++;
			if (words % TOKENS == 0 && !prompt.substring(from, at).isBlank()) {
				previous = hash(model, adapter, prompt.substring(from, at), previous);
				hashes.add(previous);
				from = at;
			}
		}
		return List.copyOf(hashes);
	}

	/**
	 * Counts tokens as engines do.
	 * @param prompt the prompt
	 * @return the number of words separated by white space
	 */
	static int countTokens(String prompt) {
		int words = 0;
		boolean inWord = false;
		for (int i = 0; i < prompt.length(); i++) {
			boolean space = Character.isWhitespace(prompt.charAt(i));
			if (!space && !inWord) {
				words++;
			}
			inWord = !space;
		}
		return words;
	}

	private static int endOfWord(String prompt, int start) {
		int at = start;
		while (at < prompt.length() && Character.isWhitespace(prompt.charAt(at))) {
			at++;
		}
		while (at < prompt.length() && !Character.isWhitespace(prompt.charAt(at))) {
			at++;
		}
		return at;
	}

	private static long hash(String model, String adapter, String text, long previous) {
		HashStream64 stream = Hashing.xxh3_64().hashStream();
		return stream.putString(model).putString(adapter).putString(text).putLong(previous).getAsLong();
	}

}
