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
final class BroadcastQueue<K> {

	private final List<LinkedHashSet<K>> byTransmissions = new ArrayList<>();

	private final Map<K, Integer> transmissions = new HashMap<>();

	/**
	 * Passes a change on from now on.
	 * @param key the change
	 * @param initialTransmissions how often it counts as sent already; more for what
	 * reaches the others in other ways too
	 */
	void add(K key, int initialTransmissions) {
		remove(key);
		put(key, Math.max(0, initialTransmissions));
	}

	/**
	 * Chooses changes for one datagram and counts them as sent.
	 * @param limit how many at most
	 * @param limitPerChange how often a change is sent before it is dropped
	 * @return the changes
	 */
	List<K> take(int limit, int limitPerChange) {
		List<K> chosen = new ArrayList<>();
		for (LinkedHashSet<K> bucket : this.byTransmissions) {
			Iterator<K> keys = bucket.iterator();
			while (keys.hasNext() && chosen.size() < limit) {
				chosen.add(keys.next());
			}
		}
		for (K key : chosen) {
			int times = remove(key) + 1;
			if (times < limitPerChange) {
				put(key, times);
			}
		}
		return chosen;
	}

	private void put(K key, int times) {
		while (this.byTransmissions.size() <= times) {
			this.byTransmissions.add(new LinkedHashSet<>());
		}
		this.transmissions.put(key, times);
		this.byTransmissions.get(times).add(key);
	}

	private int remove(K key) {
		Integer times = this.transmissions.remove(key);
		if (times == null) {
			return 0;
		}
		this.byTransmissions.get(times).remove(key);
		return times;
	}

}
