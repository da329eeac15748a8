package org.rosemaryfront.operators;

import java.util.Objects;

import org.rosemaryfront.model.VmId;

/**
 * The controllers' lease as the table service holds it.
 *
 * @param holder the VM of the holder
 * @param fence the fencing number, which grows with each take-over
 * @param termMillis the length of a term, in milliseconds
 */
public record LeaseView(VmId holder, long fence, long termMillis) {

	public LeaseView {
		Objects.requireNonNull(holder, "holder is null");
	}

}
