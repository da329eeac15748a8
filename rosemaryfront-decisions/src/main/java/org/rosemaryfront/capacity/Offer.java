package org.rosemaryfront.capacity;

import java.util.Objects;

/**
 * The price and the reclaim rate of a VM type.
 *
 * @param key the VM type
 * @param pricePerHour the price of one VM per hour
 * @param reclaimsPerHour the fraction of VMs that are reclaimed per hour
 */
public record Offer(OfferKey key, double pricePerHour, double reclaimsPerHour) {

	public Offer {
		Objects.requireNonNull(key, "key is null");
	}

}
