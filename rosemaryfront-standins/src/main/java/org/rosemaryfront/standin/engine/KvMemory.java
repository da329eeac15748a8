package org.rosemaryfront.standin.engine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The KV memory of an engine, in blocks: prompt blocks that any stream may share, kept
 * after use and evicted least recently used first, and blocks reserved by one stream.
 */
final class KvMemory {

	private final Map<Long, Integer> users = new HashMap<>();

	private final LinkedHashSet<Long> idle = new LinkedHashSet<>();

	private final Set<Long> computed = new HashSet<>();

	private final int capacity;

	private final CacheEventLog events;

	private int reserved;

	KvMemory(int capacity, CacheEventLog events) {
		this.capacity = capacity;
		this.events = events;
	}

	// -- queries

	int capacity() {
		return this.capacity;
	}

	boolean computedBefore(long block) {
		return this.computed.contains(block);
	}

	boolean contains(long block) {
		return this.users.containsKey(block);
	}

	int prefix(List<Long> blocks) {
		int found = 0;
		while (found < blocks.size() && contains(blocks.get(found))) {
			found++;
		}
		return found;
	}

	int used() {
		return this.users.size() + this.reserved;
	}

	// -- changes

	// Takes blocks for one stream, evicting idle ones; takes none if they do not fit.
	boolean reserve(long now, int blocks) {
		if (used() - this.idle.size() + blocks > this.capacity) {
			return false;
		}
		while (used() + blocks > this.capacity) {
			evict(now);
		}
		this.reserved += blocks;
		return true;
	}

	void unreserve(int blocks) {
		this.reserved -= blocks;
	}

	// Makes a stream a user of a block that the memory has.
	void use(long block) {
		this.users.merge(block, 1, Integer::sum);
		this.idle.remove(block);
	}

	// Turns one reserved block into a shared one that the stream uses.
	void compute(long now, long block) {
		this.reserved--;
		this.computed.add(block);
		if (!contains(block)) {
			this.events.record(now, block, true);
		}
		use(block);
	}

	// Ends the use of blocks; the last block of the prompt becomes the least recently
	// used, since a block is worth nothing without those before it.
	void release(List<Long> blocks) {
		for (Long block : blocks.reversed()) {
			int left = this.users.merge(block, -1, Integer::sum);
			if (left == 0) {
				this.idle.add(block);
			}
		}
	}

	private void evict(long now) {
		Iterator<Long> oldest = this.idle.iterator();
		Long block = oldest.next();
		oldest.remove();
		this.users.remove(block);
		this.events.record(now, block, false);
	}

}
