package org.rosemaryfront.peer;

import java.util.Objects;

/**
 * A question to a peer that got no answer.
 */
public final class PeerException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final Code code;

	private PeerException(Code code, String message, Throwable cause) {
		super(message, cause);
		this.code = code;
	}

	// -- factories

	/**
	 * A question that failed.
	 * @param code how
	 * @param message what happened
	 * @return the exception
	 */
	public static PeerException of(Code code, String message) {
		return new PeerException(Objects.requireNonNull(code, "code is null"), message, null);
	}

	/**
	 * A question that failed with the failure behind it.
	 * @param code how
	 * @param message what happened
	 * @param cause the failure
	 * @return the exception
	 */
	public static PeerException of(Code code, String message, Throwable cause) {
		return new PeerException(Objects.requireNonNull(code, "code is null"), message, cause);
	}

	// -- queries

	/**
	 * How the question failed.
	 * @return the code
	 */
	public Code code() {
		return this.code;
	}

	/** How a question to a peer failed. */
	public enum Code {

		/** No connection was made; the peer did not get the question. */
		UNREACHABLE,

		/** The connection broke or went silent; the peer may have got the question. */
		DISCONNECTED,

		/** The connection is well and no answer came in time. */
		TIMED_OUT,

		/** The peer answered that it failed. */
		FAILED

	}

}
