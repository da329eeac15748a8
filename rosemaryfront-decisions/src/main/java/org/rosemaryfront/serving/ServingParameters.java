package org.rosemaryfront.serving;

import java.util.EnumSet;
import java.util.Objects;
import java.util.Set;

/**
 * The parameters of the serving decisions.
 *
 * @param zone the availability zone of this process
 * @param features the enabled policy features
 * @param requestLimit the maximum number of open requests in this process
 * @param affinityBlocks the number of prompt blocks that determine the home server;
 * deeper blocks differ too much between requests that share a history
 * @param prefillTokensPerSecond the prompt tokens that a backend server computes per
 * second, until measured
 * @param tokenNanos the time between two tokens of a stream, until measured, in
 * nanoseconds
 * @param exportTokensPerSecond the tokens of KV cache that a backend server exports per
 * second
 * @param noticeMarginNanos the part of a reclaim notice that is not relied on, in
 * nanoseconds
 * @param retriesPerDispatch the retries allowed per first dispatch
 * @param retryBurst the retries allowed in one burst after a time without retries
 */
public record ServingParameters(String zone, Set<ServingFeature> features, int requestLimit, int affinityBlocks,
		double prefillTokensPerSecond, long tokenNanos, double exportTokensPerSecond, long noticeMarginNanos,
		double retriesPerDispatch, double retryBurst) {

	private static final long NANOS_PER_MILLI = 1_000_000;

	public ServingParameters {
		Objects.requireNonNull(zone, "zone is null");
		features = Set.copyOf(features);
	}

	// -- factories

	/**
	 * Returns the parameters of the whole policy with default values.
	 * @param zone the availability zone of this process
	 * @return the parameters
	 */
	public static ServingParameters defaults(String zone) {
		return new ServingParameters(zone, EnumSet.allOf(ServingFeature.class), 4_096, 8, 20_000, 25 * NANOS_PER_MILLI,
				20_000, 500 * NANOS_PER_MILLI, 0.2, 16);
	}

	// -- changes

	/**
	 * Returns the same parameters with other policy features.
	 * @param features the enabled features
	 * @return the changed parameters
	 */
	public ServingParameters withFeatures(Set<ServingFeature> features) {
		return new ServingParameters(this.zone, features, this.requestLimit, this.affinityBlocks,
				this.prefillTokensPerSecond, this.tokenNanos, this.exportTokensPerSecond, this.noticeMarginNanos,
				this.retriesPerDispatch, this.retryBurst);
	}

	// -- queries

	boolean has(ServingFeature feature) {
		return this.features.contains(feature);
	}

}
