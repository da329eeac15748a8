package org.rosemaryfront.serving;

import java.util.EnumSet;
import java.util.Objects;
import java.util.Set;

/**
 * What the serving decisions are started with.
 *
 * @param zone the availability zone of this process
 * @param features the parts of the policy that are on
 * @param requestLimit the greatest number of open requests in this process
 * @param affinityBlocks the prompt blocks that choose the home server; deeper ones differ
 * too much between requests that share a history
 * @param prefillTokensPerSecond prompt tokens a backend server computes a second, until
 * measured
 * @param tokenNanos the time between two tokens of a stream, until measured, in
 * nanoseconds
 * @param exportTokensPerSecond tokens of KV cache a backend server exports a second
 * @param noticeMarginNanos the part of a reclaim notice that is not relied on, in
 * nanoseconds
 * @param retryShare retries allowed for each fresh dispatch
 * @param retryBurst retries allowed at once after a quiet time
 */
public record ServingParameters(String zone, Set<ServingFeature> features, int requestLimit, int affinityBlocks,
		double prefillTokensPerSecond, long tokenNanos, double exportTokensPerSecond, long noticeMarginNanos,
		double retryShare, double retryBurst) {

	private static final long NANOS_PER_MILLI = 1_000_000;

	public ServingParameters {
		Objects.requireNonNull(zone, "zone is null");
		features = Set.copyOf(features);
	}

	// -- factories

	/**
	 * The whole policy with its default figures.
	 * @param zone the availability zone of this process
	 * @return the parameters
	 */
	public static ServingParameters defaults(String zone) {
		return new ServingParameters(zone, EnumSet.allOf(ServingFeature.class), 4_096, 8, 20_000, 25 * NANOS_PER_MILLI,
				20_000, 500 * NANOS_PER_MILLI, 0.2, 16);
	}

	// -- changes

	/**
	 * The same figures with other parts of the policy.
	 * @param features the parts that are on
	 * @return the changed parameters
	 */
	public ServingParameters withFeatures(Set<ServingFeature> features) {
		return new ServingParameters(this.zone, features, this.requestLimit, this.affinityBlocks,
				this.prefillTokensPerSecond, this.tokenNanos, this.exportTokensPerSecond, this.noticeMarginNanos,
				this.retryShare, this.retryBurst);
	}

	// -- queries

	boolean has(ServingFeature feature) {
		return this.features.contains(feature);
	}

}
