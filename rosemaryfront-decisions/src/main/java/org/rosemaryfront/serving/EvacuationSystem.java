package org.rosemaryfront.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.rosemaryfront.model.Resource.Pool;

/**
 * Moves streams away from backend servers that are leaving. A stream stays if it is
 * expected to finish within the notice; otherwise it moves with its KV cache or is
 * replayed, whichever costs less by the weights of the pool. The longest contexts are
 * exported first.
 */
final class EvacuationSystem implements ServingSystem {

	/** The factor by which an answer may take longer than estimated. */
	private static final double FINISH_MARGIN = 1.25;

	private static final Comparator<Attempt> LONGEST_CONTEXT_FIRST = Comparator
		.comparing((Attempt attempt) -> -attempt.request.contextTokens());

	private final Router router;

	EvacuationSystem(Router router) {
		this.router = router;
	}

	@Override
	public void run(ServingState state, long nowNanos) {
		if (!state.has(ServingFeature.EVACUATION)) {
			return;
		}
		for (Server server : state.servers.leaving()) {
			if (!server.attempts.isEmpty() && server.terminationNanos != Long.MAX_VALUE) {
				evacuate(state, server, nowNanos);
			}
		}
	}

	private void evacuate(ServingState state, Server server, long nowNanos) {
		List<Attempt> movingAttempts = new ArrayList<>();
		double exportNanos = 0;
		for (Attempt attempt : server.attempts.values()) {
			if (!finishesInTime(state, attempt, nowNanos)) {
				movingAttempts.add(attempt);
				exportNanos += exportNanos(state, attempt);
			}
		}
		movingAttempts.sort(LONGEST_CONTEXT_FIRST);
		boolean mustMoveNow = nowNanos + FINISH_MARGIN * exportNanos
				+ 2 * state.parameters.noticeMarginNanos() > server.terminationNanos;
		movingAttempts.forEach((attempt) -> move(state, attempt, mustMoveNow, nowNanos));
	}

	// Whether the answer is expected to be complete before the server is terminated. An
	// answer that is already longer than expected is assumed to need half of the tokens
	// that it may still have.
	private static boolean finishesInTime(ServingState state, Attempt attempt, long nowNanos) {
		Request request = attempt.request;
		double expectedTokens = state.estimates.answerTokens(request) - request.emittedTokens;
		double remainingTokens = (expectedTokens > 1) ? expectedTokens
				: (request.spec.maxTokens() - request.emittedTokens) / 2.0;
		double prefillNanos = attempt.firstTokenReceived ? 0 : state.estimates.prefillNanos(request.contextTokens());
		double neededNanos = prefillNanos + remainingTokens * state.estimates.tokenNanos();
		return nowNanos + FINISH_MARGIN * neededNanos
				+ state.parameters.noticeMarginNanos() < attempt.server.terminationNanos;
	}

	// -- moves

	// A stream moves immediately if another server has room. Otherwise it continues in
	// place; when the notice is about to end, its request is marked as urgent for the
	// choice of the server.
	private void move(ServingState state, Attempt attempt, boolean mustMoveNow, long nowNanos) {
		Request request = attempt.request;
		request.urgent = mustMoveNow;
		Optional<Router.Choice> choice = this.router.choose(state, request, nowNanos);
		if (choice.isEmpty()) {
			request.urgent = false;
			return;
		}
		Server destination = choice.get().server();
		request.urgent = false;
		if (state.has(ServingFeature.CACHE_MOVES) && importIsBetter(state, attempt, nowNanos)) {
			Server source = attempt.server;
			source.exportFreeNanos = (long) exportEndNanos(state, attempt, nowNanos);
			request.cacheSource = attempt;
			state.end(attempt, nowNanos);
			state.dispatch(request, destination,
					new ServingCommand.Mode.Import(source.id, source.address, attempt.streamId),
					"cache move from leaving " + source.id, nowNanos);
		}
		else {
			state.cancel(attempt, "server leaves", nowNanos);
			state.dispatch(request, destination, new ServingCommand.Mode.Replay(),
					"replay from leaving " + attempt.server.id, nowNanos);
		}
	}

	private static boolean importIsBetter(ServingState state, Attempt attempt, long nowNanos) {
		if (!attempt.firstTokenReceived) {
			return false;
		}
		double endNanos = exportEndNanos(state, attempt, nowNanos);
		if (endNanos > attempt.server.terminationNanos) {
			return false;
		}
		Pool pool = state.pool(attempt.request.spec.pool());
		double tokenWeight = (pool != null) ? pool.recomputedTokenWeight() : 1;
		double latenessWeight = (pool != null) ? pool.latenessWeight() : 1;
		int contextTokens = attempt.request.contextTokens();
		double importCost = latenessWeight * (endNanos - nowNanos) / 1e9;
		double replayCost = tokenWeight * contextTokens
				+ latenessWeight * state.estimates.prefillNanos(contextTokens) / 1e9;
		return importCost < replayCost;
	}

	private static double exportEndNanos(ServingState state, Attempt attempt, long nowNanos) {
		return Math.max(nowNanos, attempt.server.exportFreeNanos) + exportNanos(state, attempt);
	}

	private static double exportNanos(ServingState state, Attempt attempt) {
		return attempt.request.contextTokens() * 1e9 / state.parameters.exportTokensPerSecond();
	}

}
