package org.rosemaryfront.capacity;

/** How a VM is sold. */
public enum Market {

	/** Cheap, and may be reclaimed at short notice. */
	RECLAIMABLE,

	/** Kept until given back. */
	ON_DEMAND

}
