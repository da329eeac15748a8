package org.rosemaryfront.membership;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The table of what members have in flight, from the digests that they sent themselves.
 *
 * <p>
 * At many members only some were heard lately. The balancer spreads callers evenly, so
 * that those heard stand for the others: the sum is scaled to all.
 */
final class UsageTable {

	private final Map<MemberId, Digest> digests = new TreeMap<>();

	private Map<String, Long> own = Map.of();

	// -- changes

	void own(Map<String, Long> tokensInFlight) {
		this.own = tokensInFlight;
	}

	void digestReceived(MemberId member, Map<String, Long> tokensInFlight, long nowNanos) {
		this.digests.put(member, new Digest(tokensInFlight, nowNanos));
	}

	void discard(MemberId member) {
		this.digests.remove(member);
	}

	void discard(long nowNanos) {
		this.digests.values()
			.removeIf((digest) -> nowNanos - digest.receivedAt() > MembershipSettings.USAGE_RETENTION_NANOS);
	}

	// -- queries

	/**
	 * The digest that this member sends.
	 * @param organisations how many organisations at most, those with the most first
	 * @return tokens in flight by organisation
	 */
	Map<String, Long> digest(int organisations) {
		if (this.own.size() <= organisations) {
			return this.own;
		}
		return this.own.entrySet()
			.stream()
			.sorted(Map.Entry.<String, Long>comparingByValue(Comparator.reverseOrder())
				.thenComparing(Map.Entry.comparingByKey()))
			.limit(organisations)
			.collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
	}

	/**
	 * What all other members of a role have in flight.
	 * @param others how many there are
	 * @return tokens in flight by organisation
	 */
	Map<String, Long> estimate(int others) {
		Map<String, Long> sum = new LinkedHashMap<>();
		int reporting = 0;
		for (Map.Entry<MemberId, Digest> entry : this.digests.entrySet()) {
			if (entry.getKey().role().equals(MemberId.ENTRY)) {
				reporting++;
				entry.getValue().tokensInFlight().forEach((name, tokens) -> sum.merge(name, tokens, Long::sum));
			}
		}
		double scale = (reporting > 0) ? Math.max(1.0, (double) others / reporting) : 1.0;
		sum.replaceAll((_, tokens) -> Math.round(tokens * scale));
		return sum;
	}

	private record Digest(Map<String, Long> tokensInFlight, long receivedAt) {
	}

}
