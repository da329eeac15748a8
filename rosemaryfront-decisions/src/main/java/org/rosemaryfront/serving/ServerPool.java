package org.rosemaryfront.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The backend servers of a pool that accept new work. */
final class ServerPool {

	static final ServerPool EMPTY = new ServerPool();

	private final List<Server> live = new ArrayList<>();

	private final Map<String, Integer> countByZone = new HashMap<>();

	private HashRing ring = HashRing.of(List.of());

	private boolean ringOutdated;

	// -- changes

	void add(Server server) {
		this.live.add(server);
		this.countByZone.merge(server.zone, 1, Integer::sum);
		this.ringOutdated = true;
	}

	void remove(Server server) {
		if (this.live.remove(server)) {
			this.countByZone.merge(server.zone, -1, Integer::sum);
		}
		this.ringOutdated = true;
	}

	// -- queries

	List<Server> live() {
		return this.live;
	}

	int countInZone(String zone) {
		return this.countByZone.getOrDefault(zone, 0);
	}

	HashRing ring() {
		if (this.ringOutdated) {
			this.ring = HashRing.of(this.live);
			this.ringOutdated = false;
		}
		return this.ring;
	}

}
