package org.rosemaryfront.ports;

import org.rosemaryfront.model.Verdict;

/**
 * A call to the platform that brought no answer of use.
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
	 * A failed call.
	 * @param reason why
	 * @param verdict whether it may have taken effect
	 * @param message what happened
	 * @return the exception
	 */
	public static StoreException of(Reason reason, Verdict verdict, String message) {
		return new StoreException(reason, verdict, message);
	}

	/**
	 * Why the call failed.
	 * @return the reason
	 */
	public Reason reason() {
		return this.reason;
	}

	/**
	 * Whether it may have taken effect, now or later.
	 * @return the verdict
	 */
	public Verdict verdict() {
		return this.verdict;
	}

	/** Why a call failed. */
	public enum Reason {

		/** The platform took too many calls. */
		BUSY,

		/** The platform says that it does not work now. */
		UNAVAILABLE,

		/** No answer came. */
		UNREACHABLE,

		/** The changes asked for are no longer kept. */
		HISTORY_LOST,

		/** A newer holder of the duty acted. */
		FENCED,

		/** No VM of the sort is to be had now. */
		NONE_AVAILABLE,

		/** The platform does not take the call as it stands. */
		REJECTED

	}

}
