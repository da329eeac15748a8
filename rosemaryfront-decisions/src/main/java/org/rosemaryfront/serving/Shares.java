package org.rosemaryfront.serving;

import java.util.HashMap;
import java.util.Map;

import org.rosemaryfront.model.Resource.Organisation;

/**
 * What organisations use of their shares, over all entry processes: own tokens in flight
 * and those of the peers' digests.
 */
final class Shares {

	/** The part of all use that an organisation may be over its own, since use varies. */
	private static final double TOLERANCE = 0.1;

	private final Map<String, Long> own = new HashMap<>();

	private Map<String, Long> peers = Map.of();

	private Map<String, Double> weights = Map.of();

	// -- changes

	void configured(Iterable<Organisation> organisations) {
		Map<String, Double> next = new HashMap<>();
		organisations.forEach((organisation) -> next.put(organisation.name(), Math.max(1e-3, organisation.share())));
		this.weights = next;
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

	// Tokens in flight for each unit of share.
	double used(String organisation) {
		return tokens(organisation) / weight(organisation);
	}

	// Whether an organisation uses clearly more than its part of what all organisations
	// use
	// that have work.
	boolean over(String organisation) {
		double tokens = 0;
		double weight = 0;
		for (String name : this.weights.keySet()) {
			double used = tokens(name);
			if (used > 0 || name.equals(organisation)) {
				tokens += used;
				weight += weight(name);
			}
		}
		return tokens > 0 && tokens(organisation) / tokens > weight(organisation) / weight + TOLERANCE;
	}

	private double tokens(String organisation) {
		return (double) this.own.getOrDefault(organisation, 0L) + this.peers.getOrDefault(organisation, 0L);
	}

	private double weight(String organisation) {
		return this.weights.getOrDefault(organisation, 1.0);
	}

}
