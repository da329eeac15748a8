package org.rosemaryfront.duties;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.rosemaryfront.duties.CapacityPlanner.Plan;
import org.rosemaryfront.duties.CapacityPlanner.ZoneSize;
import org.rosemaryfront.duties.PoolSize.Pool;
import org.rosemaryfront.routes.ServiceSpec;

/**
 * Determines the pool sizes to order from the plan, the servers present and the results
 * of earlier orders. Times are on the monotonic clock, in nanoseconds.
 *
 * <p>
 * Reclaimable VMs are ordered first. On-demand VMs are released only when the reclaimable
 * ones accept calls. While no reclaimable VM is available in a zone, missing servers are
 * replaced by on-demand VMs until reclaimable VMs are available again.
 */
public final class ScalingOrders {

	/**
	 * The time after the boot time within which an ordered server must appear before it
	 * is ordered again.
	 */
	private static final long APPEARANCE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(4);

	/** The delay before a failed order is repeated. */
	private static final long RETRY_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * The fraction of the recently required capacity up to which missing servers are
	 * replaced by on-demand VMs. The required capacity includes headroom for peaks, and
	 * an on-demand VM costs about five times as much as a reclaimable one: with the whole
	 * required capacity, the servers of two days with reclaims cost 0.24 of the value of
	 * those days; with this fraction 0.19, while the fraction of calls served stayed the
	 * same (0.896 and 0.894).
	 */
	private static final double FALLBACK_FRACTION = 0.7;

	private final Map<Pool, PlacedOrder> placedOrders = new HashMap<>();

	/**
	 * The most servers seen in each pool before its first order since this process took
	 * the duties. A predecessor ordered them for a demand that this process may not have
	 * measured.
	 */
	private final Map<Pool, Integer> inheritedServers = new HashMap<>();

	/** The pools ordered since this process took the duties. */
	private final Set<Pool> orderedPools = new HashSet<>();

	// -- orders

	/**
	 * Records that this process took the duties.
	 */
	public void dutiesTaken() {
		this.inheritedServers.clear();
		this.orderedPools.clear();
	}

	/**
	 * Returns the orders that bring a service to its planned size, and records them as
	 * placed.
	 * @param service the service
	 * @param plan the plan
	 * @param present the servers that accept calls, by zone
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the orders
	 */
	public List<PoolSize> nextOrders(ServiceSpec service, Plan plan, Map<String, ZoneSize> present, long nowNanos) {
		List<PoolSize> sizes = new ArrayList<>();
		boolean shortage = isShortOfServers(plan, present);
		plan.zones().forEach((zone, planned) -> {
			int current = zoneSize(present, zone).reclaimable();
			int inherited = recordInherited(new Pool(service.name(), zone, true), current);
			int limit = service.scaling().orElseThrow().max() - planned.onDemand();
			int retained = plan.peaksKnown() ? 0 : Math.min(limit, inherited);
			int requested = Math.max(planned.reclaimable(), shortage ? current : retained);
			nextOrder(service, new PoolSize(service.name(), zone, requested, true), current, nowNanos)
				.ifPresent(sizes::add);
		});
		Fallback fallback = fallback(service, plan, present);
		plan.zones().forEach((zone, planned) -> {
			PoolSize onDemand = new PoolSize(service.name(), zone, planned.onDemand() + fallback.serversIn(zone),
					false);
			nextOrder(service, onDemand, zoneSize(present, zone).onDemand(), nowNanos).ifPresent(sizes::add);
		});
		return sizes;
	}

	// Servers that a predecessor ordered may register after this process took the duties.
	// Returns how many of those present it ordered, as far as is known.
	private int recordInherited(Pool pool, int present) {
		if (!this.orderedPools.contains(pool)) {
			this.inheritedServers.merge(pool, present, Math::max);
		}
		return Math.min(present, this.inheritedServers.getOrDefault(pool, 0));
	}

	// During a correlated reclaim, a plan that moves servers between zones or kinds of
	// VM must not release running servers: a live server was released while none of its
	// replacements was available, and a third of the calls of two seconds were late.
	private static boolean isShortOfServers(Plan plan, Map<String, ZoneSize> present) {
		return plan.zones()
			.entrySet()
			.stream()
			.anyMatch((zone) -> zoneSize(present, zone.getKey()).reclaimable() < zone.getValue().reclaimable());
	}

	// The on-demand servers beyond the plan: running ones that are still needed to
	// replace missing reclaimable servers, and new ones in zones without available
	// reclaimable VMs.
	private Fallback fallback(ServiceSpec service, Plan plan, Map<String, ZoneSize> present) {
		Fallback fallback = new Fallback();
		plan.zones().forEach((zone, planned) -> {
			ZoneSize current = zoneSize(present, zone);
			int missing = Math.max(0, planned.reclaimable() - current.reclaimable());
			int retained = Math.clamp(current.onDemand() - planned.onDemand(), 0, missing);
			boolean refused = isRefused(reclaimable(service, zone, planned));
			fallback.initZone(zone, retained, refused ? missing - retained : 0);
		});
		int reliable = totalServers(present) - serversAtRisk(service, plan, present);
		int shortage = Math.max(0, (int) Math.ceil(plan.recentRequiredServers() * FALLBACK_FRACTION) - reliable);
		// Servers that are booting stay in their zone: if they were cancelled in favour
		// of a zone refused later, their replacements would have to boot from the
		// beginning.
		for (Map.Entry<String, ZoneSize> planned : plan.zones().entrySet()) {
			String zone = planned.getKey();
			int booting = lastOrderedServers(service, zone) - planned.getValue().onDemand() - fallback.serversIn(zone);
			shortage -= fallback.add(zone, Math.clamp(booting, 0, shortage));
		}
		for (String zone : plan.zones().keySet()) {
			shortage -= fallback.add(zone, shortage);
		}
		return fallback;
	}

	// A correlated reclaim goes from zone to zone about five seconds apart, while no
	// other reclaimable VM is available. On-demand VMs ordered upon the notice of the
	// third zone are ready only after that zone is terminated, and one of seven servers
	// was left for five seconds. Once a zone is refused, the reclaimable servers of the
	// largest zone are therefore not counted as capacity.
	private int serversAtRisk(ServiceSpec service, Plan plan, Map<String, ZoneSize> present) {
		boolean refused = plan.zones()
			.keySet()
			.stream()
			.anyMatch((zone) -> isRefused(reclaimable(service, zone, ZoneSize.NONE)));
		return refused ? present.values().stream().mapToInt(ZoneSize::reclaimable).max().orElse(0) : 0;
	}

	private int lastOrderedServers(ServiceSpec service, String zone) {
		PlacedOrder last = this.placedOrders.get(new Pool(service.name(), zone, false));
		return (last != null) ? last.size.servers() : 0;
	}

	private static PoolSize reclaimable(ServiceSpec service, String zone, ZoneSize planned) {
		return new PoolSize(service.name(), zone, planned.reclaimable(), true);
	}

	/**
	 * Returns the order for one pool if one is due, and records it as placed.
	 * @param service the service
	 * @param size the required size
	 * @param present the number of servers in the pool that accept calls
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the order, empty if the size is already in force or ordered
	 */
	public Optional<PoolSize> nextOrder(ServiceSpec service, PoolSize size, int present, long nowNanos) {
		PlacedOrder last = this.placedOrders.get(size.pool());
		boolean matches = present == size.servers();
		if (last == null && matches) {
			return Optional.empty();
		}
		if (last != null) {
			last.recordPresent(present);
			long bootNanos = TimeUnit.MILLISECONDS.toNanos(service.scaling().orElseThrow().bootMillis());
			boolean retryPending = nowNanos - last.notBeforeNanos < 0;
			boolean due = last.isDue(present, nowNanos, bootNanos + APPEARANCE_TIMEOUT_NANOS);
			boolean inForce = last.size.equals(size) && (matches || !due);
			if (retryPending || inForce) {
				return Optional.empty();
			}
		}
		this.orderedPools.add(size.pool());
		this.placedOrders.put(size.pool(), new PlacedOrder(size, nowNanos, isRefused(size)));
		return Optional.of(size);
	}

	// -- results of orders

	/**
	 * Records that an order was accepted.
	 * @param size the order
	 */
	public void recordAccepted(PoolSize size) {
		findPlaced(size).ifPresent((order) -> order.refused = false);
	}

	/**
	 * Records that an order failed; it is repeated after a delay.
	 * @param size the order
	 * @param noneAvailable whether it failed because no VM of the pool's kind was
	 * available
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void recordFailure(PoolSize size, boolean noneAvailable, long nowNanos) {
		findPlaced(size).ifPresent((order) -> {
			order.failed = true;
			order.refused |= noneAvailable;
			order.notBeforeNanos = nowNanos + RETRY_DELAY_NANOS;
		});
	}

	// A repeated order is pending until its result arrives and keeps the refusal of the
	// previous one. If a pending order counted as accepted, it would cancel the fallback
	// servers every second, although they need four seconds to boot.
	private boolean isRefused(PoolSize size) {
		PlacedOrder order = this.placedOrders.get(size.pool());
		return order != null && order.refused;
	}

	private Optional<PlacedOrder> findPlaced(PoolSize size) {
		return Optional.ofNullable(this.placedOrders.get(size.pool())).filter((order) -> order.size.equals(size));
	}

	private static ZoneSize zoneSize(Map<String, ZoneSize> present, String zone) {
		return present.getOrDefault(zone, ZoneSize.NONE);
	}

	private static int totalServers(Map<String, ZoneSize> present) {
		return present.values().stream().mapToInt(ZoneSize::servers).sum();
	}

	/** On-demand servers beyond the plan by zone, and how many more may be added. */
	private static final class Fallback {

		private final Map<String, Integer> serversByZone = new HashMap<>();

		private final Map<String, Integer> remainingByZone = new HashMap<>();

		private void initZone(String zone, int retained, int limit) {
			this.serversByZone.put(zone, retained);
			this.remainingByZone.put(zone, limit);
		}

		private int serversIn(String zone) {
			return this.serversByZone.getOrDefault(zone, 0);
		}

		// Adds as many servers as the remaining limit of the zone allows and returns
		// their number.
		private int add(String zone, int requested) {
			int added = Math.min(requested, this.remainingByZone.get(zone));
			this.serversByZone.merge(zone, added, Integer::sum);
			this.remainingByZone.merge(zone, -added, Integer::sum);
			return added;
		}

	}

	/** The last order of a pool. */
	private static final class PlacedOrder {

		private final PoolSize size;

		private final long placedNanos;

		private long notBeforeNanos;

		/** Whether no VM of the pool's kind was available when it was last ordered. */
		private boolean refused;

		private boolean failed;

		/** The maximum number of servers present since the order was placed. */
		private int maxPresent;

		private PlacedOrder(PoolSize size, long nowNanos, boolean refused) {
			this.size = size;
			this.placedNanos = nowNanos;
			this.notBeforeNanos = nowNanos;
			this.refused = refused;
		}

		private void recordPresent(int present) {
			this.maxPresent = Math.max(this.maxPresent, present);
		}

		// Servers that were present and no longer are have been reclaimed. Waiting for
		// them as for booting servers would waste the notice period of a few seconds.
		private boolean isDue(int present, long nowNanos, long maxNanos) {
			boolean reclaimed = present < this.maxPresent;
			return this.failed || reclaimed || nowNanos - this.placedNanos >= maxNanos;
		}

	}

}
