package org.rosemaryfront.serving;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.rosemaryfront.model.VmId;

/**
 * The backend servers known to this process. VMs that are leaving or terminated stay
 * recorded as departed: the platform's VM list lags, and an outdated entry that arrives
 * after the notice would otherwise bring the server back and give it new work.
 */
final class ServerTable {

	/** The maximum number of departed VMs that are kept; the oldest are removed first. */
	private static final int DEPARTED_LIMIT = 16_384;

	private final Map<VmId, Server> rows = new LinkedHashMap<>();

	private final Map<VmId, Boolean> departed = new LinkedHashMap<>();

	private final Map<VmId, Server> leaving = new LinkedHashMap<>();

	/** The number of leaving servers by zone. */
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

	// Whether most servers in the zone of the server are leaving; the remaining ones are
	// likely to follow.
	boolean zoneLeaves(Server server) {
		int leavingThere = this.leavingByZone.getOrDefault(server.zone, 0);
		return leavingThere > 0 && leavingThere > pool(server.pool).inZone(server.zone);
	}

	// Returns the servers that accept no new work and finish their streams.
	Collection<Server> leaving() {
		return this.leaving.values();
	}

	// Returns the servers of a pool that accept new work.
	ServerPool pool(String pool) {
		return this.pools.getOrDefault(pool, ServerPool.EMPTY);
	}

}
