package org.rosemaryfront.admission;

/** Whether a call gets room. */
public sealed interface AdmissionDecision {

	/**
	 * The call is sent.
	 *
	 * @param limitMillis the longest expected time to first token at which it is sent, in
	 * milliseconds
	 */
	record Admitted(double limitMillis) implements AdmissionDecision {
	}

	/**
	 * The call is refused at once.
	 *
	 * @param limitMillis the longest expected time to first token at which it would have
	 * been sent, in milliseconds
	 * @param retryAfterMillis when there is likely to be room for it, in milliseconds
	 * from now
	 * @param waitMillis the mean wait at the servers that was expected, in milliseconds
	 * @param reason why it is refused before others
	 */
	record Refused(double limitMillis, long retryAfterMillis, double waitMillis,
			Reason reason) implements AdmissionDecision {
	}

	/** Why a call is refused before others. */
	enum Reason {

		/** The response would be late, whoever asks. */
		LATE,

		/** More urgent calls need the room. */
		LESS_URGENT,

		/** Its organisation asks for more than its fair share. */
		OVER_SHARE

	}

}
