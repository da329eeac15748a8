package org.rosemaryfront.routes;

import java.util.List;
import java.util.OptionalInt;

/**
 * An organisation with its keys and its quota.
 *
 * @param name the name
 * @param keys the keys of its callers
 * @param priority the rank of its calls, which goes before the route's
 * @param unitsPerSecond the quota, 0 for none; see {@code counts}
 * @param burst what may be used at once beside the rate
 * @param counts what the quota counts
 * @param plainTokens the tokens that a call without token counts stands for
 */
public record Organisation(String name, List<String> keys, OptionalInt priority, double unitsPerSecond, double burst,
		Counts counts, int plainTokens) {

	public Organisation {
		keys = List.copyOf(keys);
	}

	/** What a quota counts. */
	public enum Counts {

		/** Requests. */
		REQUESTS,

		/** Tokens of the prompt and the greatest number of answered tokens. */
		TOKENS

	}

}
