package org.rosemaryfront.claims;

import java.time.Duration;
import java.util.Optional;

import org.rosemaryfront.model.Problem;
import org.rosemaryfront.model.ProblemCode;
import org.rosemaryfront.model.Verdict;

/**
 * Problems that end a claimed call without an outcome. A verdict refers to one request:
 * not-run means that this request sent nothing and never will. The verdict is also
 * may-have-run when an earlier request with the same key may have run the call.
 */
final class ClaimProblems {

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private ClaimProblems() {
	}

	static Problem earlierRunning() {
		return new Problem(ProblemCode.OUTCOME_UNKNOWN, Verdict.mayHaveRun(),
				"an earlier request with this key has no outcome yet", Optional.of(RETRY_AFTER));
	}

	static Problem earlierUnknown() {
		return Problem.of(ProblemCode.OUTCOME_UNKNOWN, Verdict.mayHaveRun(),
				"an earlier request with this key may have run and its outcome is unknown");
	}

	static Problem earlierUnreadable() {
		return new Problem(ProblemCode.STORAGE_UNAVAILABLE, Verdict.mayHaveRun(),
				"the key was used before and what became of that cannot be read", Optional.of(RETRY_AFTER));
	}

	static Problem keyReused() {
		return Problem.notRun(ProblemCode.KEY_REUSED, "the idempotency key was used with another call");
	}

	static Problem noServer() {
		return Problem.notRun(ProblemCode.NO_SERVER, "no backend server took the call", RETRY_AFTER);
	}

	static Problem notClaimed() {
		return Problem.notRun(ProblemCode.STORAGE_UNAVAILABLE, "the key cannot be claimed", RETRY_AFTER);
	}

	static Problem notSentInTime() {
		return Problem.notRun(ProblemCode.DEADLINE_EXCEEDED, "the call could not be sent in time", RETRY_AFTER);
	}

	static Problem noResponse(String detail) {
		return Problem.of(ProblemCode.OUTCOME_UNKNOWN, Verdict.mayHaveRun(), detail);
	}

}
