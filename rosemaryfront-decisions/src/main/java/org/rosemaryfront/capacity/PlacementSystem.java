package org.rosemaryfront.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Plans purchases: first those that a pool lacks, then, one at a time, those that make it
 * cheaper or spread it better across zones. Zones below their planned share come first,
 * then any zone with an available offer. Within a zone the cheapest available offer is
 * chosen, so that on-demand VMs are bought only while reclaimable ones are refused, and
 * are replaced when these are available again.
 */
final class PlacementSystem {

	/**
	 * A replacement must cost less than this fraction of the VM's price to be worth a
	 * boot and a load of weights.
	 */
	private static final double MAX_REPLACEMENT_PRICE_RATIO = 0.9;

	private PlacementSystem() {
	}

	static void run(CapacityTables tables, long nowNanos) {
		for (PoolRow row : tables.pools.values()) {
			while (row.totalCount < row.plan.total() && row.intents.size() < tables.settings.startsAtOnce()) {
				Optional<Choice> choice = chooseForShortage(tables, row, nowNanos);
				if (choice.isEmpty()) {
					break;
				}
				planPurchase(tables, row, choice.get());
			}
			if (isStable(row)) {
				chooseImprovement(tables, row, nowNanos).ifPresent((choice) -> planPurchase(tables, row, choice));
			}
		}
	}

	private static void planPurchase(CapacityTables tables, PoolRow row, Choice choice) {
		tables.purchaseCount++;
		String token = "f" + tables.fence + "-" + tables.purchaseCount;
		Intent intent = new Intent(token, row.pool.name(), choice.offer().offer.key());
		IntentRow planned = new IntentRow(intent, choice.reason(), IntentRow.Phase.PLANNED);
		planned.nextAttemptNanos = Long.MIN_VALUE;
		tables.intents.put(token, planned);
		tables.countPurchase(planned);
	}

	private static Optional<Choice> chooseForShortage(CapacityTables tables, PoolRow row, long nowNanos) {
		Optional<Choice> best = Optional.empty();
		double bestRank = Double.MAX_VALUE;
		for (String zone : allowedZones(tables, row)) {
			Optional<OfferRow> offer = PoolSizeSystem.cheapestAvailable(tables, row, zone, nowNanos);
			if (offer.isEmpty()) {
				continue;
			}
			boolean belowShare = row.countIn(zone) < row.plan.countIn(zone);
			double rank = belowShare ? (double) row.countIn(zone) / row.plan.countIn(zone) : 1 + row.countIn(zone);
			if (rank < bestRank) {
				bestRank = rank;
				best = Optional.of(new Choice(offer.get(),
						(belowShare ? "zone-below-share" : "other-zones-refuse") + " pool has " + row.totalCount
								+ " of " + row.plan.total() + ", zone " + row.countIn(zone) + " of "
								+ row.plan.countIn(zone)));
			}
		}
		return best;
	}

	private static Optional<Choice> chooseImprovement(CapacityTables tables, PoolRow row, long nowNanos) {
		for (String zone : allowedZones(tables, row)) {
			Optional<OfferRow> offer = PoolSizeSystem.cheapestAvailable(tables, row, zone, nowNanos);
			if (offer.isEmpty()) {
				continue;
			}
			if (row.countIn(zone) < row.plan.countIn(zone)) {
				return offer.map((cheapest) -> new Choice(cheapest,
						"spread: zone " + row.countIn(zone) + " of " + row.plan.countIn(zone)));
			}
			double highestPrice = highestPrice(tables, row, zone);
			double reclaimCostHours = tables.settings.reclaimCostHours();
			if (offer.get().effectivePrice(reclaimCostHours) < highestPrice * MAX_REPLACEMENT_PRICE_RATIO) {
				return offer.map((cheapest) -> new Choice(cheapest,
						"cheaper: " + cheapest.effectivePrice(reclaimCostHours) + " instead of " + highestPrice));
			}
		}
		return Optional.empty();
	}

	private static double highestPrice(CapacityTables tables, PoolRow row, String zone) {
		double highestPrice = 0;
		for (VmRow vm : row.vms) {
			if (vm.countsTowardsSize() && vm.zone().equals(zone)) {
				highestPrice = Math.max(highestPrice, effectivePrice(tables, vm));
			}
		}
		return highestPrice;
	}

	// Returns the effective price of a VM, 0 if its VM type is no longer offered and the
	// price is therefore unknown.
	static double effectivePrice(CapacityTables tables, VmRow vm) {
		OfferRow offer = tables.offers.get(vm.vm.sort());
		return (offer != null) ? offer.effectivePrice(tables.settings.reclaimCostHours()) : 0;
	}

	// Returns whether a pool has its planned size and no purchase, boot, load or drain is
	// in progress.
	private static boolean isStable(PoolRow row) {
		return row.totalCount == row.plan.total() && row.intents.isEmpty()
				&& row.vms.stream().allMatch((vm) -> row.isReady(vm) || !vm.countsTowardsSize())
				&& row.vms.stream().noneMatch((vm) -> vm.draining);
	}

	private static List<String> allowedZones(CapacityTables tables, PoolRow row) {
		List<String> zones = new ArrayList<>();
		for (OfferRow offer : tables.offers.values()) {
			OfferKey key = offer.offer.key();
			if (PoolSizeSystem.allows(row, key) && !zones.contains(key.zone())) {
				zones.add(key.zone());
			}
		}
		zones.sort(Comparator.naturalOrder());
		return zones;
	}

	private record Choice(OfferRow offer, String reason) {
	}

}
