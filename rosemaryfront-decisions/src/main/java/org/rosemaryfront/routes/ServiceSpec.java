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
	 */
	public record EngineSpec(int slots, long kvTokens) {
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
