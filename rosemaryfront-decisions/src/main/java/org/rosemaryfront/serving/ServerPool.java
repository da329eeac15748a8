package org.rosemaryfront.serving;

import java.util.ArrayList;
import java.util.List;

/** The backend servers of a pool that take new work. */
final class ServerPool {

	static final ServerPool EMPTY = new ServerPool();

	private final List<Server> live = new ArrayList<>();

	private HashRing ring = HashRing.of(List.of());

	private boolean changed;

	// -- changes

	void add(Server server) {
		this.live.add(server);
		this.changed = true;
	}

	void remove(Server server) {
		this.live.remove(server);
		this.changed = true;
	}

	// -- queries

	List<Server> live() {
		return this.live;
	}

	HashRing ring() {
		if (this.changed) {
			this.ring = HashRing.of(this.live);
			this.changed = false;
		}
		return this.ring;
	}

}
