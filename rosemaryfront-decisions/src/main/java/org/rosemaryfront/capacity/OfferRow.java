package org.rosemaryfront.capacity;

/** An offer with its back-off after refused starts. */
final class OfferRow {

	Offer offer;

	/** Refused starts since the last successful one. */
	int refusals;

	long blockedUntilNanos;

	/** Open purchases of this VM type. */
	int openPurchases;

	OfferRow(Offer offer) {
		this.offer = offer;
	}

	// Returns whether a VM may be bought. After a refusal only one purchase at a time
	// probes the offer: concurrent ones would flood a cloud without capacity with start
	// requests.
	boolean isAvailable(long nowNanos) {
		return (this.refusals == 0) || (nowNanos - this.blockedUntilNanos >= 0 && this.openPurchases == 0);
	}

	// Returns the price per hour, including the expected cost of reclaims.
	double effectivePrice(double reclaimCostHours) {
		return this.offer.pricePerHour() * (1 + this.offer.reclaimsPerHour() * reclaimCostHours);
	}

}
