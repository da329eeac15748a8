package org.rosemaryfront.capacity;

import java.util.Objects;

/**
 * What VMs of one sort cost.
 *
 * @param key the sort
 * @param pricePerHour the price of one VM for an hour
 * @param reclaimsPerHour the share of VMs that are reclaimed an hour
 */
public record Offer(OfferKey key, double pricePerHour, double reclaimsPerHour) {

	public Offer {
		Objects.requireNonNull(key, "key is null");
	}

}
