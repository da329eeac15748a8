package org.rosemaryfront.serving;

import java.util.List;

import org.rosemaryfront.model.RequestId;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.serving.ServingEvent.Breakage;
import org.rosemaryfront.serving.ServingEvent.Refusal;

/** Records events in the tables; the systems act on them in the next tick. */
final class EventIntake {

	private final ServingState state;

	EventIntake(ServingState state) {
		this.state = state;
	}

	void accept(ServingEvent event, long nowNanos) {
		switch (event) {
			case ServingEvent.RequestArrived it -> arrived(request(it.request(), it.spec(), nowNanos, false, 0));
			case ServingEvent.RequestAdopted it ->
				arrived(request(it.request(), it.spec(), nowNanos, true, it.emittedTokens()));
			case ServingEvent.RequestAbandoned it ->
				this.state.requests.find(it.request()).ifPresent((row) -> abandoned(row, nowNanos));
			case ServingEvent.AttemptAccepted it ->
				this.state.attempts.find(it.attempt()).ifPresent((row) -> accepted(row, it.cachedTokens(), nowNanos));
			case ServingEvent.AttemptProgressed it -> this.state.attempts.find(it.attempt())
				.ifPresent((row) -> progressed(row, it.emittedTokens(), nowNanos));
			case ServingEvent.AttemptFinished it ->
				this.state.attempts.find(it.attempt()).ifPresent((row) -> finished(row, nowNanos));
			case ServingEvent.AttemptRefused it ->
				this.state.attempts.find(it.attempt()).ifPresent((row) -> refused(row, it.refusal(), nowNanos));
			case ServingEvent.AttemptBroken it ->
				this.state.attempts.find(it.attempt()).ifPresent((row) -> broken(row, it.breakage(), nowNanos));
			case ServingEvent.ServerSeen it -> this.state.servers.seen(it.server(), it.pool(), it.zone(), it.address());
			case ServingEvent.ServerLeaving it -> this.state.servers.leaving(it.server(), it.goneAtNanos());
			case ServingEvent.ServerGone it -> gone(it, nowNanos);
			case ServingEvent.LoadReported it -> this.state.servers.find(it.server())
				.ifPresent((row) -> row.load.reported(it.running() + it.queued(), nowNanos - it.ageNanos(),
						row.attempts.values()));
			case ServingEvent.CacheReported it ->
				this.state.servers.find(it.server()).ifPresent((row) -> row.hints.reported(it.added(), it.removed()));
			case ServingEvent.ConfigurationApplied it -> this.state.apply(it.configuration());
			case ServingEvent.PeersReported it -> {
				this.state.livePeers = Math.max(1, it.livePeers());
				this.state.shares.reported(it.tokensInFlight());
			}
			case ServingEvent.StopRequested _ -> this.state.stopping = true;
		}
	}

	// -- requests

	private Request request(RequestId id, RequestSpec spec, long nowNanos, boolean adopted, int emittedTokens) {
		return new Request(id, spec, nowNanos, this.state.parameters.affinityBlocks(), adopted, emittedTokens);
	}

	private void arrived(Request request) {
		if (this.state.requests.find(request.id).isEmpty()) {
			this.state.open(request);
		}
	}

	private void abandoned(Request request, long nowNanos) {
		if (request.attempt != null) {
			this.state.cancel(request.attempt, "abandoned", nowNanos);
		}
		this.state.close(request);
	}

	// -- attempts

	private void accepted(Attempt attempt, int cachedTokens, long nowNanos) {
		attempt.accepted = true;
		attempt.acceptedNanos = nowNanos;
		this.state.attempts.accepted(attempt);
		attempt.cachedTokens = cachedTokens;
		attempt.server.failures = 0;
		attempt.server.hints.cameTrue(attempt.believedTokens, cachedTokens);
		attempt.request.verdict = attempt.request.verdict.then(Verdict.ran());
	}

	private void progressed(Attempt attempt, int emittedTokens, long nowNanos) {
		Request request = attempt.request;
		int fresh = emittedTokens - request.emittedTokens;
		if (fresh <= 0) {
			return;
		}
		if (!attempt.begun) {
			attempt.begun = true;
			this.state.estimates.firstToken(attempt.firstOffset + request.spec.promptTokens() - attempt.cachedTokens,
					nowNanos - attempt.acceptedNanos);
		}
		else {
			this.state.estimates.tokens(fresh, nowNanos - attempt.lastTokenNanos);
			attempt.server.paced(fresh, nowNanos - attempt.lastTokenNanos, nowNanos);
		}
		attempt.lastTokenNanos = nowNanos;
		request.emittedTokens = emittedTokens;
		request.breakages = 0;
		request.verdict = request.verdict.then(Verdict.ran());
	}

	private void finished(Attempt attempt, long nowNanos) {
		this.state.estimates.answerFinished(attempt.request, nowNanos - attempt.dispatchedNanos);
		this.state.end(attempt, nowNanos);
		this.state.close(attempt.request);
	}

	private void refused(Attempt attempt, Refusal refusal, long nowNanos) {
		this.state.end(attempt, nowNanos);
		this.state.ended.add(new EndedAttempt.Refused(attempt, refusal));
	}

	private void broken(Attempt attempt, Breakage breakage, long nowNanos) {
		this.state.end(attempt, nowNanos);
		if (breakage != Breakage.CONNECT_FAILED) {
			attempt.request.verdict = attempt.request.verdict.then(Verdict.mayHaveRun());
		}
		this.state.ended.add(new EndedAttempt.Broken(attempt, breakage));
	}

	// -- backend servers

	// The streams of a terminated server end here, because its connections may stay
	// silent without ever closing.
	private void gone(ServingEvent.ServerGone gone, long nowNanos) {
		this.state.servers.find(gone.server())
			.ifPresent((server) -> List.copyOf(server.attempts.values())
				.forEach((attempt) -> broken(attempt, Breakage.CONNECTION_LOST, nowNanos)));
		this.state.servers.gone(gone.server());
	}

}
