package org.rosemaryfront.capacity;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides how many backend servers each pool needs and in which zones.
 *
 * <p>
 * The target is the number of servers that keeps the measured streams within the busy
 * share of the slots, limited by the pool's minimum and maximum. The measured streams are
 * those that run and those that were queued throughout a window of
 * {@value #QUEUE_WINDOW_MILLIS} ms. A shorter queue is a burst that ends before a VM has
 * booted.
 *
 * <p>
 * The target grows immediately. It shrinks only after demand was lower for
 * {@value #SHRINK_DELAY_MILLIS} ms, and then by a tenth, but at least one, every
 * {@value #SHRINK_INTERVAL_MILLIS} ms, because a VM that is released too early costs a
 * boot and a load of weights.
 */
final class PoolSizeSystem {

	private static final long QUEUE_WINDOW_MILLIS = 30_000;

	private static final long SHRINK_DELAY_MILLIS = 300_000;

	private static final int SHRINK_DIVISOR = 10;

	private static final long SHRINK_INTERVAL_MILLIS = 60_000;

	private PoolSizeSystem() {
	}

	static void run(CapacityTables tables, long nowNanos) {
		for (PoolRow row : tables.pools.values()) {
			row.target = Math.min(row.pool.maximum(), Math.max(row.pool.minimum(), demand(tables, row, nowNanos)));
			Map<String, Double> prices = lowestPrices(tables, row);
			List<String> zones = prices.keySet()
				.stream()
				.sorted(Comparator.<String>comparingDouble(prices::get).thenComparing(Comparator.naturalOrder()))
				.toList();
			List<Object> planInputs = List.of(prices, row.target, row.pool.maximum());
			if (!planInputs.equals(row.planInputs)) {
				row.planInputs = planInputs;
				row.plan = SpreadPlan.of(zones, prices, row.target, row.pool.maximum());
			}
		}
	}

	private static int demand(CapacityTables tables, PoolRow row, long nowNanos) {
		int running = 0;
		int queued = 0;
		for (VmRow vm : row.vms) {
			running += vm.actualState.map(ServerState::running).orElse(0);
			queued += vm.actualState.map(ServerState::queued).orElse(0);
		}
		observeQueue(row, queued, nowNanos);
		double slots = Math.max(1, row.pool.slotsPerServer()) * tables.settings.busyShare();
		int demand = (int) Math.ceil((running + row.sustainedQueue) / slots);
		if (demand >= row.peakDemand) {
			row.peakDemand = demand;
			row.nextShrinkNanos = nowNanos + CapacitySettings.toNanos(SHRINK_DELAY_MILLIS);
		}
		else if (nowNanos - row.nextShrinkNanos >= 0) {
			row.peakDemand = Math.max(demand, row.peakDemand - Math.max(1, row.peakDemand / SHRINK_DIVISOR));
			row.nextShrinkNanos = nowNanos + CapacitySettings.toNanos(SHRINK_INTERVAL_MILLIS);
		}
		return row.peakDemand;
	}

	private static void observeQueue(PoolRow row, int queued, long nowNanos) {
		row.minQueueInWindow = Math.min(row.minQueueInWindow, queued);
		if (nowNanos - row.queueWindowEndNanos >= 0) {
			row.sustainedQueue = row.minQueueInWindow;
			row.minQueueInWindow = queued;
			row.queueWindowEndNanos = nowNanos + CapacitySettings.toNanos(QUEUE_WINDOW_MILLIS);
		}
	}

	// Returns the lowest effective price of a VM in each zone that the pool may use.
	private static Map<String, Double> lowestPrices(CapacityTables tables, PoolRow row) {
		Map<String, Double> prices = new TreeMap<>();
		for (OfferRow offer : tables.offers.values()) {
			if (allows(row, offer.offer.key())) {
				prices.merge(offer.offer.key().zone(), offer.effectivePrice(tables.settings.reclaimCostHours()),
						Math::min);
			}
		}
		return prices;
	}

	// Returns whether a pool may use a VM type; empty lists allow all.
	static boolean allows(PoolRow row, OfferKey key) {
		return (row.pool.zones().isEmpty() || row.pool.zones().contains(key.zone()))
				&& (row.pool.machineClasses().isEmpty() || row.pool.machineClasses().contains(key.machineClass()));
	}

	// Returns the cheapest available offer of a zone.
	static Optional<OfferRow> cheapestAvailable(CapacityTables tables, PoolRow row, String zone, long nowNanos) {
		return tables.offers.values()
			.stream()
			.filter((offer) -> offer.offer.key().zone().equals(zone) && allows(row, offer.offer.key()))
			.filter((offer) -> offer.isAvailable(nowNanos))
			.min(Comparator.comparingDouble((offer) -> offer.effectivePrice(tables.settings.reclaimCostHours())));
	}

}
