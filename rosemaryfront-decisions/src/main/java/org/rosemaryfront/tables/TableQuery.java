package org.rosemaryfront.tables;

/** A query that a gateway sends to follow a table. */
public sealed interface TableQuery {

	/** A query to the store for all rows of the table. */
	record FullTable() implements TableQuery {
	}

	/**
	 * A query to the store for the changes after a version. The store responds once there
	 * is a change.
	 *
	 * @param since the version
	 * @param waitNanos the maximum time to wait for a change, in nanoseconds
	 */
	record Feed(long since, long waitNanos) implements TableQuery {
	}

	/**
	 * A query to the store for the changes after a version. The store responds
	 * immediately.
	 *
	 * @param since the version
	 */
	record Check(long since) implements TableQuery {
	}

	/**
	 * A query to another gateway for all rows, if its copy is newer.
	 *
	 * @param version the version of the local copy
	 */
	record FromGateway(long version) implements TableQuery {
	}

	/**
	 * A query with the time at which it is sent.
	 *
	 * @param query the query
	 * @param sentNanos the time at which it is sent, on the monotonic clock
	 */
	record Sent(TableQuery query, long sentNanos) {
	}

}
