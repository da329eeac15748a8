package org.rosemaryfront.serving;

import org.rosemaryfront.model.Resource.Pool;

/**
 * Computes the cost of running a request on a backend server, by the weights of the pool:
 * seconds until the first token and prompt tokens to prefill.
 */
final class RoutingCost {

	/** The cost of a recent failure of the server, higher than the cost of any load. */
	private static final double FAILURE_COST = 1e6;

	/**
	 * The fraction of a reported deviation from the mean load that is expected to
	 * persist.
	 */
	private static final double PERSISTENT_FRACTION = 0.33;

	/** The cost of a server in a leaving zone, lower than that of a failure. */
	private static final double LEAVING_ZONE_COST = 1e5;

	/** The additional weight of a second past the deadline of the first token. */
	private static final double LATENESS_FACTOR = 10;

	/**
	 * The multiple of the median time between tokens up to which a server is not treated
	 * as slow.
	 */
	private static final double SLOWNESS_THRESHOLD = 1.5;

	/**
	 * The fraction of the affinity key's blocks that the home server is expected to have
	 * cached.
	 */
	private static final double HOME_CACHED_FRACTION = 0.5;

	private final ServingState state;

	private final Request request;

	private final Server home;

	private final double meanOtherStreams;

	private final double tokenWeight;

	private final double latenessWeight;

	/**
	 * The wait that each additional stream of this process on a server causes, in
	 * seconds.
	 */
	private final double streamSeconds;

	private final double medianTokenNanos;

	private final int slots;

	private final long nowNanos;

	RoutingCost(ServingState state, Request request, Server home, double meanOtherStreams, double meanStreams,
			double medianTokenNanos, long nowNanos) {
		Pool pool = state.pool(request.spec.pool());
		this.state = state;
		this.request = request;
		this.home = home;
		this.meanOtherStreams = meanOtherStreams;
		this.tokenWeight = (pool != null) ? pool.recomputedTokenWeight() : 0;
		this.latenessWeight = (pool != null) ? pool.latenessWeight() : 1;
		this.slots = state.slots(request.spec.pool());
		double utilisation = Math.min(1, meanStreams / this.slots);
		this.streamSeconds = utilisation * utilisation * state.estimates.answerNanos() / 1e9 / this.slots;
		this.medianTokenNanos = medianTokenNanos;
		this.nowNanos = nowNanos;
	}

	// -- cost

	double totalCost(Server server) {
		double penalty = (server.avoidUntilNanos > this.nowNanos || server.id.equals(this.request.avoidedServer))
				? FAILURE_COST : 0;
		penalty += avoidsLeavingZone(server) ? LEAVING_ZONE_COST : 0;
		if (!this.state.has(ServingFeature.AFFINITY)) {
			return penalty + balancedStreams(server);
		}
		double uncachedTokens = Math.max(0, this.request.contextTokens() - cachedTokens(server));
		double seconds = waitSeconds(server) + this.state.estimates.prefillNanos(uncachedTokens) / 1e9;
		double lateSeconds = Math.max(0, seconds - (this.request.spec.firstTokenDeadlineNanos() - this.nowNanos) / 1e9);
		return penalty + this.tokenWeight * uncachedTokens
				+ this.latenessWeight * (seconds + LATENESS_FACTOR * lateSeconds + slowdownSeconds(server)
						+ this.streamSeconds * balancedStreams(server) * slowdown(server));
	}

	// A request that was already dispatched should not have to move again, so it avoids
	// leaving zones. New requests are short and use the capacity that remains there.
	private boolean avoidsLeavingZone(Server server) {
		return this.state.has(ServingFeature.ZONES) && this.request.isStarted()
				&& this.state.servers.isZoneLeaving(server);
	}

	// Returns the time between tokens of the server as a multiple of the candidates'
	// median, or 1 if the server is not treated as slow.
	private double slowdown(Server server) {
		if (!this.state.has(ServingFeature.SLOW_SERVERS) || this.medianTokenNanos <= 0) {
			return 1;
		}
		double factor = server.tokenNanos(this.nowNanos, this.medianTokenNanos) / this.medianTokenNanos;
		return (factor > SLOWNESS_THRESHOLD) ? factor : 1;
	}

	// Returns the time that a slow server adds to the whole answer, in seconds.
	private double slowdownSeconds(Server server) {
		return (slowdown(server) - 1) * this.state.estimates.answerTokens(this.request) * this.medianTokenNanos / 1e9;
	}

	// All processes receive the same delayed reports. If each process compensated for the
	// whole difference between two servers, all of them together would overshoot by a
	// factor of the number of processes and fill one server after another, so each
	// compensates only for its part.
	private double balancedStreams(Server server) {
		double ownStreams = server.attempts.size();
		return this.state.has(ServingFeature.LOAD_REPORTS)
				? ownStreams + (server.load.otherStreams() - this.meanOtherStreams) / this.state.livePeers : ownStreams;
	}

	double cachedTokens(Server server) {
		double blocks = server.hints.expectedBlocks(this.request.blocks);
		if (server == this.home) {
			int keyBlocks = Math.min(this.request.blocks.length, this.state.parameters.affinityBlocks());
			blocks = Math.max(blocks, HOME_CACHED_FRACTION * keyBlocks);
		}
		return blocks * PrefixBlocks.BLOCK_TOKENS;
	}

	// Uses a smooth maximum of 0 and the number of streams above the slots, because the
	// number of streams is known only approximately.
	private double waitSeconds(Server server) {
		double otherStreams = this.meanOtherStreams
				+ PERSISTENT_FRACTION * (server.load.otherStreams() - this.meanOtherStreams);
		double excessStreams = server.attempts.size() + otherStreams + 1 - this.slots;
		if (server.fullUntilNanos > this.nowNanos) {
			excessStreams = Math.max(excessStreams, 1);
		}
		double smoothedExcess = (excessStreams > 20) ? excessStreams : Math.log1p(Math.exp(excessStreams));
		return smoothedExcess * this.state.estimates.answerNanos() / 1e9 / this.slots;
	}

}
