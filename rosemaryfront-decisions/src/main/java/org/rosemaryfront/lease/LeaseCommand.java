package org.rosemaryfront.lease;

/**
 * A request to the table service that the state machine of a lease issues.
 */
public sealed interface LeaseCommand {

	/**
	 * Reads the row.
	 *
	 * @param number identifies the read in its response
	 */
	record Read(long number) implements LeaseCommand {
	}

	/**
	 * Writes the row.
	 *
	 * @param row the new content of the row
	 * @param version the version that the row must have, 0 if it must not exist
	 * @param takeOver whether the lease gets a new holder, in which case the row with the
	 * fencing number is written too
	 */
	record Write(LeaseRow row, long version, boolean takeOver) implements LeaseCommand {
	}

}
