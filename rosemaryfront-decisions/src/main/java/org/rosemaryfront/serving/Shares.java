package org.rosemaryfront.serving;

import java.util.HashMap;
import java.util.Map;

import org.rosemaryfront.model.Resource.Organisation;

/**
 * What organisations use of their shares, over all entry processes: own tokens in flight
 * and those of the peers' digests.
 */
final class Shares {

	/**
	 * Standard deviations that an organisation may be over its slots: with random
	 * arrivals the slots in use vary by about the square root of their mean.
	 */
	private static final double TOLERANCE = 2;

	private final Map<String, Long> own = new HashMap<>();

	private Map<String, Long> peers = Map.of();

	private Map<String, Double> weights = Map.of();

	private double weightSum;

	// -- changes

	void configured(Iterable<Organisation> organisations) {
		Map<String, Double> next = new HashMap<>();
		organisations.forEach((organisation) -> next.put(organisation.name(), Math.max(1e-3, organisation.share())));
		this.weights = next;
		this.weightSum = next.values().stream().mapToDouble(Double::doubleValue).sum();
	}

	void reported(Map<String, Long> tokens) {
		this.peers = Map.copyOf(tokens);
	}

	void add(Request request) {
		this.own.merge(request.spec.organisation(), request.weightTokens(), Long::sum);
	}

	void remove(Request request) {
		this.own.computeIfPresent(request.spec.organisation(), (_, tokens) -> {
			long left = tokens - request.weightTokens();
			return (left > 0) ? left : null;
		});
	}

	// -- queries

	Map<String, Long> own() {
		return Map.copyOf(this.own);
	}

	// Whether an organisation holds clearly more than its part of all slots.
	boolean over(String organisation, double slots) {
		double part = weight(organisation) / Math.max(this.weightSum, weight(organisation));
		double own = part * slots;
		return tokens(organisation) / Request.SLOT_TOKENS > own + TOLERANCE * Math.sqrt(own);
	}

	private double tokens(String organisation) {
		return (double) this.own.getOrDefault(organisation, 0L) + this.peers.getOrDefault(organisation, 0L);
	}

	private double weight(String organisation) {
		return this.weights.getOrDefault(organisation, 1.0);
	}

}
