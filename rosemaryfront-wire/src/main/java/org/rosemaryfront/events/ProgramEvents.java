package org.rosemaryfront.events;

/** Events of starting and stopping a program. */
public enum ProgramEvents implements EventCode {

	/** The program listens on all its addresses. */
	PROGRAM_READY(1001),

	/** A stop was asked for; the program finishes what it has. */
	PROGRAM_STOPPING(1002),

	/** The program ended in good order. */
	PROGRAM_STOPPED(1003),

	/** The program could not start or go on. */
	PROGRAM_FAILED(1004),

	/** A piece of work on the control thread failed; the thread goes on. */
	CONTROL_WORK_FAILED(1005),

	/** Lines of the log were dropped, since more came than could be written. */
	LOG_DROPPED(1006);

	private final int number;

	ProgramEvents(int number) {
		this.number = number;
	}

	@Override
	public int number() {
		return this.number;
	}

}
