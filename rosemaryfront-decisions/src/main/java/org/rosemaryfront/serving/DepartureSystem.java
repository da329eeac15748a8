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
final class DepartureSystem implements ServingSystem {

	/** The factor by which an answer may take longer than estimated. */
	private static final double FINISH_MARGIN = 1.25;

	private static final Comparator<Attempt> LONGEST_CONTEXT_FIRST = Comparator
		.comparing((Attempt attempt) -> -attempt.request.contextTokens());

	private final Router router;

	DepartureSystem(Router router) {
		this.router = router;
	}

	@Override
	public void run(ServingState state, long nowNanos) {
		if (!state.has(ServingFeature.EVACUATION)) {
			return;
		}
		for (Server server : state.servers.leaving()) {
			if (!server.attempts.isEmpty() && server.goneAtNanos != Long.MAX_VALUE) {
				evacuate(state, server, nowNanos);
			}
		}
	}

	private void evacuate(ServingState state, Server server, long nowNanos) {
		List<Attempt> moving = new ArrayList<>();
		double exportNanos = 0;
		for (Attempt attempt : server.attempts.values()) {
			if (!finishes(state, attempt, nowNanos)) {
				moving.add(attempt);
				exportNanos += exportNanos(state, attempt);
			}
		}
		moving.sort(LONGEST_CONTEXT_FIRST);
		boolean last = nowNanos + FINISH_MARGIN * exportNanos
				+ 2 * state.parameters.noticeMarginNanos() > server.goneAtNanos;
		moving.forEach((attempt) -> move(state, attempt, last, nowNanos));
	}

	// Whether the answer is expected to be complete before the server is terminated. An
	// answer that is already longer than expected is assumed to need half of the tokens
	// that it may still have.
	private static boolean finishes(ServingState state, Attempt attempt, long nowNanos) {
		Request request = attempt.request;
		double expected = state.estimates.answerTokens(request) - request.emittedTokens;
		double remaining = (expected > 1) ? expected : (request.spec.maxTokens() - request.emittedTokens) / 2.0;
		double prefill = attempt.begun ? 0 : state.estimates.prefillNanos(request.contextTokens());
		double needed = prefill + remaining * state.estimates.tokenNanos();
		return nowNanos + FINISH_MARGIN * needed + state.parameters.noticeMarginNanos() < attempt.server.goneAtNanos;
	}

	// -- moves

	// A stream moves immediately if another server has room. Otherwise it continues in
	// place; when the notice is about to end, its request is marked as urgent for the
	// choice of the server.
	private void move(ServingState state, Attempt attempt, boolean last, long nowNanos) {
		Request request = attempt.request;
		request.urgent = last;
		Optional<Router.Choice> choice = this.router.choose(state, request, nowNanos);
		if (choice.isEmpty()) {
			request.urgent = false;
			return;
		}
		Server destination = choice.get().server();
		request.urgent = false;
		if (state.has(ServingFeature.CACHE_MOVES) && importIsBetter(state, attempt, nowNanos)) {
			Server source = attempt.server;
			source.exportFreeNanos = (long) exportEnd(state, attempt, nowNanos);
			request.cacheSource = attempt;
			state.end(attempt, nowNanos);
			state.dispatch(request, destination,
					new ServingCommand.Mode.Import(source.id, source.address, attempt.stream),
					"cache move from leaving " + source.id, nowNanos);
		}
		else {
			state.cancel(attempt, "server leaves", nowNanos);
			state.dispatch(request, destination, new ServingCommand.Mode.Replay(),
					"replay from leaving " + attempt.server.id, nowNanos);
		}
	}

	private static boolean importIsBetter(ServingState state, Attempt attempt, long nowNanos) {
		if (!attempt.begun) {
			return false;
		}
		double end = exportEnd(state, attempt, nowNanos);
		if (end > attempt.server.goneAtNanos) {
			return false;
		}
		Pool pool = state.pool(attempt.request.spec.pool());
		double tokenWeight = (pool != null) ? pool.recomputedTokenWeight() : 1;
		double latenessWeight = (pool != null) ? pool.latenessWeight() : 1;
		int context = attempt.request.contextTokens();
		double importCost = latenessWeight * (end - nowNanos) / 1e9;
		double replayCost = tokenWeight * context + latenessWeight * state.estimates.prefillNanos(context) / 1e9;
		return importCost < replayCost;
	}

	private static double exportEnd(ServingState state, Attempt attempt, long nowNanos) {
		return Math.max(nowNanos, attempt.server.exportFreeNanos) + exportNanos(state, attempt);
	}

	private static double exportNanos(ServingState state, Attempt attempt) {
		return attempt.request.contextTokens() * 1e9 / state.parameters.exportTokensPerSecond();
	}

}
