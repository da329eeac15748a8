package org.rosemaryfront.serving;

import java.util.List;

/**
 * The load of a pool at one moment, as far as this process knows it.
 *
 * @param slots the streams that its backend servers can run at a time
 * @param streams the streams that they have
 */
record PoolLoad(double slots, double streams) {

	/** Servers looked at; the load of a larger pool is taken from a part of it. */
	private static final int SAMPLE = 64;

	static PoolLoad of(ServingState state, String pool) {
		List<Server> live = state.servers.pool(pool).live();
		int step = Math.max(1, live.size() / SAMPLE);
		int looked = 0;
		double streams = 0;
		for (int i = 0; i < live.size(); i += step) {
			streams += live.get(i).streams();
			looked++;
		}
		double scale = (looked > 0) ? (double) live.size() / looked : 0;
		return new PoolLoad((double) live.size() * state.slots(pool), streams * scale);
	}

	// Whether one more stream finds a slot at once.
	boolean hasFreeSlot() {
		return this.streams + 1 <= this.slots;
	}

	// The part of the slots in use; a pool without slots is full.
	double used() {
		return (this.slots > 0) ? this.streams / this.slots : 1;
	}

	// The time until one more stream finds a slot when a part of the slots can be used,
	// in nanoseconds.
	double waitNanos(double usable, double answerNanos) {
		return Math.max(0, this.streams + 1 - usable * this.slots) * answerNanos / Math.max(1, this.slots);
	}

}
