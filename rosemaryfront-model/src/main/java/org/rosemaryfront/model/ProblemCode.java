package org.rosemaryfront.model;

import java.util.Locale;

/**
 * Lists the error codes that callers and operators receive in an error document, with
 * their HTTP status.
 */
public enum ProblemCode {

	/** The request does not have the format that its path expects. */
	BAD_REQUEST(400),

	/** The bearer key is missing or belongs to no organisation. */
	UNAUTHENTICATED(401),

	/** The requested item does not exist or is not available to this organisation. */
	NOT_FOUND(404),

	/** The path exists but does not support this method. */
	METHOD_NOT_ALLOWED(405),

	/** A conditional update failed because another update came first. */
	CONFLICT(409),

	/** The change log no longer contains the requested revision; read all data again. */
	REVISION_TOO_OLD(410),

	/** The body or the headers exceed the configured limit. */
	TOO_LARGE(413),

	/** The idempotency key was already used with a different call. */
	KEY_REUSED(422),

	/** A declaration violates a rule; the detail gives the path of the field. */
	INVALID_DECLARATION(422),

	/** The organisation exceeds its share while other organisations wait. */
	OVER_SHARE(429),

	/** The request cannot finish within its latency target. */
	OVERLOADED(503),

	/** No backend server of the pool currently accepts requests. */
	NO_SERVER(503),

	/** This process is stopping or has no current configuration. */
	NOT_READY(503),

	/** The platform's storage cannot be reached, so nothing was started. */
	STORAGE_UNAVAILABLE(503),

	/** The call was sent and its outcome is unknown. */
	OUTCOME_UNKNOWN(502),

	/** The call ran, but its response was too large to be stored for retries. */
	OUTCOME_TOO_LARGE(502),

	/** The response was interrupted and could not be resumed in time. */
	INTERRUPTED(502),

	/** The deadline passed. */
	DEADLINE_EXCEEDED(504),

	/** An internal error, caused by a defect in this program. */
	INTERNAL(500);

	private final int status;

	ProblemCode(int status) {
		this.status = status;
	}

	/**
	 * Returns the HTTP status of the error document.
	 * @return a status of 400 or more
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns the code as written in the error document.
	 * @return the constant's name in lower case, with hyphens between words
	 */
	public String code() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
