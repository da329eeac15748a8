package org.rosemaryfront.standin.platform;

import java.util.Objects;
import java.util.stream.Stream;

import org.rosemaryfront.platform.CloudClient.Market;
import org.rosemaryfront.platform.CloudClient.Offer;

/**
 * A spare machine that the cloud can sell as a VM.
 *
 * @param address the address of the stand-in that plays the machine, {@code host:port}
 * @param role {@code runner} or {@code service}
 * @param zone its availability zone
 * @param machineClass its machine class
 */
public record SlotOffer(String address, String role, String zone, String machineClass) {

	/** The standard price of a VM that may be reclaimed, for an hour. */
	public static final double RECLAIMABLE_PRICE = 0.35;

	/** The standard price of an on-demand VM, for an hour. */
	public static final double ON_DEMAND_PRICE = 1.0;

	/** The standard reclaims an hour of a VM that may be reclaimed. */
	public static final double RECLAIMS_PER_HOUR = 0.05;

	public SlotOffer {
		Objects.requireNonNull(address, "address is null");
		Objects.requireNonNull(role, "role is null");
		Objects.requireNonNull(zone, "zone is null");
		Objects.requireNonNull(machineClass, "machineClass is null");
		if (!role.equals("runner") && !role.equals("service")) {
			throw new IllegalArgumentException("role is " + role + ", must be runner or service");
		}
	}

	Stream<Offer> standardOffers() {
		return Stream.of(
				new Offer(this.zone, this.machineClass, Market.RECLAIMABLE, RECLAIMABLE_PRICE, RECLAIMS_PER_HOUR),
				new Offer(this.zone, this.machineClass, Market.ON_DEMAND, ON_DEMAND_PRICE, 0));
	}

}
