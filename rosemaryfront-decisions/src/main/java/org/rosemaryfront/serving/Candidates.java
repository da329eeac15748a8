package org.rosemaryfront.serving;

import java.util.SplittableRandom;

/**
 * The few backend servers that are considered for a request: all servers of a small pool;
 * of a large pool, those that follow the request's affinity key on the hash ring and some
 * random ones, so that the cost of a decision does not depend on the size of the pool.
 */
final class Candidates {

	/** The maximum number of candidates. */
	static final int COUNT = 16;

	/** The number of candidates that are taken from the hash ring. */
	private static final int ON_RING = 12;

	private final Server[] onRing = new Server[ON_RING];

	private final Server[] found = new Server[COUNT];

	private int count;

	// -- search

	void find(ServerPool pool, long key, SplittableRandom random) {
		if (pool.live().size() <= COUNT) {
			this.count = pool.live().size();
			int offset = (this.count > 0) ? random.nextInt(this.count) : 0;
			for (int i = 0; i < this.count; i++) {
				this.found[i] = pool.live().get((i + offset) % this.count);
			}
			return;
		}
		this.count = pool.ring().after(key, this.onRing);
		System.arraycopy(this.onRing, 0, this.found, 0, this.count);
		while (this.count < COUNT) {
			this.found[this.count++] = pool.live().get(random.nextInt(pool.live().size()));
		}
	}

	// -- queries

	int count() {
		return this.count;
	}

	Server get(int index) {
		return this.found[index];
	}

	// Returns the server that all entry processes prefer for a key: the one with the
	// highest hash of key and server (rendezvous hashing), or null if there are no
	// candidates.
	Server home(long key) {
		Server home = null;
		long highest = Long.MIN_VALUE;
		for (int i = 0; i < this.count; i++) {
			long weight = HashRing.mix(key ^ this.found[i].hash);
			if (home == null || weight > highest) {
				home = this.found[i];
				highest = weight;
			}
		}
		return home;
	}

}
