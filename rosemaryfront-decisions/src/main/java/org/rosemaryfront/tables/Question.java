package org.rosemaryfront.tables;

/** A query that a gateway sends to follow a table. */
public sealed interface Question {

	/** A query to the store for all rows of the table. */
	record Whole() implements Question {
	}

	/**
	 * A query to the store for the changes after a version. The store responds once there
	 * is a change.
	 *
	 * @param since the version
	 * @param waitNanos the maximum time to wait for a change, in nanoseconds
	 */
	record Feed(long since, long waitNanos) implements Question {
	}

	/**
	 * A query to the store for the changes after a version. The store responds
	 * immediately.
	 *
	 * @param since the version
	 */
	record Check(long since) implements Question {
	}

	/**
	 * A query to another gateway for all rows, if its copy is newer.
	 *
	 * @param known the version of the local copy
	 */
	record OfGateway(long known) implements Question {
	}

	/**
	 * A query with the time at which it is sent.
	 *
	 * @param question the query
	 * @param sentNanos the time at which it is sent, on the monotonic clock
	 */
	record Asked(Question question, long sentNanos) {
	}

}
