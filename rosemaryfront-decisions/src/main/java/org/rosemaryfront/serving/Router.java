package org.rosemaryfront.serving;

import java.util.List;
import java.util.Optional;

/** Chooses the backend server of a request. */
final class Router {

	/** What a server that failed lately is worse by, more than any load. */
	private static final double FAILED = 1e6;

	// -- choice

	// The best server, empty when none has room.
	Optional<Choice> choose(ServingState state, Request request, long nowNanos) {
		List<Server> live = state.servers.live(request.spec.pool());
		double mean = meanOthers(state, live);
		double depth = depth(state, request);
		Server best = null;
		double bestScore = Double.MAX_VALUE;
		int offset = live.isEmpty() ? 0 : state.random.nextInt(live.size());
		for (int i = 0; i < live.size(); i++) {
			Server server = live.get((i + offset) % live.size());
			double score = load(state, server, mean) + failed(request, server, nowNanos);
			if (score < bestScore && server.streams() < depth) {
				best = server;
				bestScore = score;
			}
		}
		return Optional.ofNullable(best)
			.map((server) -> new Choice(server,
					"least load (" + server.attempts.size() + " own streams, " + server.load.others() + " others)"));
	}

	// Every process sees the same late reports. If each made up for the whole difference
	// between two servers, all of them together would overshoot by the number of
	// processes and fill one server after another, so each makes up for its part.
	private static double load(ServingState state, Server server, double meanOthers) {
		double own = server.attempts.size();
		return state.has(ServingFeature.LOAD_REPORTS) ? own + (server.load.others() - meanOthers) / state.livePeers
				: own;
	}

	private static double meanOthers(ServingState state, List<Server> live) {
		double sum = 0;
		if (state.has(ServingFeature.LOAD_REPORTS)) {
			for (Server server : live) {
				sum += server.load.others();
			}
		}
		return sum / Math.max(1, live.size());
	}

	private static double depth(ServingState state, Request request) {
		return (state.has(ServingFeature.BOUNDED_DEPTH) && !request.urgent) ? state.slots(request.spec.pool())
				: Double.MAX_VALUE;
	}

	private static double failed(Request request, Server server, long nowNanos) {
		return (server.avoidUntilNanos > nowNanos || server.id.equals(request.avoid)) ? FAILED : 0;
	}

	/** A backend server with the reason for the decision log. */
	record Choice(Server server, String reason) {
	}

}
