package org.rosemaryfront.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;

/**
 * Queue of changes that are still sent to other members, with the number of transmissions
 * of each. The least transmitted changes are sent first, so a burst of changes does not
 * delay a new one.
 *
 * @param <K> the type of the key that identifies a change
 */
final class BroadcastQueue<K> {

	private final List<LinkedHashSet<K>> byTransmissions = new ArrayList<>();

	private final Map<K, Integer> transmissions = new HashMap<>();

	/**
	 * Adds a change, or resets its transmissions if it is queued already.
	 * @param key the change
	 * @param initialTransmissions the initial number of transmissions; above 0 for a
	 * change that also reaches the other members in other ways
	 */
	void add(K key, int initialTransmissions) {
		remove(key);
		put(key, Math.max(0, initialTransmissions));
	}

	/**
	 * Chooses changes for one datagram and counts them as sent.
	 * @param limit the maximum number of changes
	 * @param limitPerChange the number of transmissions after which a change is removed
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
