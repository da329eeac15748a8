package org.rosemaryfront.standin.http;

import org.rosemaryfront.events.EventCode;

/** Events of the stand-ins of backend servers. */
public enum StandInEvents implements EventCode {

	/** The stand-in was offered to the platform as a spare machine. */
	SLOT_OFFERED(8501),

	/** A VM boots on the machine. */
	VM_BOOTED(8502),

	/** The VM on the machine ended; its memory is gone. */
	VM_HALTED(8503),

	/** A fault begins. */
	FAULT_BEGAN(8504),

	/** Weights could not be fetched; it is tried again. */
	WEIGHTS_LATE(8505);

	private final int number;

	StandInEvents(int number) {
		this.number = number;
	}

	@Override
	public int number() {
		return this.number;
	}

}
