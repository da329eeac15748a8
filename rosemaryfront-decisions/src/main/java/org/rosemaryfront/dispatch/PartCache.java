package org.rosemaryfront.dispatch;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.rosemaryfront.dispatch.SharedParts.Part;

/**
 * The most recently used prompt segments, which a server is assumed to have in its KV
 * cache.
 */
final class PartCache {

	/** The fraction of an engine's KV cache that is assumed to hold shared segments. */
	private static final double SHARED_FRACTION = 0.5;

	/** The maximum number of segments, whatever the capacity of the engine. */
	private static final int MAX_SEGMENTS = 4_096;

	private final LinkedHashMap<Long, Integer> segments = new LinkedHashMap<>(16, 0.75f, true);

	private long tokens;

	/**
	 * Records that the server has prefilled a segment.
	 * @param part the segment
	 * @param memoryTokens the capacity of the server's KV cache, in tokens
	 * @return true if the segment was not recorded before
	 */
	boolean add(Part part, long memoryTokens) {
		boolean known = this.segments.put(part.chain(), part.tokens()) != null;
		if (!known) {
			this.tokens += part.tokens();
			evictBeyond((long) (memoryTokens * SHARED_FRACTION));
		}
		return !known;
	}

	private void evictBeyond(long most) {
		Iterator<Map.Entry<Long, Integer>> eldest = this.segments.entrySet().iterator();
		while ((this.tokens > most || this.segments.size() > MAX_SEGMENTS) && this.segments.size() > 1) {
			this.tokens -= eldest.next().getValue();
			eldest.remove();
		}
	}

	/**
	 * Returns how much of a prompt prefix is cached.
	 * @param shared the prompt prefix
	 * @return the number of tokens before the first segment that is not cached
	 */
	int cachedTokens(SharedParts shared) {
		int held = 0;
		for (Part part : shared.parts()) {
			if (!this.segments.containsKey(part.chain())) {
				return held;
			}
			held += part.tokens();
		}
		return held;
	}

}
