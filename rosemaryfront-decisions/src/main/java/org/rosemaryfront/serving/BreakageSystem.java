package org.rosemaryfront.serving;

import org.rosemaryfront.serving.ServingEvent.Breakage;
import org.rosemaryfront.serving.ServingEvent.Refusal;

/**
 * Reattaches or retries requests whose attempt ended before the whole answer was
 * received.
 */
final class BreakageSystem implements ServingSystem {

	/** The maximum number of reattachments to a silent stream before it is replayed. */
	private static final int REATTACH_LIMIT = 2;

	/**
	 * How long a server is avoided after it refused an attempt as full, in nanoseconds.
	 */
	private static final long FULL_PAUSE_NANOS = 50_000_000;

	/** How long a server that has not loaded the model is avoided, in nanoseconds. */
	private static final long NOT_LOADED_PAUSE_NANOS = 1_000_000_000;

	/** The initial back-off of a server or a request after a failure, in nanoseconds. */
	private static final long BACKOFF_NANOS = 100_000_000;

	/** The maximum number of doublings of the back-off. */
	private static final int BACKOFF_DOUBLINGS = 5;

	@Override
	public void run(ServingState state, long nowNanos) {
		for (EndedAttempt ended : state.ended) {
			if (state.requests.find(ended.attempt().request.id).isPresent()) {
				follow(state, ended, nowNanos);
			}
		}
		state.ended.clear();
	}

	private void follow(ServingState state, EndedAttempt ended, long nowNanos) {
		switch (ended) {
			case EndedAttempt.Refused(Attempt attempt, Refusal refusal) -> refused(state, attempt, refusal, nowNanos);
			case EndedAttempt.Broken(Attempt attempt, Breakage breakage) -> broken(state, attempt, breakage, nowNanos);
		}
	}

	// -- refusals

	private void refused(ServingState state, Attempt attempt, Refusal refusal, long nowNanos) {
		switch (refusal) {
			case LEAVING -> state.servers.leaving(attempt.server.id, Long.MAX_VALUE);
			case FULL -> avoid(attempt.server, nowNanos + FULL_PAUSE_NANOS);
			case NOT_LOADED -> avoid(attempt.server, nowNanos + NOT_LOADED_PAUSE_NANOS);
			case UNKNOWN_STREAM -> {
			}
		}
		retry(state, attempt, nowNanos);
	}

	// -- connection failures

	private void broken(ServingState state, Attempt attempt, Breakage breakage, long nowNanos) {
		if (breakage != Breakage.SILENT) {
			attempt.server.failures++;
			avoid(attempt.server, nowNanos + backoff(state, attempt.server.failures));
		}
		if (state.has(ServingFeature.REATTACH) && reattachable(attempt, breakage)) {
			attempt.request.breakages++;
			state.dispatch(attempt.request, attempt.server, new ServingCommand.Mode.Reattach(attempt.stream),
					"reattach after " + breakage, nowNanos);
		}
		else {
			if (breakage != Breakage.CONNECT_FAILED) {
				state.cancelStream(attempt, "replaced after " + breakage);
			}
			retry(state, attempt, nowNanos);
		}
	}

	// A silent connection does not mean that the engine failed: a component between the
	// two ends lost track of the connection while the stream goes on, so reattaching
	// recomputes nothing. A lost connection to a leaving server means that its VM was
	// terminated.
	private static boolean reattachable(Attempt attempt, Breakage breakage) {
		return switch (breakage) {
			case CONNECT_FAILED -> false;
			case CONNECTION_LOST -> attempt.server.live() && attempt.request.breakages == 0;
			case SILENT -> attempt.server.phase != Server.Phase.GONE && attempt.request.breakages < REATTACH_LIMIT;
		};
	}

	private static void avoid(Server server, long untilNanos) {
		server.avoidUntilNanos = Math.max(server.avoidUntilNanos, untilNanos);
	}

	private static void retry(ServingState state, Attempt attempt, long nowNanos) {
		Request request = attempt.request;
		request.breakages++;
		request.avoid = attempt.server.id;
		request.notBeforeNanos = (request.breakages <= 1) ? nowNanos : nowNanos + backoff(state, request.breakages - 1);
		if (state.has(ServingFeature.RETRY_BUDGET)) {
			request.notBeforeNanos += state.retryBudget.take(nowNanos);
		}
		state.requests.move(request, Request.Phase.WAITING);
	}

	private static long backoff(ServingState state, int failures) {
		long base = BACKOFF_NANOS << Math.min(BACKOFF_DOUBLINGS, Math.max(0, failures - 1));
		return base / 2 + state.random.nextLong(base);
	}

}
