package org.rosemaryfront.capacity;

import java.util.Objects;

/**
 * A VM type that the cloud sells.
 *
 * @param zone the availability zone
 * @param machineClass the machine class
 * @param market the market on which it is sold
 */
public record OfferKey(String zone, String machineClass, Market market) implements Comparable<OfferKey> {

	public OfferKey {
		Objects.requireNonNull(zone, "zone is null");
		Objects.requireNonNull(machineClass, "machineClass is null");
		Objects.requireNonNull(market, "market is null");
	}

	@Override
	public int compareTo(OfferKey other) {
		int byZone = this.zone.compareTo(other.zone);
		int byClass = this.machineClass.compareTo(other.machineClass);
		return (byZone != 0) ? byZone : (byClass != 0) ? byClass : this.market.compareTo(other.market);
	}

	@Override
	public String toString() {
		return this.zone + "/" + this.machineClass + "/" + this.market;
	}

}
