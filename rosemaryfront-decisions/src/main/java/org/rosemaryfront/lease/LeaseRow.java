package org.rosemaryfront.lease;

import java.util.Objects;

/**
 * The row of a lease in the table service.
 *
 * @param holder the VM that holds the lease, empty if the lease was released
 * @param fence the fencing number, which increases with every change of the holder
 * @param termMillis the duration of the lease, which the holder counts from before it
 * sent the write, in milliseconds
 * @param token identifies the write, so that its writer recognises it after the response
 * was lost
 */
public record LeaseRow(String holder, long fence, long termMillis, String token) {

	public LeaseRow {
		Objects.requireNonNull(holder, "holder is null");
		Objects.requireNonNull(token, "token is null");
	}

	/**
	 * Returns whether the last holder released the lease.
	 * @return true if the lease may be acquired immediately
	 */
	public boolean isReleased() {
		return this.holder.isEmpty();
	}

}
