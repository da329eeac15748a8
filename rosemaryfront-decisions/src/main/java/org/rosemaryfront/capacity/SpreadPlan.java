package org.rosemaryfront.capacity;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * How many VMs of a pool each availability zone gets, at the least price, so that the
 * loss of any one zone leaves the target.
 *
 * <p>
 * For each greatest count m of a zone, target + m VMs in zones of at most m survive the
 * loss of any zone; filling the cheapest zones first is the cheapest way for that m, and
 * the cheapest m wins. When the maximum forbids it, the VMs that are allowed are spread
 * as evenly as can be, and {@link #survives} tells what is left after a loss.
 *
 * @param counts the VMs by zone
 * @param total all VMs
 * @param survives the VMs left after the loss of the zone with most of them
 */
record SpreadPlan(Map<String, Integer> counts, int total, int survives) {

	static SpreadPlan empty() {
		return new SpreadPlan(Map.of(), 0, 0);
	}

	/**
	 * Finds the plan.
	 * @param zones the zones, cheapest first
	 * @param prices the price of a VM in each zone
	 * @param target what must be left after the loss of a zone
	 * @param maximum the greatest number of VMs
	 * @return the plan
	 */
	static SpreadPlan of(List<String> zones, Map<String, Double> prices, int target, int maximum) {
		if (zones.isEmpty() || target <= 0) {
			return empty();
		}
		SpreadPlan best = empty();
		double bestPrice = Double.MAX_VALUE;
		for (int maxPerZone = 1; maxPerZone <= target; maxPerZone++) {
			int total = target + maxPerZone;
			if (total > maximum || (long) maxPerZone * zones.size() < total) {
				continue;
			}
			SpreadPlan plan = fill(zones, maxPerZone, total);
			double price = plan.price(prices);
			if (price < bestPrice) {
				best = plan;
				bestPrice = price;
			}
		}
		if (best.total() > 0) {
			return best;
		}
		// With one zone, or a low maximum, no plan survives whole.
		int total = (zones.size() == 1) ? Math.min(target, maximum) : maximum;
		return fill(zones, (total + zones.size() - 1) / zones.size(), total);
	}

	int countIn(String zone) {
		return this.counts.getOrDefault(zone, 0);
	}

	private static SpreadPlan fill(List<String> zones, int maxPerZone, int total) {
		Map<String, Integer> counts = new TreeMap<>();
		int remaining = total;
		for (String zone : zones) {
			int count = Math.min(maxPerZone, remaining);
			if (count > 0) {
				counts.put(zone, count);
			}
			remaining -= count;
		}
		return new SpreadPlan(counts, total, total - Math.min(maxPerZone, total));
	}

	private double price(Map<String, Double> prices) {
		double price = 0;
		for (Map.Entry<String, Integer> entry : this.counts.entrySet()) {
			price += entry.getValue() * prices.getOrDefault(entry.getKey(), 0.0);
		}
		return price;
	}

}
