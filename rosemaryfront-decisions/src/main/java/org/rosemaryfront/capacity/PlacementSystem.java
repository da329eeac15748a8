package org.rosemaryfront.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Plans purchases: first what a pool lacks, then, one at a time, what makes it cheaper or
 * safer. Zones below their share come first, then any zone that still sells; within a
 * zone the cheapest open offer wins, so that on-demand VMs are bought only while
 * reclaimable ones are refused, and are exchanged when these return.
 */
final class PlacementSystem {

	/** What an exchange must save to be worth a boot and a load of weights. */
	private static final double WORTH_EXCHANGING = 0.9;

	private PlacementSystem() {
	}

	static void run(CapacityTables tables, long nowNanos) {
		for (PoolRow row : tables.pools.values()) {
			while (row.total < row.plan.total() && row.intents.size() < tables.settings.startsAtOnce()) {
				Optional<Choice> choice = lacking(tables, row, nowNanos);
				if (choice.isEmpty()) {
					break;
				}
				plan(tables, row, choice.get());
			}
			if (isSettled(row)) {
				improvement(tables, row, nowNanos).ifPresent((choice) -> plan(tables, row, choice));
			}
		}
	}

	private static void plan(CapacityTables tables, PoolRow row, Choice choice) {
		tables.purchases++;
		String token = "f" + tables.fence + "-" + tables.purchases;
		Intent intent = new Intent(token, row.pool.name(), choice.offer().offer.key());
		IntentRow planned = new IntentRow(intent, choice.reason(), IntentRow.Phase.PLANNED);
		planned.nextNanos = Long.MIN_VALUE;
		tables.intents.put(token, planned);
		tables.open(planned);
	}

	private static Optional<Choice> lacking(CapacityTables tables, PoolRow row, long nowNanos) {
		Optional<Choice> best = Optional.empty();
		double bestRank = Double.MAX_VALUE;
		for (String zone : zones(tables, row)) {
			Optional<OfferRow> offer = SizeSystem.cheapest(tables, row, zone, nowNanos);
			if (offer.isEmpty()) {
				continue;
			}
			boolean shortOf = row.in(zone) < row.plan.in(zone);
			double rank = shortOf ? (double) row.in(zone) / row.plan.in(zone) : 1 + row.in(zone);
			if (rank < bestRank) {
				bestRank = rank;
				best = Optional.of(new Choice(offer.get(),
						(shortOf ? "zone-below-share" : "other-zones-refuse") + " pool has " + row.total + " of "
								+ row.plan.total() + ", zone " + row.in(zone) + " of " + row.plan.in(zone)));
			}
		}
		return best;
	}

	private static Optional<Choice> improvement(CapacityTables tables, PoolRow row, long nowNanos) {
		for (String zone : zones(tables, row)) {
			Optional<OfferRow> offer = SizeSystem.cheapest(tables, row, zone, nowNanos);
			if (offer.isEmpty()) {
				continue;
			}
			if (row.in(zone) < row.plan.in(zone)) {
				return offer
					.map((open) -> new Choice(open, "spread: zone " + row.in(zone) + " of " + row.plan.in(zone)));
			}
			double dearest = dearest(tables, row, zone);
			double cost = tables.settings.reclaimCostHours();
			if (offer.get().score(cost) < dearest * WORTH_EXCHANGING) {
				return offer.map((open) -> new Choice(open, "cheaper: " + open.score(cost) + " for " + dearest));
			}
		}
		return Optional.empty();
	}

	private static double dearest(CapacityTables tables, PoolRow row, String zone) {
		double dearest = 0;
		for (VmRow vm : row.vms) {
			if (vm.counts() && vm.zone().equals(zone)) {
				dearest = Math.max(dearest, score(tables, vm));
			}
		}
		return dearest;
	}

	// What a VM costs; nothing is known of one whose sort is no longer offered.
	static double score(CapacityTables tables, VmRow vm) {
		OfferRow offer = tables.offers.get(vm.vm.sort());
		return (offer != null) ? offer.score(tables.settings.reclaimCostHours()) : 0;
	}

	// Whether a pool is whole and nothing is under way in it.
	private static boolean isSettled(PoolRow row) {
		return row.total == row.plan.total() && row.intents.isEmpty()
				&& row.vms.stream().allMatch((vm) -> row.isReady(vm) || !vm.counts())
				&& row.vms.stream().noneMatch((vm) -> vm.draining);
	}

	private static List<String> zones(CapacityTables tables, PoolRow row) {
		List<String> zones = new ArrayList<>();
		for (OfferRow offer : tables.offers.values()) {
			OfferKey key = offer.offer.key();
			if (SizeSystem.allows(row, key) && !zones.contains(key.zone())) {
				zones.add(key.zone());
			}
		}
		zones.sort(Comparator.naturalOrder());
		return zones;
	}

	private record Choice(OfferRow offer, String reason) {
	}

}
