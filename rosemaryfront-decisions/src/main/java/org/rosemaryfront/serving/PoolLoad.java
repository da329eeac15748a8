package org.rosemaryfront.serving;

import java.util.List;

/**
 * The current load of a pool, as far as this process knows it.
 *
 * @param slots the number of streams that the backend servers can run at the same time
 * @param streams the number of streams on the backend servers
 */
record PoolLoad(double slots, double streams) {

	/**
	 * The approximate number of servers to sample; the load of a larger pool is
	 * extrapolated.
	 */
	private static final int SAMPLE_SIZE = 64;

	static PoolLoad of(ServingState state, String pool) {
		List<Server> live = state.servers.pool(pool).live();
		int step = Math.max(1, live.size() / SAMPLE_SIZE);
		int sampled = 0;
		double streams = 0;
		for (int i = 0; i < live.size(); i += step) {
			streams += live.get(i).streams();
			sampled++;
		}
		double scale = (sampled > 0) ? (double) live.size() / sampled : 0;
		return new PoolLoad((double) live.size() * state.slots(pool), streams * scale);
	}

	// Whether one more stream would get a slot immediately.
	boolean hasFreeSlot() {
		return this.streams + 1 <= this.slots;
	}

	// Returns the fraction of the slots in use; a pool without slots counts as full.
	double utilisation() {
		return (this.slots > 0) ? this.streams / this.slots : 1;
	}

	// Returns the expected time until one more stream gets a slot if only the given
	// fraction of the slots can be used, in nanoseconds.
	double waitNanos(double usableFraction, double answerNanos) {
		return Math.max(0, this.streams + 1 - usableFraction * this.slots) * answerNanos / Math.max(1, this.slots);
	}

}
