package org.rosemaryfront.serving;

import java.util.SplittableRandom;

/**
 * The few backend servers that are considered for a request: all servers of a small pool;
 * of a large pool, those that follow the request's affinity key on the hash ring and some
 * random ones, so that the cost of a decision does not depend on the size of the pool.
 */
final class Candidates {

	/** The maximum number of candidates. */
	static final int MAX_COUNT = 16;

	/** The number of candidates that are taken from the hash ring. */
	private static final int MAX_RING_COUNT = 12;

	private final Server[] ringServers = new Server[MAX_RING_COUNT];

	private final Server[] servers = new Server[MAX_COUNT];

	private int count;

	// -- search

	void find(ServerPool pool, long key, SplittableRandom random) {
		if (pool.live().size() <= MAX_COUNT) {
			this.count = pool.live().size();
			int offset = (this.count > 0) ? random.nextInt(this.count) : 0;
			for (int i = 0; i < this.count; i++) {
				this.servers[i] = pool.live().get((i + offset) % this.count);
			}
			return;
		}
		this.count = pool.ring().findSuccessors(key, this.ringServers);
		System.arraycopy(this.ringServers, 0, this.servers, 0, this.count);
		while (this.count < MAX_COUNT) {
			this.servers[this.count++] = pool.live().get(random.nextInt(pool.live().size()));
		}
	}

	// -- queries

	int count() {
		return this.count;
	}

	Server get(int index) {
		return this.servers[index];
	}

	// Returns the server that all entry processes prefer for a key: the one with the
	// highest hash of key and server (rendezvous hashing), or null if there are no
	// candidates.
	Server home(long key) {
		Server home = null;
		long highestWeight = Long.MIN_VALUE;
		for (int i = 0; i < this.count; i++) {
			long weight = HashRing.mix(key ^ this.servers[i].hash);
			if (home == null || weight > highestWeight) {
				home = this.servers[i];
				highestWeight = weight;
			}
		}
		return home;
	}

}
