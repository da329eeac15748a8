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
	private static final int MAX_DEPARTED = 16_384;

	private final Map<VmId, Server> rows = new LinkedHashMap<>();

	private final Map<VmId, Boolean> departed = new LinkedHashMap<>();

	private final Map<VmId, Server> leaving = new LinkedHashMap<>();

	/** The number of leaving servers by zone. */
	private final Map<String, Integer> leavingCountByZone = new HashMap<>();

	private final Map<String, ServerPool> pools = new LinkedHashMap<>();

	// -- changes

	void addOrUpdate(VmId id, String pool, String zone, String address) {
		if (this.departed.containsKey(id)) {
			return;
		}
		Server existing = this.rows.get(id);
		if (existing == null) {
			Server server = new Server(id, pool, zone, address);
			this.rows.put(id, server);
			this.pools.computeIfAbsent(pool, (_) -> new ServerPool()).add(server);
		}
		else {
			existing.address = address;
		}
	}

	void markLeaving(VmId id, long terminationNanos) {
		markDeparted(id);
		Server server = this.rows.get(id);
		if (server != null) {
			server.phase = Server.Phase.LEAVING;
			server.terminationNanos = Math.min(server.terminationNanos, terminationNanos);
			if (this.leaving.put(id, server) == null) {
				this.leavingCountByZone.merge(server.zone, 1, Integer::sum);
			}
		}
	}

	void removeTerminated(VmId id) {
		markDeparted(id);
		Server server = this.rows.remove(id);
		if (this.leaving.remove(id) != null) {
			this.leavingCountByZone.merge(server.zone, -1, Integer::sum);
		}
		if (server != null) {
			server.phase = Server.Phase.TERMINATED;
		}
	}

	private void markDeparted(VmId id) {
		if (this.departed.put(id, true) == null) {
			Optional.ofNullable(this.rows.get(id)).ifPresent((server) -> this.pools.get(server.pool).remove(server));
			if (this.departed.size() > MAX_DEPARTED) {
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
	boolean isZoneLeaving(Server server) {
		int leavingInZone = this.leavingCountByZone.getOrDefault(server.zone, 0);
		return leavingInZone > 0 && leavingInZone > pool(server.pool).countInZone(server.zone);
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
