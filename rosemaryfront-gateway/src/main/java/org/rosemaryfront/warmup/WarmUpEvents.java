package org.rosemaryfront.warmup;

import org.rosemaryfront.events.EventCode;

/** Events of a gateway that warms up. */
public enum WarmUpEvents implements EventCode {

	/** A gateway sent calls of its own through itself before it was ready. */
	WARMED_UP(2890),

	/**
	 * A call that a gateway sent through itself failed; the gateway gets ready without
	 * further ones.
	 */
	WARM_UP_FAILED(2891);

	private final int number;

	WarmUpEvents(int number) {
		this.number = number;
	}

	@Override
	public int number() {
		return this.number;
	}

}
