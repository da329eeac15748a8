package org.rosemaryfront.serving;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/**
 * Sends chats that wait in the queue of a backend server to another one. A server that
 * has a free slot accepts within a step or two; when it has not by then, it is full,
 * whatever the last load report says, and nothing was computed there yet.
 */
final class ReroutingSystem implements ServingSystem {

	/** What two processes and the network may add to a step, in nanoseconds. */
	private static final double LATENCY_NANOS = 20e6;

	/** Steps of the engine after which an attempt is taken to wait. */
	private static final double STEPS = 2.5;

	/** How long a server is taken to be full, in nanoseconds. */
	private static final long FULL_NANOS = 300_000_000;

	/** Times that a request is sent elsewhere. */
	private static final int LIMIT = 4;

	private final Router router;

	ReroutingSystem(Router router) {
		this.router = router;
	}

	@Override
	public void run(ServingState state, long nowNanos) {
		if (!state.has(ServingFeature.REROUTING)) {
			return;
		}
		double patience = LATENCY_NANOS + STEPS * state.estimates.stepNanos();
		Iterator<Attempt> oldest = state.attempts.unaccepted().iterator();
		List<Attempt> waiting = new ArrayList<>();
		while (oldest.hasNext()) {
			Attempt attempt = oldest.next();
			if (nowNanos - attempt.dispatchedNanos < patience) {
				break;
			}
			oldest.remove();
			waiting.add(attempt);
		}
		waiting.forEach((attempt) -> reroute(state, attempt, nowNanos));
	}

	private void reroute(ServingState state, Attempt attempt, long nowNanos) {
		Request request = attempt.request;
		boolean movable = attempt.mode instanceof ServingCommand.Mode.Fresh
				|| attempt.mode instanceof ServingCommand.Mode.Replay;
		attempt.server.fullUntilNanos = nowNanos + FULL_NANOS;
		if (!movable || !request.chat() || request.reroutes >= LIMIT) {
			return;
		}
		Optional<Router.Choice> choice = this.router.choose(state, request, nowNanos);
		if (choice.isPresent() && choice.get().server().fullUntilNanos <= nowNanos) {
			request.reroutes++;
			state.cancel(attempt, "waits in a queue", nowNanos);
			state.dispatch(request, choice.get().server(), attempt.mode, "rerouted, " + choice.get().reason(),
					nowNanos);
		}
	}

}
