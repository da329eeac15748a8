package org.rosemaryfront.events;

/** Events of the start, operation and shutdown of a program. */
public enum ProgramEvents implements EventCode {

	/** The program is listening on all its addresses. */
	PROGRAM_READY(1001),

	/** A shutdown was requested; the program completes the work in progress. */
	PROGRAM_STOPPING(1002),

	/** The program shut down cleanly. */
	PROGRAM_STOPPED(1003),

	/** The program could not start or could not continue. */
	PROGRAM_FAILED(1004),

	/** A task on the control thread failed; the thread continues. */
	CONTROL_WORK_FAILED(1005),

	/** Log lines were dropped because they arrived faster than they could be written. */
	LOG_DROPPED(1006),

	/** The control thread failed with an error; the process ends. */
	CONTROL_THREAD_FAILED(1007);

	private final int number;

	ProgramEvents(int number) {
		this.number = number;
	}

	@Override
	public int number() {
		return this.number;
	}

}
