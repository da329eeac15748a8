package org.rosemaryfront.capacity;

/** An offer and the back-off after its refusals. */
final class OfferRow {

	Offer offer;

	/** Refusals since the last start. */
	int refusals;

	long blockedUntilNanos;

	/** Purchases of this sort under way. */
	int openPurchases;

	OfferRow(Offer offer) {
		this.offer = offer;
	}

	// Whether a VM may be asked for. After a refusal one purchase at a time probes the
	// offer: many at once would be a storm of starts on a cloud that has none.
	boolean isAvailable(long nowNanos) {
		return (this.refusals == 0) || (nowNanos - this.blockedUntilNanos >= 0 && this.openPurchases == 0);
	}

	// The price for an hour, with what its reclaims cost.
	double effectivePrice(double reclaimCostHours) {
		return this.offer.pricePerHour() * (1 + this.offer.reclaimsPerHour() * reclaimCostHours);
	}

}
