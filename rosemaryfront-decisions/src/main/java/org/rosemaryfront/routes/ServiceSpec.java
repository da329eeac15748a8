package org.rosemaryfront.routes;

import java.util.Map;
import java.util.Optional;

/**
 * A service as the configuration declares it.
 *
 * @param name the name
 * @param maxConnections the connections that one of its backend servers takes from all
 * callers together
 * @param engine what its model engines hold, empty for plain services
 * @param scaling the bounds of its size, empty where its size is not ours to choose
 */
public record ServiceSpec(String name, int maxConnections, Optional<EngineSpec> engine, Optional<ScalingSpec> scaling) {

	/**
	 * The size of a model engine.
	 *
	 * @param slots the requests that it runs at once
	 * @param kvTokens the tokens that its memory holds
	 * @param tokenBytes what a token takes in it, in bytes; 0 when it is not told
	 * @param linkMegabits what it sends to another engine in a second, in megabits; 0
	 * when it is not told
	 */
	public record EngineSpec(int slots, long kvTokens, long tokenBytes, double linkMegabits) {

		/**
		 * The least time that fetching from another engine takes, in milliseconds: a few
		 * round trips between availability zones; a choice.
		 */
		private static final double FETCH_SETUP_MILLIS = 5;

		/**
		 * How long tokens take from the memory of one engine to that of another.
		 * @param tokens the tokens
		 * @return the time in milliseconds, infinite when engines cannot do that
		 */
		public double fetchMillis(long tokens) {
			boolean able = this.tokenBytes > 0 && this.linkMegabits > 0;
			return able ? FETCH_SETUP_MILLIS + tokens * this.tokenBytes * 8 / (this.linkMegabits * 1_000)
					: Double.POSITIVE_INFINITY;
		}

	}

	/**
	 * The bounds of a service's size, for each availability zone.
	 *
	 * @param min the fewest backend servers of a zone
	 * @param max the most backend servers of a zone
	 * @param bootMillis the time from an order to the first call served, in milliseconds
	 * @param reclaimablePrice what a reclaimable VM costs, as a share of an on-demand one
	 * @param zonePrices the price of an on-demand VM for a second, by zone
	 */
	public record ScalingSpec(int min, int max, long bootMillis, double reclaimablePrice,
			Map<String, Double> zonePrices) {

		public ScalingSpec {
			zonePrices = Map.copyOf(zonePrices);
		}

	}

}
