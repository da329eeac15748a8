package org.rosemaryfront.serving;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.rosemaryfront.model.VmId;

/**
 * The backend servers this process knows. A VM that is leaving or gone stays known as
 * such: the platform's list lags, and an old "alive" that arrives after "leaving" would
 * otherwise bring it back and give it new work.
 */
final class ServerTable {

	/** Departed VMs remembered; the oldest are forgotten first. */
	private static final int DEPARTED_LIMIT = 16_384;

	private final Map<VmId, Server> rows = new LinkedHashMap<>();

	private final Map<VmId, Boolean> departed = new LinkedHashMap<>();

	private final Map<VmId, Server> leaving = new LinkedHashMap<>();

	/** Servers that are leaving, by zone. */
	private final Map<String, Integer> leavingByZone = new HashMap<>();

	private final Map<String, ServerPool> pools = new LinkedHashMap<>();

	// -- changes

	void seen(VmId id, String pool, String zone, String address) {
		if (this.departed.containsKey(id)) {
			return;
		}
		Server known = this.rows.get(id);
		if (known == null) {
			Server server = new Server(id, pool, zone, address);
			this.rows.put(id, server);
			this.pools.computeIfAbsent(pool, (_) -> new ServerPool()).add(server);
		}
		else {
			known.address = address;
		}
	}

	void leaving(VmId id, long goneAtNanos) {
		depart(id);
		Server server = this.rows.get(id);
		if (server != null) {
			server.phase = Server.Phase.LEAVING;
			server.goneAtNanos = Math.min(server.goneAtNanos, goneAtNanos);
			if (this.leaving.put(id, server) == null) {
				this.leavingByZone.merge(server.zone, 1, Integer::sum);
			}
		}
	}

	void gone(VmId id) {
		depart(id);
		Server server = this.rows.remove(id);
		if (this.leaving.remove(id) != null) {
			this.leavingByZone.merge(server.zone, -1, Integer::sum);
		}
		if (server != null) {
			server.phase = Server.Phase.GONE;
		}
	}

	private void depart(VmId id) {
		if (this.departed.put(id, true) == null) {
			Optional.ofNullable(this.rows.get(id)).ifPresent((server) -> this.pools.get(server.pool).remove(server));
			if (this.departed.size() > DEPARTED_LIMIT) {
				this.departed.remove(this.departed.keySet().iterator().next());
			}
		}
	}

	// -- queries

	Collection<Server> all() {
		return this.rows.values();
	}

	Optional<Server> find(VmId id) {
		return Optional.ofNullable(this.rows.get(id));
	}

	// Whether most servers of the server's zone are leaving: the rest is likely to
	// follow.
	boolean zoneLeaves(Server server) {
		int leavingThere = this.leavingByZone.getOrDefault(server.zone, 0);
		return leavingThere > 0 && leavingThere > pool(server.pool).inZone(server.zone);
	}

	// The servers that finish what they have.
	Collection<Server> leaving() {
		return this.leaving.values();
	}

	// The servers of a pool that take new work.
	ServerPool pool(String pool) {
		return this.pools.getOrDefault(pool, ServerPool.EMPTY);
	}

}
