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
	private static final long INTERVAL_NANOS = 20_000_000;

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private long nextNanos = Long.MIN_VALUE;

	@Override
	public void run(ServingState state, long nowNanos) {
		if (nowNanos < this.nextNanos) {
			return;
		}
		this.nextNanos = nowNanos + INTERVAL_NANOS;
		for (Request request : new ArrayList<>(state.requests.all())) {
			if (nowNanos > giveUpNanos(request)) {
				state.refuse(request, problem(request), nowNanos);
			}
		}
	}

	// A partial answer is worth more than an error, so an answer that has begun may take
	// twice its time before it is cut off.
	private static long giveUpNanos(Request request) {
		long answer = request.spec.answerNanos();
		return (request.emittedTokens == 0) ? answer : answer + (answer - request.arrivedNanos);
	}

	private static Problem problem(Request request) {
		Verdict verdict = (request.attempt != null) ? request.verdict.then(Verdict.mayHaveRun()) : request.verdict;
		boolean interrupted = request.emittedTokens > 0;
		return new Problem(interrupted ? ProblemCode.INTERRUPTED : ProblemCode.DEADLINE_EXCEEDED, verdict,
				interrupted ? "the answer did not end in time" : "the answer did not begin in time",
				Optional.of(RETRY_AFTER));
	}

}
