package org.rosemaryfront.standin.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * The answers that stand-in engines give: every token is a function of the prompt, the
 * model, the adapter and its place only, so that whoever knows the request can check a
 * whole answer, wherever and however often it was resumed.
 *
 * <p>
 * The length is a function of the prompt: the word {@code length=N} in the prompt asks
 * for N tokens, else it is 16 to 271.
 *
 * <pre>
 * String answer = String.join("", StandInAnswer.tokens("a prompt length=3", "m", "", 256));
 * </pre>
 */
public final class StandInAnswer {

	private static final String LENGTH_WORD = "length=";

	private static final int SHORTEST = 16;

	private static final int LENGTHS = 256;

	private static final long WORDS = 46_656;

	private static final long FNV_OFFSET = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	private final long seed;

	private final int naturalLength;

	private StandInAnswer(long seed, int naturalLength) {
		this.seed = seed;
		this.naturalLength = naturalLength;
	}

	// -- factories

	/**
	 * The answer to a prompt.
	 * @param prompt the prompt as the engine gets it
	 * @param model the name of the model; a version after {@code @} does not count
	 * @param adapter the name of the adapter, empty for none
	 * @return the answer
	 */
	public static StandInAnswer of(String prompt, String model, String adapter) {
		Objects.requireNonNull(prompt, "prompt is null");
		long promptHash = hash(FNV_OFFSET, prompt);
		long seed = mix(hash(hash(promptHash, "\0" + unversioned(model)), "\0" + unversioned(adapter)));
		return new StandInAnswer(seed, length(prompt, promptHash));
	}

	/**
	 * All tokens of an answer.
	 * @param prompt the prompt as the engine gets it
	 * @param model the name of the model
	 * @param adapter the name of the adapter, empty for none
	 * @param maxTokens the greatest length of the answer, in tokens
	 * @return the tokens, each with its leading space
	 */
	public static List<String> tokens(String prompt, String model, String adapter, int maxTokens) {
		StandInAnswer answer = of(prompt, model, adapter);
		int length = answer.length(maxTokens);
		List<String> tokens = new ArrayList<>(length);
		for (int i = 0; i < length; i++) {
			tokens.add(answer.token(i));
		}
		return List.copyOf(tokens);
	}

	// -- queries

	/**
	 * Names the prompt, model and adapter that the answer belongs to.
	 * @return a 64-bit hash
	 */
	public long context() {
		return this.seed;
	}

	/**
	 * Why the answer ends.
	 * @param maxTokens the greatest length of the answer, in tokens
	 * @return {@code stop}, or {@code length} when the limit cuts it off
	 */
	public String finishReason(int maxTokens) {
		return (this.naturalLength <= maxTokens) ? "stop" : "length";
	}

	/**
	 * The length of the answer.
	 * @param maxTokens the greatest length of the answer, in tokens
	 * @return the number of tokens
	 */
	public int length(int maxTokens) {
		return Math.min(this.naturalLength, maxTokens);
	}

	/**
	 * One token.
	 * @param index its place in the answer, from 0
	 * @return the token with its leading space
	 */
	public String token(int index) {
		long word = Long.remainderUnsigned(mix(this.seed + index * 0x9e3779b97f4a7c15L), WORDS);
		return " w" + Long.toString(word, Character.MAX_RADIX);
	}

	/**
	 * Counts the tokens of a text.
	 * @param text the text
	 * @return the number of words separated by white space
	 */
	public static int countTokens(String text) {
		int count = 0;
		boolean inWord = false;
		for (int i = 0; i < text.length(); i++) {
			boolean space = Character.isWhitespace(text.charAt(i));
			count += (!space && !inWord) ? 1 : 0;
			inWord = !space;
		}
		return count;
	}

	private static int length(String prompt, long promptHash) {
		int at = prompt.lastIndexOf(LENGTH_WORD);
		if (at >= 0) {
			int end = at + LENGTH_WORD.length();
			int wanted = 0;
			while (end < prompt.length() && Character.isDigit(prompt.charAt(end)) && wanted < 100_000) {
				wanted = wanted * 10 + (prompt.charAt(end) - '0');
				end++;
			}
			if (wanted > 0) {
				return wanted;
			}
		}
		return SHORTEST + (int) Long.remainderUnsigned(mix(promptHash), LENGTHS);
	}

	private static String unversioned(String name) {
		int at = name.indexOf('@');
		return (at < 0) ? name : name.substring(0, at);
	}

	private static long hash(long start, String text) {
		long hash = start;
		for (int i = 0; i < text.length(); i++) {
			hash = (hash ^ text.charAt(i)) * FNV_PRIME;
		}
		return hash;
	}

	// The finaliser of SplitMix64 (Steele, Lea, Flood: Fast Splittable Pseudorandom
	// Number Generators, 2014).
	private static long mix(long value) {
		long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
		return mixed ^ (mixed >>> 31);
	}

}
