package org.rosemaryfront.model;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * An error returned to a caller: what went wrong, whether the request may have run and
 * when a retry can succeed.
 *
 * @param code the reason
 * @param verdict whether the request may have run
 * @param detail one sentence for a person
 * @param retryAfter the delay after which a retry can succeed, empty if it cannot
 */
public record Problem(ProblemCode code, Verdict verdict, String detail, Optional<Duration> retryAfter) {

	public Problem {
		Objects.requireNonNull(code, "code is null");
		Objects.requireNonNull(verdict, "verdict is null");
		Objects.requireNonNull(detail, "detail is null");
		Objects.requireNonNull(retryAfter, "retryAfter is null");
	}

	/**
	 * Creates a problem for a request that did not run and that a retry does not help.
	 * @param code the reason
	 * @param detail one sentence for a person
	 * @return the problem
	 */
	public static Problem notRun(ProblemCode code, String detail) {
		return new Problem(code, Verdict.notRun(), detail, Optional.empty());
	}

	/**
	 * Creates a problem for a request that did not run and may be retried later.
	 * @param code the reason
	 * @param detail one sentence for a person
	 * @param retryAfter the delay after which a retry can succeed
	 * @return the problem
	 */
	public static Problem notRun(ProblemCode code, String detail, Duration retryAfter) {
		return new Problem(code, Verdict.notRun(), detail, Optional.of(retryAfter));
	}

	/**
	 * Creates a problem for a request with the given verdict.
	 * @param code the reason
	 * @param verdict whether the request may have run
	 * @param detail one sentence for a person
	 * @return the problem
	 */
	public static Problem of(ProblemCode code, Verdict verdict, String detail) {
		return new Problem(code, verdict, detail, Optional.empty());
	}

}
