package org.rosemaryfront.capacity;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides how many backend servers each pool wants and in which zones.
 *
 * <p>
 * The target is the minimum, or what keeps the measured streams under the busy share of
 * the slots. It grows at once and shrinks only when the need was lower for
 * {@value #SHRINK_AFTER_MILLIS} ms, since a VM that was given back too early costs a boot
 * and a load of weights.
 */
final class SizeSystem {

	private static final long SHRINK_AFTER_MILLIS = 300_000;

	private SizeSystem() {
	}

	static void run(CapacityTables tables, long nowNanos) {
		for (PoolRow row : tables.pools.values()) {
			row.target = Math.min(row.pool.maximum(), Math.max(row.pool.minimum(), demand(tables, row, nowNanos)));
			Map<String, Double> prices = prices(tables, row);
			List<String> zones = prices.keySet()
				.stream()
				.sorted(Comparator.<String>comparingDouble(prices::get).thenComparing(Comparator.naturalOrder()))
				.toList();
			List<Object> planned = List.of(prices, row.target, row.pool.maximum());
			if (!planned.equals(row.planned)) {
				row.planned = planned;
				row.plan = SpreadPlan.of(zones, prices, row.target, row.pool.maximum());
			}
		}
	}

	private static int demand(CapacityTables tables, PoolRow row, long nowNanos) {
		int running = 0;
		for (VmRow vm : row.vms) {
			running += vm.actual.map(ServerState::running).orElse(0);
		}
		double slots = Math.max(1, row.pool.slotsPerServer()) * tables.settings.busyShare();
		int demand = (int) Math.ceil(running / slots);
		if (demand >= row.demandPeak || nowNanos - row.demandPeakUntilNanos >= 0) {
			row.demandPeak = demand;
			row.demandPeakUntilNanos = nowNanos + CapacitySettings.nanos(SHRINK_AFTER_MILLIS);
		}
		return row.demandPeak;
	}

	// The least price of a VM in each zone that the pool may use.
	private static Map<String, Double> prices(CapacityTables tables, PoolRow row) {
		Map<String, Double> prices = new TreeMap<>();
		for (OfferRow offer : tables.offers.values()) {
			if (allows(row, offer.offer.key())) {
				prices.merge(offer.offer.key().zone(), offer.score(tables.settings.reclaimCostHours()), Math::min);
			}
		}
		return prices;
	}

	// Whether a pool may use a sort of VM; empty lists allow all.
	static boolean allows(PoolRow row, OfferKey key) {
		return (row.pool.zones().isEmpty() || row.pool.zones().contains(key.zone()))
				&& (row.pool.machineClasses().isEmpty() || row.pool.machineClasses().contains(key.machineClass()));
	}

	// The cheapest offer of a zone that is open now.
	static Optional<OfferRow> cheapest(CapacityTables tables, PoolRow row, String zone, long nowNanos) {
		return tables.offers.values()
			.stream()
			.filter((offer) -> offer.offer.key().zone().equals(zone) && allows(row, offer.offer.key()))
			.filter((offer) -> offer.isOpen(nowNanos))
			.min(Comparator.comparingDouble((offer) -> offer.score(tables.settings.reclaimCostHours())));
	}

}
