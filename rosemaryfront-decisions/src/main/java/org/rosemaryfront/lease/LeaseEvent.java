package org.rosemaryfront.lease;

import java.util.Optional;

/**
 * An answer of the table service that the lease must know.
 */
public sealed interface LeaseEvent {

	/**
	 * The row was read.
	 *
	 * @param number the number of the read
	 * @param row the row, empty when there is none
	 * @param version the version of the row, 0 when there is none
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
	 * @param version the version of the row now
	 */
	record WriteCommitted(String token, long version) implements LeaseEvent {
	}

	/**
	 * A write certainly had no effect: another write came first, or the service refused
	 * it.
	 *
	 * @param token the token of the row
	 */
	record WriteRejected(String token) implements LeaseEvent {
	}

	/**
	 * Whether a write took effect is unknown.
	 *
	 * @param token the token of the row
	 */
	record WriteUnknown(String token) implements LeaseEvent {
	}

}
