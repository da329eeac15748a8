package org.rosemaryfront.report;

import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

import org.rosemaryfront.report.CallHistory.Ending;

/**
 * Counts of calls by ending and by reason.
 */
final class CallTally {

	private final Map<Ending, Integer> endings = new EnumMap<>(Ending.class);

	/** Refused and failed calls by reason. */
	private final Map<String, Integer> reasons = new TreeMap<>();

	/**
	 * Counts calls grouped by a property.
	 * @param <K> the type of the property
	 * @param calls the calls
	 * @param key the function that returns the property of a call
	 * @return a tally for each value of the property, in the order of the values
	 */
	static <K extends Comparable<K>> Map<K, CallTally> by(Collection<CallHistory> calls, Function<CallHistory, K> key) {
		Map<K, CallTally> tallies = new TreeMap<>();
		calls.forEach((call) -> tallies.computeIfAbsent(key.apply(call), (_) -> new CallTally()).add(call));
		return tallies;
	}

	/**
	 * Counts calls.
	 * @param calls the calls
	 * @return the tally
	 */
	static CallTally of(Collection<CallHistory> calls) {
		CallTally tally = new CallTally();
		calls.forEach(tally::add);
		return tally;
	}

	private void add(CallHistory call) {
		this.endings.merge(call.ending(), 1, Integer::sum);
		if (!call.reason().isEmpty()) {
			this.reasons.merge(call.reason(), 1, Integer::sum);
		}
	}

	int count(Ending ending) {
		return this.endings.getOrDefault(ending, 0);
	}

	int total() {
		return this.endings.values().stream().mapToInt(Integer::intValue).sum();
	}

	Map<String, Integer> reasons() {
		return this.reasons;
	}

}
