package org.rosemaryfront.lease;

/**
 * Something that must be asked of the table service for the lease.
 */
public sealed interface LeaseCommand {

	/**
	 * Read the row.
	 *
	 * @param number names the read in its answer
	 */
	record Read(long number) implements LeaseCommand {
	}

	/**
	 * Write the row.
	 *
	 * @param row what to write
	 * @param version the version that the row must have, 0 when it must not exist
	 * @param takeOver whether the row gets a new holder, so that the row of the fencing
	 * number is written with it
	 */
	record Write(LeaseRow row, long version, boolean takeOver) implements LeaseCommand {
	}

}
