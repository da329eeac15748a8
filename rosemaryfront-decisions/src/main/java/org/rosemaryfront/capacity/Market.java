package org.rosemaryfront.capacity;

/** The market on which a VM is sold. */
public enum Market {

	/** Cheaper, but the cloud may reclaim the VM at short notice. */
	RECLAIMABLE,

	/** The VM is kept until it is released. */
	ON_DEMAND

}
