package org.rosemaryfront.capacity;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The number of VMs of a pool in each availability zone, at the lowest price at which the
 * loss of any one zone leaves the target.
 *
 * <p>
 * For each maximum m of VMs per zone, target + m VMs with at most m in a zone leave the
 * target after the loss of any zone. Filling the cheapest zones first gives the lowest
 * price for that m, and the m with the lowest price is chosen. If the pool's maximum is
 * too low for this, the allowed VMs are spread as evenly as possible, and
 * {@link #survives} is the number left after a loss.
 *
 * @param counts the number of VMs by zone
 * @param total the total number of VMs
 * @param survives the number of VMs left after the loss of the zone that has the most
 */
record SpreadPlan(Map<String, Integer> counts, int total, int survives) {

	static SpreadPlan empty() {
		return new SpreadPlan(Map.of(), 0, 0);
	}

	/**
	 * Computes the plan with the lowest price.
	 * @param zones the zones, cheapest first
	 * @param prices the price of a VM in each zone
	 * @param target the number of VMs that must be left after the loss of a zone
	 * @param maximum the maximum number of VMs
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
		// With one zone or a low maximum, no plan leaves the target after a loss.
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
