package org.rosemaryfront.streams;

/** What is known of the version that began a stream. */
public sealed interface Origin {

	/**
	 * Returns the origin of a stream that a version began.
	 * @param version the version of the server that made the first event
	 * @return the origin
	 */
	static Origin known(String version) {
		return new Known(version);
	}

	/**
	 * Returns the origin of a stream of which nothing is known.
	 * @return the origin
	 */
	static Origin unknown() {
		return unknown(Reason.NOBODY_KNOWS, 0);
	}

	/**
	 * Returns the origin of a stream that is not known for a reason.
	 * @param reason the reason
	 * @param retryMillis the time after which it may be known, in milliseconds; 0 if that
	 * cannot be said
	 * @return the origin
	 */
	static Origin unknown(Reason reason, long retryMillis) {
		return new Unknown(reason, retryMillis);
	}

	/**
	 * Returns the origin of streams with the same key that different versions began.
	 * @return the origin
	 */
	static Origin ambiguous() {
		return new Ambiguous();
	}

	/**
	 * Combines this origin with what somebody else knows.
	 * @param other the other origin
	 * @return the one that is known; ambiguous if both are and differ
	 */
	default Origin and(Origin other) {
		if (this instanceof Unknown) {
			return other;
		}
		return (other instanceof Unknown || equals(other)) ? this : ambiguous();
	}

	/**
	 * One version began the stream.
	 *
	 * @param version the version
	 */
	record Known(String version) implements Origin {
	}

	/**
	 * Nothing is known.
	 *
	 * @param reason why
	 * @param retryMillis the time after which it may be known, in milliseconds; 0 if that
	 * cannot be said
	 */
	record Unknown(Reason reason, long retryMillis) implements Origin {
	}

	/** Why the origin of a stream is not known. */
	enum Reason {

		/** No gateway that was asked knows it. */
		NOBODY_KNOWS,

		/** A gateway that may have begun the stream did not answer. */
		UNANSWERED,

		/** Too few gateways know all streams that may still be taken up. */
		NOT_ALL_KNOWN

	}

	/** Different versions began streams with the same key. */
	record Ambiguous() implements Origin {
	}

}
