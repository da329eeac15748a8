package org.rosemaryfront.serving;

import java.util.Optional;

/** Chooses the backend server of a request. */
final class Router {

	private final Candidates candidates = new Candidates();

	// The best server, empty when none has room.
	Optional<Choice> choose(ServingState state, Request request, long nowNanos) {
		this.candidates.find(state.servers.pool(request.spec.pool()), request.key, state.random);
		Server home = this.candidates.home(request.key);
		RoutingCost cost = new RoutingCost(state, request, home, meanOthers(state), meanStreams(), nowNanos);
		double depth = depth(state, request);
		Server best = null;
		double least = Double.MAX_VALUE;
		for (int i = 0; i < this.candidates.count(); i++) {
			Server server = this.candidates.get(i);
			double price = cost.of(server);
			if (price < least && server.streams() < depth) {
				best = server;
				least = price;
			}
		}
		return Optional.ofNullable(best)
			.map((server) -> new Choice(server, (server == home) ? "home" : "cheapest", cost.cachedTokens(server)));
	}

	private double meanOthers(ServingState state) {
		double sum = 0;
		if (state.has(ServingFeature.LOAD_REPORTS)) {
			for (int i = 0; i < this.candidates.count(); i++) {
				sum += this.candidates.get(i).load.others();
			}
		}
		return sum / Math.max(1, this.candidates.count());
	}

	private double meanStreams() {
		double sum = 0;
		for (int i = 0; i < this.candidates.count(); i++) {
			sum += this.candidates.get(i).streams();
		}
		return sum / Math.max(1, this.candidates.count());
	}

	private static double depth(ServingState state, Request request) {
		return (state.has(ServingFeature.BOUNDED_DEPTH) && !request.urgent) ? state.slots(request.spec.pool())
				: Double.MAX_VALUE;
	}

	/** A backend server, why, and the prompt tokens it is expected to have cached. */
	record Choice(Server server, String why, double cachedTokens) {

		String reason() {
			return this.why + ": " + this.server.attempts.size() + " own streams, " + (int) this.server.load.others()
					+ " others, " + (int) this.cachedTokens + " tokens cached";
		}

	}

}
