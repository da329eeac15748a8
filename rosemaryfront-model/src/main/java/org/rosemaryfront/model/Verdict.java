package org.rosemaryfront.model;

/**
 * Says whether a request may have run on a backend server.
 *
 * <p>
 * {@link NotRun} requires evidence: either no byte of the call reached a backend server,
 * or the backend server reported that it rejected the call before running it. A request
 * that was sent and got no response is {@link MayHaveRun}.
 *
 * <pre>
 * Verdict verdict = Verdict.notRun().then(Verdict.mayHaveRun()); // MayHaveRun
 * </pre>
 */
public sealed interface Verdict {

	/**
	 * Returns the verdict for a request that did not run.
	 * @return the verdict for a request that may be sent again
	 */
	static Verdict notRun() {
		return new NotRun();
	}

	/**
	 * Returns the verdict for a request that was sent and whose outcome is unknown.
	 * @return the verdict for a request that may be sent again only if it is idempotent
	 */
	static Verdict mayHaveRun() {
		return new MayHaveRun();
	}

	/**
	 * Returns the verdict for a request that ran.
	 * @return the verdict for a request that a backend server responded to
	 */
	static Verdict ran() {
		return new Ran();
	}

	/**
	 * Returns the code of this verdict in an error document.
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
	 * @return the verdict of the two that is closer to {@link Ran}
	 */
	default Verdict combinedWith(Verdict other) {
		return (rank(this) >= rank(other)) ? this : other;
	}

	private static int rank(Verdict verdict) {
		return switch (verdict) {
			case NotRun _ -> 0;
			case MayHaveRun _ -> 1;
			case Ran _ -> 2;
		};
	}

	/** No byte reached the server, or the server rejected the call before running it. */
	record NotRun() implements Verdict {
	}

	/** At least part of the request was sent and no response was received. */
	record MayHaveRun() implements Verdict {
	}

	/** A backend server responded. */
	record Ran() implements Verdict {
	}

}
