package org.rosemaryfront.membership;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Tokens in flight at other members, from the digests that they sent.
 *
 * <p>
 * In a large region only some members have sent a digest recently. The load balancer
 * spreads callers evenly, so the sum over these members is scaled up to all members.
 */
final class UsageTable {

	private final Map<MemberId, Digest> digests = new TreeMap<>();

	private Map<String, Long> own = Map.of();

	// -- changes

	void setOwn(Map<String, Long> tokensInFlight) {
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
	 * Returns the digest that this member sends.
	 * @param organisations the maximum number of organisations, those with the most
	 * tokens first
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
	 * Estimates the tokens in flight at all other entry processes.
	 * @param others the number of other entry processes
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
