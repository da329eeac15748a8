package org.rosemaryfront.model;

import java.util.Locale;

/**
 * Every reason that a caller or an operator can read in an error document, with its HTTP
 * status.
 */
public enum ProblemCode {

	/** The request cannot be read as what its path expects. */
	BAD_REQUEST(400),

	/** The bearer key is absent or belongs to nobody. */
	UNAUTHENTICATED(401),

	/** The thing asked for does not exist, or not for this organisation. */
	NOT_FOUND(404),

	/** The path exists and does not take this method. */
	METHOD_NOT_ALLOWED(405),

	/** A conditional update lost against another one. */
	CONFLICT(409),

	/** The change log does not reach back to the revision asked for; read anew. */
	REVISION_TOO_OLD(410),

	/** The body or the headers exceed the configured limit. */
	TOO_LARGE(413),

	/** The idempotency key was used before with another call. */
	KEY_REUSED(422),

	/** A declaration breaks a rule; the detail names the place. */
	INVALID_DECLARATION(422),

	/** The organisation uses more than its share while others wait. */
	OVER_SHARE(429),

	/** The request cannot finish within its latency target. */
	OVERLOADED(503),

	/** No backend server of the pool takes work now. */
	NO_SERVER(503),

	/** This process is stopping or knows no current configuration. */
	NOT_READY(503),

	/** The platform's storage cannot be reached, so nothing was started. */
	STORAGE_UNAVAILABLE(503),

	/** The call was sent and no answer is known. */
	OUTCOME_UNKNOWN(502),

	/** The call ran, and its answer was too large to be kept for a repeat. */
	OUTCOME_TOO_LARGE(502),

	/** The answer broke off and could not be resumed in time. */
	INTERRUPTED(502),

	/** The deadline passed. */
	DEADLINE_EXCEEDED(504),

	/** A defect of this program. */
	INTERNAL(500);

	private final int status;

	ProblemCode(int status) {
		this.status = status;
	}

	/**
	 * The HTTP status of the error document.
	 * @return a status of 400 or more
	 */
	public int status() {
		return this.status;
	}

	/**
	 * The code as it stands in the error document.
	 * @return lower case words joined by hyphens
	 */
	public String code() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
