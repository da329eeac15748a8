package org.rosemaryfront.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The table of changes that are still passed on, with how often each was sent. Those sent
 * least go first, so that a new change is not held back by a wave of others.
 *
 * @param <K> what identifies a change
 */
final class Rumours<K> {

	private final Map<K, Integer> sent = new LinkedHashMap<>();

	/**
	 * Passes a change on from now on.
	 * @param key the change
	 */
	void add(K key) {
		this.sent.remove(key);
		this.sent.put(key, 0);
	}

	/**
	 * Chooses changes for one datagram and counts them as sent.
	 * @param limit how many at most
	 * @param retransmissions how often a change is sent before it is dropped
	 * @return the changes
	 */
	List<K> take(int limit, int retransmissions) {
		if (this.sent.isEmpty()) {
			return List.of();
		}
		List<Map.Entry<K, Integer>> entries = new ArrayList<>(this.sent.entrySet());
		entries.sort(Map.Entry.comparingByValue());
		List<K> chosen = new ArrayList<>(limit);
		for (Map.Entry<K, Integer> entry : entries.subList(0, Math.min(limit, entries.size()))) {
			chosen.add(entry.getKey());
			count(entry.getKey(), entry.getValue() + 1, retransmissions);
		}
		return chosen;
	}

	private void count(K key, int times, int retransmissions) {
		if (times >= retransmissions) {
			this.sent.remove(key);
		}
		else {
			this.sent.put(key, times);
		}
	}

}
