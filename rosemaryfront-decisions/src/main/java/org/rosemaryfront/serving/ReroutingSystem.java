package org.rosemaryfront.serving;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/**
 * Sends chats that wait in the queue of a backend server to another server. A server with
 * a free slot accepts a request within one or two engine steps; a server that has not
 * accepted it by then is full, regardless of its last load report, and has computed
 * nothing for it yet.
 */
final class ReroutingSystem implements ServingSystem {

	/**
	 * The latency that two processes and the network may add to an engine step, in
	 * nanoseconds.
	 */
	private static final double LATENCY_NANOS = 20e6;

	/**
	 * The number of engine steps after which an attempt is assumed to wait in a queue.
	 */
	private static final double MAX_ACCEPT_STEPS = 2.5;

	/** How long a server is treated as full, in nanoseconds. */
	private static final long FULL_DURATION_NANOS = 300_000_000;

	/** The maximum number of times that a request is sent to another server. */
	private static final int MAX_REROUTES = 4;

	private final Router router;

	ReroutingSystem(Router router) {
		this.router = router;
	}

	@Override
	public void run(ServingState state, long nowNanos) {
		if (!state.has(ServingFeature.REROUTING)) {
			return;
		}
		double acceptTimeoutNanos = LATENCY_NANOS + MAX_ACCEPT_STEPS * state.estimates.stepNanos();
		Iterator<Attempt> unaccepted = state.attempts.unaccepted().iterator();
		List<Attempt> queued = new ArrayList<>();
		while (unaccepted.hasNext()) {
			Attempt attempt = unaccepted.next();
			if (nowNanos - attempt.dispatchedNanos < acceptTimeoutNanos) {
				break;
			}
			unaccepted.remove();
			queued.add(attempt);
		}
		queued.forEach((attempt) -> reroute(state, attempt, nowNanos));
	}

	private void reroute(ServingState state, Attempt attempt, long nowNanos) {
		Request request = attempt.request;
		boolean movable = attempt.mode instanceof ServingCommand.Mode.Fresh
				|| attempt.mode instanceof ServingCommand.Mode.Replay;
		attempt.server.fullUntilNanos = nowNanos + FULL_DURATION_NANOS;
		if (!movable || !request.isChat() || request.reroutes >= MAX_REROUTES) {
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
