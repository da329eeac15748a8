package org.rosemaryfront.controller;

import org.rosemaryfront.events.EventCode;

/** Events of the controller. */
public enum ControllerEvents implements EventCode {

	/** This process took the lease and may give orders. */
	LEASE_TAKEN(5001),

	/** The term ended without a renewal, or another process took over; orders stop. */
	LEASE_LOST(5002),

	/** This process gave the lease back at its stop. */
	LEASE_RELEASED(5003),

	/** The lease could not be read or written; the table service may be down. */
	LEASE_STORAGE_FAILED(5004),

	/** An order or a purchase was held back because the lease had ended. */
	ORDER_WITHHELD(5005),

	/** A purchase is written down, with the reason for its zone, class and market. */
	PURCHASE_INTENDED(5010),

	/** The cloud sold a VM. */
	VM_BOUGHT(5011),

	/** The cloud refused to start a VM. */
	VM_START_REFUSED(5012),

	/**
	 * A purchase's row could not be written or deleted, or the purchase's end is unknown.
	 */
	PURCHASE_UNCERTAIN(5013),

	/** A purchase ended and its row is deleted, with how it ended. */
	PURCHASE_ENDED(5014),

	/** A VM is reclaimed and is replaced. */
	VM_RECLAIMED(5015),

	/** A VM takes no new work and is given back when it is idle, with the reason. */
	VM_DRAINING(5016),

	/** A VM is given back, with the reason. */
	VM_RELEASED(5017),

	/** An engine is ordered to a state, with the reason. */
	ENGINE_ORDERED(5020),

	/** An engine did not take an order or did not answer. */
	ENGINE_SILENT(5021),

	/**
	 * An engine shows a higher fencing number than the lease: another process holds it.
	 */
	FENCE_OVERTAKEN(5022),

	/** The platform did not answer a read. */
	PLATFORM_READ_FAILED(5030),

	/** A stop ended before the lease was given back; a successor waits a full term. */
	RELEASE_TIMED_OUT(5031),

	/** Invariant: an order went out only under a valid lease. */
	ORDER_WITHOUT_LEASE(9501);

	private final int number;

	ControllerEvents(int number) {
		this.number = number;
	}

	@Override
	public int number() {
		return this.number;
	}

}
