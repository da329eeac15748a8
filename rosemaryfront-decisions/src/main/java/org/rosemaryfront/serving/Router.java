package org.rosemaryfront.serving;

import java.util.Arrays;
import java.util.Optional;

/** Chooses the backend server for a request. */
final class Router {

	/** The slots per server that summaries leave free for chat. */
	private static final double CHAT_RESERVED_SLOTS = 2;

	private final Candidates candidates = new Candidates();

	private final double[] tokenTimes = new double[Candidates.MAX_COUNT];

	// Returns the server with the lowest cost, or empty if none has room.
	Optional<Choice> choose(ServingState state, Request request, long nowNanos) {
		this.candidates.find(state.servers.pool(request.spec.pool()), request.affinityKey, state.random);
		Server home = this.candidates.home(request.affinityKey);
		RoutingCost cost = new RoutingCost(state, request, home, meanOtherStreams(state), meanStreams(),
				medianTokenNanos(), nowNanos);
		double streamLimit = streamLimit(state, request, nowNanos);
		Server best = null;
		double lowestCost = Double.MAX_VALUE;
		for (int i = 0; i < this.candidates.count(); i++) {
			Server server = this.candidates.get(i);
			double serverCost = cost.totalCost(server);
			if (serverCost < lowestCost && server.streams() < streamLimit) {
				best = server;
				lowestCost = serverCost;
			}
		}
		return Optional.ofNullable(best)
			.map((server) -> new Choice(server, (server == home) ? "home" : "cheapest", cost.cachedTokens(server)));
	}

	// Returns the median time between tokens over the candidates, or 0 if none was
	// measured.
	private double medianTokenNanos() {
		int measured = 0;
		for (int i = 0; i < this.candidates.count(); i++) {
			double nanos = this.candidates.get(i).tokenNanos;
			if (nanos > 0) {
				this.tokenTimes[measured++] = nanos;
			}
		}
		Arrays.sort(this.tokenTimes, 0, measured);
		return (measured > 0) ? this.tokenTimes[measured / 2] : 0;
	}

	private double meanOtherStreams(ServingState state) {
		double sum = 0;
		if (state.has(ServingFeature.LOAD_REPORTS)) {
			for (int i = 0; i < this.candidates.count(); i++) {
				sum += this.candidates.get(i).load.otherStreams();
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

	// Returns the number of streams below which a server has room for the request. A
	// summary leaves slots free for chat, which would otherwise have to wait for the end
	// of a long answer, until half of the summary's time to the first token has passed.
	private static double streamLimit(ServingState state, Request request, long nowNanos) {
		if (!state.has(ServingFeature.PRIORITIES) || request.isChat() || request.isStarted()) {
			return Double.MAX_VALUE;
		}
		if (state.summariesRunning >= SummaryLimit.maxRunning(state, request.spec.pool(), nowNanos)) {
			return 0;
		}
		boolean slotsReserved = nowNanos
				- request.arrivedNanos < (request.spec.firstTokenDeadlineNanos() - request.arrivedNanos) / 2;
		return state.slots(request.spec.pool()) - (slotsReserved ? CHAT_RESERVED_SLOTS : 0);
	}

	/**
	 * The chosen backend server, the reason and the prompt tokens that it is expected to
	 * have cached.
	 */
	record Choice(Server server, String criterion, double cachedTokens) {

		String reason() {
			return this.criterion + ": " + this.server.attempts.size() + " own streams, "
					+ (int) this.server.load.otherStreams() + " others, " + (int) this.cachedTokens + " tokens cached";
		}

	}

}
