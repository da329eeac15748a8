package org.rosemaryfront.serving;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The backend servers of a pool that accept new work. */
final class ServerPool {

	static final ServerPool EMPTY = new ServerPool();

	private final List<Server> live = new ArrayList<>();

	private final Map<String, Integer> byZone = new HashMap<>();

	private HashRing ring = HashRing.of(List.of());

	private boolean changed;

	// -- changes

	void add(Server server) {
		this.live.add(server);
		this.byZone.merge(server.zone, 1, Integer::sum);
		this.changed = true;
	}

	void remove(Server server) {
		if (this.live.remove(server)) {
			this.byZone.merge(server.zone, -1, Integer::sum);
		}
		this.changed = true;
	}

	// -- queries

	List<Server> live() {
		return this.live;
	}

	int inZone(String zone) {
		return this.byZone.getOrDefault(zone, 0);
	}

	HashRing ring() {
		if (this.changed) {
			this.ring = HashRing.of(this.live);
			this.changed = false;
		}
		return this.ring;
	}

}
