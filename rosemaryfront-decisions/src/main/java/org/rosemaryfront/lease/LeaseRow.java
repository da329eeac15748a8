package org.rosemaryfront.lease;

import java.util.Objects;

/**
 * The lease as it stands in the table service.
 *
 * @param holder the VM that holds it, empty when it was given back
 * @param fence the fencing number, which grows at every take-over
 * @param termMillis the time that the holder counts from before it asked, in milliseconds
 * @param token names the write, so that its writer recognises it after a lost answer
 */
public record LeaseRow(String holder, long fence, long termMillis, String token) {

	public LeaseRow {
		Objects.requireNonNull(holder, "holder is null");
		Objects.requireNonNull(token, "token is null");
	}

	/**
	 * Whether the last holder gave the lease back.
	 * @return true when it may be taken over at once
	 */
	public boolean isReleased() {
		return this.holder.isEmpty();
	}

}
