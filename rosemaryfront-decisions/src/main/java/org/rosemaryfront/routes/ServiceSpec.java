package org.rosemaryfront.routes;

import java.util.Map;
import java.util.Optional;

/**
 * A service as declared in the configuration.
 *
 * @param name the name
 * @param maxConnections the maximum number of connections that one of its backend servers
 * accepts from all callers together
 * @param engine the parameters of its model engines, empty for services without a model
 * @param scaling the bounds of its size, empty if its size is not managed here
 */
public record ServiceSpec(String name, int maxConnections, Optional<EngineSpec> engine, Optional<ScalingSpec> scaling) {

	/**
	 * The parameters of a model engine.
	 *
	 * @param slots the maximum number of requests that it runs concurrently
	 * @param kvCacheTokens the capacity of its KV cache, in tokens
	 * @param tokenBytes the size of a token in the KV cache, in bytes; 0 if unknown
	 * @param linkMegabitsPerSecond the transfer rate to another engine, in megabits per
	 * second; 0 if unknown
	 * @param moves how runs move to another engine, empty if they cannot
	 */
	public record EngineSpec(int slots, long kvCacheTokens, long tokenBytes, double linkMegabitsPerSecond,
			Optional<MoveSpec> moves) {

		/**
		 * The minimum duration of a transfer from another engine, in milliseconds: a few
		 * round trips between availability zones.
		 */
		private static final double TRANSFER_SETUP_MILLIS = 5;

		/**
		 * Creates the parameters of an engine whose runs cannot move.
		 * @param slots the maximum number of requests that it runs concurrently
		 * @param kvCacheTokens the capacity of its KV cache, in tokens
		 * @param tokenBytes the size of a token in the KV cache, in bytes; 0 if unknown
		 * @param linkMegabitsPerSecond the transfer rate to another engine, in megabits
		 * per second; 0 if unknown
		 */
		public EngineSpec(int slots, long kvCacheTokens, long tokenBytes, double linkMegabitsPerSecond) {
			this(slots, kvCacheTokens, tokenBytes, linkMegabitsPerSecond, Optional.empty());
		}

		/**
		 * Returns how long the transfer of KV cache entries from one engine to another
		 * takes.
		 * @param tokens the number of tokens
		 * @return the time in milliseconds, infinite if the engines do not support
		 * transfers
		 */
		public double transferMillis(long tokens) {
			boolean supported = this.tokenBytes > 0 && this.linkMegabitsPerSecond > 0;
			return supported
					? TRANSFER_SETUP_MILLIS + tokens * this.tokenBytes * 8 / (this.linkMegabitsPerSecond * 1_000)
					: Double.POSITIVE_INFINITY;
		}

	}

	/**
	 * How runs move from one engine to another together with their KV cache entries.
	 *
	 * @param handleMillis how long an engine keeps a copy that is not used, in
	 * milliseconds
	 * @param tokensPerEvent the tokens in an event of a stream
	 */
	public record MoveSpec(long handleMillis, int tokensPerEvent) {
	}

	/**
	 * The bounds of the size of a service in each availability zone, and its prices.
	 *
	 * @param min the minimum number of backend servers in a zone
	 * @param max the maximum number of backend servers in a zone
	 * @param bootMillis the time from an order to the first call served, in milliseconds
	 * @param reclaimablePrice the price of a reclaimable VM as a fraction of the price of
	 * an on-demand VM
	 * @param zonePrices the price of an on-demand VM per second, by zone
	 */
	public record ScalingSpec(int min, int max, long bootMillis, double reclaimablePrice,
			Map<String, Double> zonePrices) {

		public ScalingSpec {
			zonePrices = Map.copyOf(zonePrices);
		}

	}

}
