package org.rosemaryfront.serving;

import java.util.List;

import org.rosemaryfront.model.RequestId;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.serving.ServingEvent.ConnectionFailure;
import org.rosemaryfront.serving.ServingEvent.Refusal;

/** Records events in the tables; the systems act on them in the next tick. */
final class EventHandler {

	private final ServingState state;

	EventHandler(ServingState state) {
		this.state = state;
	}

	void accept(ServingEvent event, long nowNanos) {
		switch (event) {
			case ServingEvent.RequestArrived it -> openNew(newRequest(it.request(), it.spec(), nowNanos, false, 0));
			case ServingEvent.RequestAdopted it ->
				openNew(newRequest(it.request(), it.spec(), nowNanos, true, it.emittedTokens()));
			case ServingEvent.RequestAbandoned it ->
				this.state.requests.find(it.request()).ifPresent((row) -> handleAbandoned(row, nowNanos));
			case ServingEvent.AttemptAccepted it -> this.state.attempts.find(it.attempt())
				.ifPresent((row) -> handleAccepted(row, it.cachedTokens(), nowNanos));
			case ServingEvent.AttemptProgressed it -> this.state.attempts.find(it.attempt())
				.ifPresent((row) -> handleProgress(row, it.emittedTokens(), nowNanos));
			case ServingEvent.AttemptFinished it ->
				this.state.attempts.find(it.attempt()).ifPresent((row) -> handleFinished(row, nowNanos));
			case ServingEvent.AttemptRefused it ->
				this.state.attempts.find(it.attempt()).ifPresent((row) -> handleRefused(row, it.refusal(), nowNanos));
			case ServingEvent.AttemptFailed it -> this.state.attempts.find(it.attempt())
				.ifPresent((row) -> handleConnectionFailure(row, it.breakage(), nowNanos));
			case ServingEvent.ServerDiscovered it ->
				this.state.servers.addOrUpdate(it.server(), it.pool(), it.zone(), it.address());
			case ServingEvent.ServerLeaving it -> this.state.servers.markLeaving(it.server(), it.goneAtNanos());
			case ServingEvent.ServerTerminated it -> handleServerTerminated(it, nowNanos);
			case ServingEvent.LoadReported it -> this.state.servers.find(it.server())
				.ifPresent((row) -> row.load.applyReport(it.running() + it.queued(), nowNanos - it.ageNanos(),
						row.attempts.values()));
			case ServingEvent.CacheReported it -> this.state.servers.find(it.server())
				.ifPresent((row) -> row.hints.applyCacheEvents(it.added(), it.removed()));
			case ServingEvent.ConfigurationApplied it -> this.state.apply(it.configuration());
			case ServingEvent.PeersReported it -> {
				this.state.livePeers = Math.max(1, it.livePeers());
				this.state.shares.applyPeerReport(it.tokensInFlight());
			}
			case ServingEvent.StopRequested _ -> this.state.stopping = true;
		}
	}

	// -- requests

	private Request newRequest(RequestId id, RequestSpec spec, long nowNanos, boolean adopted, int emittedTokens) {
		return new Request(id, spec, nowNanos, this.state.parameters.affinityBlocks(), adopted, emittedTokens);
	}

	private void openNew(Request request) {
		if (this.state.requests.find(request.id).isEmpty()) {
			this.state.open(request);
		}
	}

	private void handleAbandoned(Request request, long nowNanos) {
		if (request.attempt != null) {
			this.state.cancel(request.attempt, "abandoned", nowNanos);
		}
		this.state.close(request);
	}

	// -- attempts

	private void handleAccepted(Attempt attempt, int cachedTokens, long nowNanos) {
		attempt.accepted = true;
		attempt.acceptedNanos = nowNanos;
		this.state.attempts.markAccepted(attempt);
		attempt.cachedTokens = cachedTokens;
		attempt.server.failures = 0;
		attempt.server.hints.recordOutcome(attempt.hintedTokens, cachedTokens);
		attempt.request.verdict = attempt.request.verdict.combinedWith(Verdict.ran());
	}

	private void handleProgress(Attempt attempt, int emittedTokens, long nowNanos) {
		Request request = attempt.request;
		int newTokens = emittedTokens - request.emittedTokens;
		if (newTokens <= 0) {
			return;
		}
		if (!attempt.firstTokenReceived) {
			attempt.firstTokenReceived = true;
			this.state.estimates.recordFirstToken(
					attempt.initialTokens + request.spec.promptTokens() - attempt.cachedTokens,
					nowNanos - attempt.acceptedNanos);
		}
		else {
			this.state.estimates.recordTokens(newTokens, nowNanos - attempt.lastTokenNanos);
			attempt.server.recordTokens(newTokens, nowNanos - attempt.lastTokenNanos, nowNanos);
		}
		attempt.lastTokenNanos = nowNanos;
		request.emittedTokens = emittedTokens;
		request.failuresSinceToken = 0;
		request.verdict = request.verdict.combinedWith(Verdict.ran());
	}

	private void handleFinished(Attempt attempt, long nowNanos) {
		this.state.estimates.recordAnswer(attempt.request, nowNanos - attempt.dispatchedNanos);
		this.state.end(attempt, nowNanos);
		this.state.close(attempt.request);
	}

	private void handleRefused(Attempt attempt, Refusal refusal, long nowNanos) {
		this.state.end(attempt, nowNanos);
		this.state.failedAttempts.add(new FailedAttempt.Refused(attempt, refusal));
	}

	private void handleConnectionFailure(Attempt attempt, ConnectionFailure failure, long nowNanos) {
		this.state.end(attempt, nowNanos);
		if (failure != ConnectionFailure.CONNECT_FAILED) {
			attempt.request.verdict = attempt.request.verdict.combinedWith(Verdict.mayHaveRun());
		}
		this.state.failedAttempts.add(new FailedAttempt.ConnectionFailed(attempt, failure));
	}

	// -- backend servers

	// The streams of a terminated server end here, because its connections may stay
	// silent without ever closing.
	private void handleServerTerminated(ServingEvent.ServerTerminated terminated, long nowNanos) {
		this.state.servers.find(terminated.server())
			.ifPresent((server) -> List.copyOf(server.attempts.values())
				.forEach((attempt) -> handleConnectionFailure(attempt, ConnectionFailure.CONNECTION_LOST, nowNanos)));
		this.state.servers.removeTerminated(terminated.server());
	}

}
