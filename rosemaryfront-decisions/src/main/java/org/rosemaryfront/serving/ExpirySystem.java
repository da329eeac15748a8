package org.rosemaryfront.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Optional;

import org.rosemaryfront.model.Problem;
import org.rosemaryfront.model.ProblemCode;
import org.rosemaryfront.model.Verdict;

/** Ends requests that have exceeded their deadline. */
final class ExpirySystem implements ServingSystem {

	/** The interval between two checks of all requests, in nanoseconds. */
	private static final long CHECK_INTERVAL_NANOS = 20_000_000;

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private long nextCheckNanos = Long.MIN_VALUE;

	@Override
	public void run(ServingState state, long nowNanos) {
		if (nowNanos < this.nextCheckNanos) {
			return;
		}
		this.nextCheckNanos = nowNanos + CHECK_INTERVAL_NANOS;
		for (Request request : new ArrayList<>(state.requests.all())) {
			if (nowNanos > expiryNanos(request)) {
				state.refuse(request, expiryProblem(request), nowNanos);
			}
		}
	}

	// A partial answer is worth more than an error, so an answer that has begun may take
	// twice its time before it is cut off.
	private static long expiryNanos(Request request) {
		long deadlineNanos = request.spec.answerDeadlineNanos();
		return (request.emittedTokens == 0) ? deadlineNanos : deadlineNanos + (deadlineNanos - request.arrivedNanos);
	}

	private static Problem expiryProblem(Request request) {
		Verdict verdict = (request.attempt != null) ? request.verdict.combinedWith(Verdict.mayHaveRun())
				: request.verdict;
		boolean interrupted = request.emittedTokens > 0;
		return new Problem(interrupted ? ProblemCode.INTERRUPTED : ProblemCode.DEADLINE_EXCEEDED, verdict,
				interrupted ? "the answer did not end in time" : "the answer did not begin in time",
				Optional.of(RETRY_AFTER));
	}

}
