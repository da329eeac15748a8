package org.rosemaryfront.standin.platform;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.rosemaryfront.platform.CloudClient.Market;
import org.rosemaryfront.platform.CloudClient.Offer;
import org.rosemaryfront.platform.CloudClient.Vm;
import org.rosemaryfront.standin.platform.PlatformStats.Cost;

/**
 * Adds up the time that VMs were held, by availability zone, machine class and market.
 */
final class CostLedger {

	private static final double MILLIS_AN_HOUR = 3_600_000;

	private final Map<Sort, Long> heldMillis = new TreeMap<>();

	/**
	 * Adds the time that a VM was held.
	 * @param vm the VM
	 * @param millis the time, in milliseconds
	 */
	void add(Vm vm, long millis) {
		this.heldMillis.merge(new Sort(vm.zone(), vm.machineClass(), vm.market()), millis, Long::sum);
	}

	/**
	 * The same sums in another ledger.
	 * @return the copy
	 */
	CostLedger copy() {
		CostLedger copy = new CostLedger();
		copy.heldMillis.putAll(this.heldMillis);
		return copy;
	}

	/**
	 * What the time costs.
	 * @param offers the prices; a sort without one costs nothing
	 * @return the costs in the order of their sorts
	 */
	List<Cost> costs(List<Offer> offers) {
		return this.heldMillis.entrySet().stream().map((held) -> {
			double hours = held.getValue() / MILLIS_AN_HOUR;
			Sort sort = held.getKey();
			double price = offers.stream()
				.filter((offer) -> offer.zone().equals(sort.zone) && offer.machineClass().equals(sort.machineClass)
						&& offer.market() == sort.market)
				.findFirst()
				.map(Offer::pricePerHour)
				.orElse(0.0);
			return new Cost(sort.zone, sort.machineClass, sort.market, hours, hours * price);
		}).toList();
	}

	private record Sort(String zone, String machineClass, Market market) implements Comparable<Sort> {

		@Override
		public int compareTo(Sort other) {
			int byZone = this.zone.compareTo(other.zone);
			int byClass = this.machineClass.compareTo(other.machineClass);
			return (byZone != 0) ? byZone : (byClass != 0) ? byClass : this.market.compareTo(other.market);
		}

	}

}
