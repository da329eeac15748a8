package org.rosemaryfront.model;

/**
 * Says whether a request may have run on a backend server.
 *
 * <p>
 * The verdict is decided from facts only: {@link NotRun} needs proof that no byte of the
 * call reached a backend server, or that the backend server itself said it refused the
 * call before running it. Everything sent without an answer is {@link MayHaveRun}.
 *
 * <pre>
 * Verdict verdict = Verdict.notRun().then(Verdict.mayHaveRun()); // MayHaveRun
 * </pre>
 */
public sealed interface Verdict {

	// -- factories

	/**
	 * The request certainly did not run.
	 * @return the verdict of a request that may be sent again
	 */
	static Verdict notRun() {
		return new NotRun();
	}

	/**
	 * The request was sent and its outcome is unknown.
	 * @return the verdict of a request that only an idempotent call may send again
	 */
	static Verdict mayHaveRun() {
		return new MayHaveRun();
	}

	/**
	 * The request certainly ran.
	 * @return the verdict of a request that a backend server answered
	 */
	static Verdict ran() {
		return new Ran();
	}

	// -- queries

	/**
	 * The word that callers read in an error document.
	 * @return {@code not-run}, {@code may-have-run} or {@code ran}
	 */
	default String code() {
		return switch (this) {
			case NotRun _ -> "not-run";
			case MayHaveRun _ -> "may-have-run";
			case Ran _ -> "ran";
		};
	}

	/**
	 * Combines the verdicts of two attempts of the same request.
	 * @param other the verdict of the later attempt
	 * @return the stronger claim that the request ran
	 */
	default Verdict then(Verdict other) {
		return (rank(this) >= rank(other)) ? this : other;
	}

	private static int rank(Verdict verdict) {
		return switch (verdict) {
			case NotRun _ -> 0;
			case MayHaveRun _ -> 1;
			case Ran _ -> 2;
		};
	}

	// -- variants

	/** No byte reached a backend server, or the backend server refused before running. */
	record NotRun() implements Verdict {
	}

	/** Something was sent and no answer came. */
	record MayHaveRun() implements Verdict {
	}

	/** A backend server answered. */
	record Ran() implements Verdict {
	}

}
