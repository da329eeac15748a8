package org.rosemaryfront.serving;

import java.util.HashMap;
import java.util.Map;

import org.rosemaryfront.model.Resource.Organisation;

/**
 * The usage of the organisations' shares over all entry processes: the tokens in flight
 * of this process and those from the digests of its peers.
 */
final class Shares {

	/**
	 * The number of standard deviations by which an organisation may exceed its slots:
	 * with random arrivals the number of slots in use varies by about the square root of
	 * its mean.
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

	// Whether an organisation uses clearly more than its share of all slots.
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
