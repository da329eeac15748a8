package org.rosemaryfront.serving;

import java.util.HashMap;
import java.util.Map;

import org.rosemaryfront.model.Resource.Organisation;

/**
 * The usage of the organisations' shares over all entry processes: the tokens in flight
 * of this process and those from the digests of its peers.
 */
final class FairShares {

	/**
	 * The number of standard deviations by which an organisation may exceed its slots:
	 * with random arrivals the number of slots in use varies by about the square root of
	 * its mean.
	 */
	private static final double TOLERANCE_DEVIATIONS = 2;

	private final Map<String, Long> localTokens = new HashMap<>();

	private Map<String, Long> peerTokens = Map.of();

	private Map<String, Double> weights = Map.of();

	private double weightSum;

	// -- changes

	void applyOrganisations(Iterable<Organisation> organisations) {
		Map<String, Double> weightsByName = new HashMap<>();
		organisations
			.forEach((organisation) -> weightsByName.put(organisation.name(), Math.max(1e-3, organisation.share())));
		this.weights = weightsByName;
		this.weightSum = weightsByName.values().stream().mapToDouble(Double::doubleValue).sum();
	}

	void applyPeerReport(Map<String, Long> tokens) {
		this.peerTokens = Map.copyOf(tokens);
	}

	void add(Request request) {
		this.localTokens.merge(request.spec.organisation(), request.chargedTokens(), Long::sum);
	}

	void remove(Request request) {
		this.localTokens.computeIfPresent(request.spec.organisation(), (_, tokens) -> {
			long remaining = tokens - request.chargedTokens();
			return (remaining > 0) ? remaining : null;
		});
	}

	// -- queries

	Map<String, Long> localTokens() {
		return Map.copyOf(this.localTokens);
	}

	// Whether an organisation uses clearly more than its share of all slots.
	boolean exceedsShare(String organisation, double slots) {
		double fraction = weight(organisation) / Math.max(this.weightSum, weight(organisation));
		double fairSlots = fraction * slots;
		return totalTokens(organisation) / Request.SLOT_TOKENS > fairSlots
				+ TOLERANCE_DEVIATIONS * Math.sqrt(fairSlots);
	}

	private double totalTokens(String organisation) {
		return (double) this.localTokens.getOrDefault(organisation, 0L)
				+ this.peerTokens.getOrDefault(organisation, 0L);
	}

	private double weight(String organisation) {
		return this.weights.getOrDefault(organisation, 1.0);
	}

}
