package org.rosemaryfront.lease;

import java.util.Optional;

/**
 * The outcome of a request to the table service, as input for the state machine of a
 * lease.
 */
public sealed interface LeaseEvent {

	/**
	 * The row was read.
	 *
	 * @param number the number of the read
	 * @param row the row, empty if it does not exist
	 * @param version the version of the row, 0 if it does not exist
	 */
	record RowRead(long number, Optional<LeaseRow> row, long version) implements LeaseEvent {
	}

	/**
	 * A read failed.
	 *
	 * @param number the number of the read
	 */
	record ReadFailed(long number) implements LeaseEvent {
	}

	/**
	 * A write took effect.
	 *
	 * @param token the token of the row written
	 * @param version the version of the row after the write
	 */
	record WriteCommitted(String token, long version) implements LeaseEvent {
	}

	/**
	 * A write had no effect: another write preceded it, or the service rejected it.
	 *
	 * @param token the token of the row
	 */
	record WriteRejected(String token) implements LeaseEvent {
	}

	/**
	 * It is unknown whether a write took effect.
	 *
	 * @param token the token of the row
	 */
	record WriteUnknown(String token) implements LeaseEvent {
	}

}
