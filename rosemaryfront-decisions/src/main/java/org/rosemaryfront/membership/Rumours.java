package org.rosemaryfront.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/**
 * The table of changes that are still passed on, with how often each was sent. Those sent
 * least go first, so that a new change is not held back by a wave of others.
 *
 * @param <K> what identifies a change
 */
final class Rumours<K> {

	private final List<LinkedHashSet<K>> bySent = new ArrayList<>();

	private final Map<K, Integer> sent = new HashMap<>();

	/**
	 * Passes a change on from now on.
	 * @param key the change
	 * @param sentBefore how often it counts as sent already; more for what reaches the
	 * others in other ways too
	 */
	void add(K key, int sentBefore) {
		remove(key);
		put(key, Math.max(0, sentBefore));
	}

	/**
	 * Chooses changes for one datagram and counts them as sent.
	 * @param limit how many at most
	 * @param retransmissions how often a change is sent before it is dropped
	 * @return the changes
	 */
	List<K> take(int limit, int retransmissions) {
		List<K> chosen = new ArrayList<>();
		for (LinkedHashSet<K> bucket : this.bySent) {
			Iterator<K> keys = bucket.iterator();
			while (keys.hasNext() && chosen.size() < limit) {
				chosen.add(keys.next());
			}
		}
		for (K key : chosen) {
			int times = remove(key) + 1;
			if (times < retransmissions) {
				put(key, times);
			}
		}
		return chosen;
	}

	private void put(K key, int times) {
		while (this.bySent.size() <= times) {
			this.bySent.add(new LinkedHashSet<>());
		}
		this.sent.put(key, times);
		this.bySent.get(times).add(key);
	}

	private int remove(K key) {
		Integer times = this.sent.remove(key);
		if (times == null) {
			return 0;
		}
		this.bySent.get(times).remove(key);
		return times;
	}

}
