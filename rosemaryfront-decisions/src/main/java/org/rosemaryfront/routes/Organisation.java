package org.rosemaryfront.routes;

import java.util.List;
import java.util.OptionalInt;

/**
 * An organisation with the API keys of its callers and its quota.
 *
 * @param name the name
 * @param keys the API keys of its callers
 * @param priority the priority of its calls, which overrides the priority of the route
 * @param unitsPerSecond the quota in units per second, 0 for none; see {@code counts}
 * @param burst the number of units that may be used in one burst in addition to the rate
 * @param quotaUnit the unit of the quota
 * @param defaultTokens the number of tokens charged for a call without token counts
 */
public record Organisation(String name, List<String> keys, OptionalInt priority, double unitsPerSecond, double burst,
		QuotaUnit quotaUnit, int defaultTokens) {

	public Organisation {
		keys = List.copyOf(keys);
	}

	/** The unit of a quota. */
	public enum QuotaUnit {

		/** Requests. */
		REQUESTS,

		/** The prompt tokens and the maximum number of response tokens. */
		TOKENS

	}

}
