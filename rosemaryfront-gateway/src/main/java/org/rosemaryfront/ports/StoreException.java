package org.rosemaryfront.ports;

import org.rosemaryfront.model.Verdict;

/**
 * Thrown when a call to the platform failed or returned an unusable response.
 */
public final class StoreException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final Reason reason;

	private final transient Verdict verdict;

	private StoreException(Reason reason, Verdict verdict, String message) {
		super(message);
		this.reason = reason;
		this.verdict = verdict;
	}

	/**
	 * Creates an exception.
	 * @param reason why the call failed
	 * @param verdict whether the call may have taken effect
	 * @param message a description of the failure
	 * @return the exception
	 */
	public static StoreException of(Reason reason, Verdict verdict, String message) {
		return new StoreException(reason, verdict, message);
	}

	/**
	 * Returns why the call failed.
	 * @return the reason
	 */
	public Reason reason() {
		return this.reason;
	}

	/**
	 * Returns whether the call may have taken effect or may still do so.
	 * @return the verdict
	 */
	public Verdict verdict() {
		return this.verdict;
	}

	/** Why a call failed. */
	public enum Reason {

		/** The platform rejected the call because of its rate limit. */
		BUSY,

		/** The platform reported that it is unavailable. */
		UNAVAILABLE,

		/** No response was received. */
		UNREACHABLE,

		/** The requested changes are no longer retained. */
		HISTORY_LOST,

		/** A newer lease holder has already acted. */
		FENCED,

		/** No VM of the requested type is currently available. */
		NONE_AVAILABLE,

		/** The platform rejected the call as invalid. */
		REJECTED,

		/**
		 * The store came back from a copy since the call was sent or since its versions
		 * were read.
		 */
		RESTORED

	}

}
