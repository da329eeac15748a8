package org.rosemaryfront.serving;

/** One step of a tick: reads and changes the tables and adds commands. */
interface ServingSystem {

	/**
	 * Runs the step.
	 * @param state the tables
	 * @param nowNanos the time on the monotonic clock, in nanoseconds
	 */
	void run(ServingState state, long nowNanos);

}
