package org.rosemaryfront.serving;

import org.rosemaryfront.serving.ServingEvent.ConnectionFailure;
import org.rosemaryfront.serving.ServingEvent.Refusal;

/**
 * Reattaches or retries requests whose attempt ended before the whole answer was
 * received.
 */
final class RetrySystem implements ServingSystem {

	/** The maximum number of reattachments to a silent stream before it is replayed. */
	private static final int MAX_REATTACHMENTS = 2;

	/**
	 * How long a server is avoided after it refused an attempt as full, in nanoseconds.
	 */
	private static final long FULL_BACKOFF_NANOS = 50_000_000;

	/** How long a server that has not loaded the model is avoided, in nanoseconds. */
	private static final long NOT_LOADED_BACKOFF_NANOS = 1_000_000_000;

	/** The initial back-off of a server or a request after a failure, in nanoseconds. */
	private static final long INITIAL_BACKOFF_NANOS = 100_000_000;

	/** The maximum number of doublings of the back-off. */
	private static final int MAX_BACKOFF_DOUBLINGS = 5;

	@Override
	public void run(ServingState state, long nowNanos) {
		for (FailedAttempt failedAttempt : state.failedAttempts) {
			if (state.requests.find(failedAttempt.attempt().request.id).isPresent()) {
				handle(state, failedAttempt, nowNanos);
			}
		}
		state.failedAttempts.clear();
	}

	private void handle(ServingState state, FailedAttempt failedAttempt, long nowNanos) {
		switch (failedAttempt) {
			case FailedAttempt.Refused(Attempt attempt, Refusal refusal) ->
				handleRefusal(state, attempt, refusal, nowNanos);
			case FailedAttempt.ConnectionFailed(Attempt attempt, ConnectionFailure failure) ->
				handleConnectionFailure(state, attempt, failure, nowNanos);
		}
	}

	// -- refusals

	private void handleRefusal(ServingState state, Attempt attempt, Refusal refusal, long nowNanos) {
		switch (refusal) {
			case LEAVING -> state.servers.markLeaving(attempt.server.id, Long.MAX_VALUE);
			case FULL -> avoidUntil(attempt.server, nowNanos + FULL_BACKOFF_NANOS);
			case NOT_LOADED -> avoidUntil(attempt.server, nowNanos + NOT_LOADED_BACKOFF_NANOS);
			case UNKNOWN_STREAM -> {
			}
		}
		retry(state, attempt, nowNanos);
	}

	// -- connection failures

	private void handleConnectionFailure(ServingState state, Attempt attempt, ConnectionFailure failure,
			long nowNanos) {
		if (failure != ConnectionFailure.SILENT) {
			attempt.server.failures++;
			avoidUntil(attempt.server, nowNanos + backoffNanos(state, attempt.server.failures));
		}
		if (state.has(ServingFeature.REATTACH) && canReattach(attempt, failure)) {
			attempt.request.failuresSinceToken++;
			state.dispatch(attempt.request, attempt.server, new ServingCommand.Mode.Reattach(attempt.streamId),
					"reattach after " + failure, nowNanos);
		}
		else {
			if (failure != ConnectionFailure.CONNECT_FAILED) {
				state.cancelStream(attempt, "replaced after " + failure);
			}
			retry(state, attempt, nowNanos);
		}
	}

	// A silent connection does not mean that the engine failed: a component between the
	// two ends lost track of the connection while the stream goes on, so reattaching
	// recomputes nothing. A lost connection to a leaving server means that its VM was
	// terminated.
	private static boolean canReattach(Attempt attempt, ConnectionFailure failure) {
		return switch (failure) {
			case CONNECT_FAILED -> false;
			case CONNECTION_LOST -> attempt.server.isLive() && attempt.request.failuresSinceToken == 0;
			case SILENT -> attempt.server.phase != Server.Phase.TERMINATED
					&& attempt.request.failuresSinceToken < MAX_REATTACHMENTS;
		};
	}

	private static void avoidUntil(Server server, long untilNanos) {
		server.avoidUntilNanos = Math.max(server.avoidUntilNanos, untilNanos);
	}

	private static void retry(ServingState state, Attempt attempt, long nowNanos) {
		Request request = attempt.request;
		request.failuresSinceToken++;
		request.avoidedServer = attempt.server.id;
		request.earliestDispatchNanos = (request.failuresSinceToken <= 1) ? nowNanos
				: nowNanos + backoffNanos(state, request.failuresSinceToken - 1);
		if (state.has(ServingFeature.RETRY_BUDGET)) {
			request.earliestDispatchNanos += state.retryBudget.take(nowNanos);
		}
		state.requests.move(request, Request.Phase.WAITING);
	}

	private static long backoffNanos(ServingState state, int failures) {
		long baseNanos = INITIAL_BACKOFF_NANOS << Math.min(MAX_BACKOFF_DOUBLINGS, Math.max(0, failures - 1));
		return baseNanos / 2 + state.random.nextLong(baseNanos);
	}

}
