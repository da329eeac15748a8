package org.rosemaryfront.platform;

import org.rosemaryfront.events.EventCode;

/** Events of the platform client. */
public enum PlatformClientEvents implements EventCode {

	/** A call to the platform failed, and the call before it did not. */
	PLATFORM_CALLS_FAIL(7001),

	/** A call to the platform was answered after calls had failed. */
	PLATFORM_ANSWERS_AGAIN(7002);

	private final int number;

	PlatformClientEvents(int number) {
		this.number = number;
	}

	@Override
	public int number() {
		return this.number;
	}

}
