package org.rosemaryfront.serving;

/** One step of a tick: reads and updates the tables and adds commands. */
interface ServingSystem {

	/**
	 * Runs the step.
	 * @param state the shared state
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void run(ServingState state, long nowNanos);

}
