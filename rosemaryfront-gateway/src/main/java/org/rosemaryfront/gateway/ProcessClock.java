package org.rosemaryfront.gateway;

import java.util.function.LongSupplier;

/**
 * The clocks of a process.
 *
 * @param monotonic the monotonic clock, in nanoseconds
 * @param wall the wall clock, in milliseconds since 1970
 */
record ProcessClock(LongSupplier monotonic, LongSupplier wall) {

	static ProcessClock system() {
		return new ProcessClock(System::nanoTime, System::currentTimeMillis);
	}

	long nanos() {
		return this.monotonic.getAsLong();
	}

	long epochMillis() {
		return this.wall.getAsLong();
	}

}
