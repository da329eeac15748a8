package org.rosemaryfront.standin.platform;

/** Why the stand-in platform does not answer a call as asked. */
final class CallFailure extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final Kind kind;

	CallFailure(Kind kind, String message) {
		super(message, null, false, false);
		this.kind = kind;
	}

	/**
	 * Why.
	 * @return the kind of failure
	 */
	Kind kind() {
		return this.kind;
	}

	/** Kinds of failure. */
	enum Kind {

		/** An outage: it had no effect. */
		OUTAGE,

		/** Above the rate: it had no effect. */
		OVER_RATE,

		/** The cloud sells no such VM: it had no effect. */
		NO_CAPACITY,

		/** It took effect, and the answer is lost. */
		LOST

	}

}
