package org.rosemaryfront.standin.platform;

import org.rosemaryfront.events.EventCode;

/** Events of the stand-in platform. */
public enum StandinPlatformEvents implements EventCode {

	/** A fault was asked for and begins. */
	FAULT_BEGUN(8001),

	/** All faults end. */
	FAULTS_CLEARED(8002),

	/** VMs are reclaimed. */
	RECLAIM_BEGUN(8003),

	/** A machine was booted or halted. */
	MACHINE_ACTION_DONE(8004),

	/** A machine did not take a boot or a halt. */
	MACHINE_ACTION_FAILED(8005);

	private final int number;

	StandinPlatformEvents(int number) {
		this.number = number;
	}

	@Override
	public int number() {
		return this.number;
	}

}
