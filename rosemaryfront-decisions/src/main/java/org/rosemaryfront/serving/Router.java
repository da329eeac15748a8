package org.rosemaryfront.serving;

import java.util.List;
import java.util.Optional;

/** Chooses the backend server of a request. */
final class Router {

	// -- choice

	// The best server, empty when none has room.
	Optional<Choice> choose(ServingState state, Request request, long nowNanos) {
		List<Server> live = state.servers.live(request.spec.pool());
		Server best = null;
		double bestScore = Double.MAX_VALUE;
		int depth = depth(state, request);
		int offset = live.isEmpty() ? 0 : state.random.nextInt(live.size());
		for (int i = 0; i < live.size(); i++) {
			Server server = live.get((i + offset) % live.size());
			double score = score(request, server, nowNanos);
			if (server.attempts.size() < depth && score < bestScore) {
				best = server;
				bestScore = score;
			}
		}
		return Optional.ofNullable(best)
			.map((server) -> new Choice(server, "least in flight (" + server.attempts.size() + ")"));
	}

	private static int depth(ServingState state, Request request) {
		return (state.has(ServingFeature.BOUNDED_DEPTH) && !request.urgent) ? state.slots(request.spec.pool())
				: Integer.MAX_VALUE;
	}

	private static double score(Request request, Server server, long nowNanos) {
		double failed = (server.avoidUntilNanos > nowNanos || server.id.equals(request.avoid)) ? 1e6 : 0;
		return failed + server.attempts.size();
	}

	/** A backend server with the reason for the decision log. */
	record Choice(Server server, String reason) {
	}

}
