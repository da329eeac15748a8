package org.rosemaryfront.serving;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The servers of a pool on a consistent-hash ring. All entry processes find the same
 * servers after a key, and the removal of a server changes the result only for the keys
 * that it served. The cost of a lookup hardly depends on the number of servers.
 */
final class HashRing {

	/**
	 * The virtual nodes per server; more of them distribute keys more evenly but enlarge
	 * the ring.
	 */
	private static final int VIRTUAL_NODES = 32;

	private final long[] positions;

	private final Server[] owners;

	private HashRing(long[] positions, Server[] owners) {
		this.positions = positions;
		this.owners = owners;
	}

	static HashRing of(List<Server> servers) {
		long[] sortedPositions = new long[servers.size() * VIRTUAL_NODES];
		Map<Long, Server> serversByPosition = new HashMap<>(2 * sortedPositions.length);
		int count = 0;
		for (Server server : servers) {
			for (int i = 0; i < VIRTUAL_NODES; i++) {
				long position = mix(server.hash + i * 0x9e3779b97f4a7c15L);
				sortedPositions[count++] = position;
				serversByPosition.put(position, server);
			}
		}
		Arrays.sort(sortedPositions);
		Server[] owners = new Server[count];
		for (int i = 0; i < count; i++) {
			owners[i] = serversByPosition.get(sortedPositions[i]);
		}
		return new HashRing(sortedPositions, owners);
	}

	// Fills the array with the first distinct servers after the key and returns their
	// number.
	int findSuccessors(long key, Server[] found) {
		int start = Arrays.binarySearch(this.positions, key);
		int position = (start < 0) ? -start - 1 : start;
		int count = 0;
		for (int i = 0; i < this.owners.length && count < found.length; i++) {
			Server owner = this.owners[(position + i) % this.owners.length];
			if (!contains(found, count, owner)) {
				found[count++] = owner;
			}
		}
		return count;
	}

	private static boolean contains(Server[] found, int count, Server server) {
		for (int i = 0; i < count; i++) {
			if (found[i] == server) {
				return true;
			}
		}
		return false;
	}

	// The finaliser of SplitMix64 (Steele, Lea, Flood, 2014).
	static long mix(long value) {
		long hash = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
		hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
		return hash ^ (hash >>> 31);
	}

}
