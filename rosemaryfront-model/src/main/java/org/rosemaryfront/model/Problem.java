package org.rosemaryfront.model;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * An error as a caller reads it: what went wrong, whether the request may have run and
 * when coming back can help.
 *
 * @param code the reason
 * @param verdict whether the request may have run
 * @param detail one sentence for a person
 * @param retryAfter the time after which a repeat can succeed, empty when it cannot
 */
public record Problem(ProblemCode code, Verdict verdict, String detail, Optional<Duration> retryAfter) {

	public Problem {
		Objects.requireNonNull(code, "code is null");
		Objects.requireNonNull(verdict, "verdict is null");
		Objects.requireNonNull(detail, "detail is null");
		Objects.requireNonNull(retryAfter, "retryAfter is null");
	}

	// -- factories

	/**
	 * A problem of a request that did not run and that a repeat does not mend.
	 * @param code the reason
	 * @param detail one sentence for a person
	 * @return the problem
	 */
	public static Problem notRun(ProblemCode code, String detail) {
		return new Problem(code, Verdict.notRun(), detail, Optional.empty());
	}

	/**
	 * A problem of a request that did not run and may be repeated later.
	 * @param code the reason
	 * @param detail one sentence for a person
	 * @param retryAfter the time after which a repeat can succeed
	 * @return the problem
	 */
	public static Problem notRun(ProblemCode code, String detail, Duration retryAfter) {
		return new Problem(code, Verdict.notRun(), detail, Optional.of(retryAfter));
	}

	/**
	 * A problem of a request with the given verdict.
	 * @param code the reason
	 * @param verdict whether the request may have run
	 * @param detail one sentence for a person
	 * @return the problem
	 */
	public static Problem of(ProblemCode code, Verdict verdict, String detail) {
		return new Problem(code, verdict, detail, Optional.empty());
	}

}
