package org.rosemaryfront.dispatch;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.rosemaryfront.dispatch.PromptPrefix.Segment;

/**
 * The most recently used prompt segments, which a server is assumed to have in its KV
 * cache.
 */
final class SegmentCache {

	/** The fraction of an engine's KV cache that is assumed to hold shared segments. */
	private static final double SHARED_FRACTION = 0.5;

	/** The maximum number of segments, whatever the capacity of the engine. */
	private static final int MAX_SEGMENTS = 4_096;

	private final LinkedHashMap<Long, Integer> segments = new LinkedHashMap<>(16, 0.75f, true);

	private long tokens;

	/**
	 * Records that the server has prefilled a segment.
	 * @param segment the segment
	 * @param cacheCapacityTokens the capacity of the server's KV cache, in tokens
	 * @return true if the segment was not recorded before
	 */
	boolean add(Segment segment, long cacheCapacityTokens) {
		boolean present = this.segments.put(segment.prefixHash(), segment.tokens()) != null;
		if (!present) {
			this.tokens += segment.tokens();
			evictBeyond((long) (cacheCapacityTokens * SHARED_FRACTION));
		}
		return !present;
	}

	private void evictBeyond(long maxTokens) {
		Iterator<Map.Entry<Long, Integer>> eldest = this.segments.entrySet().iterator();
		while ((this.tokens > maxTokens || this.segments.size() > MAX_SEGMENTS) && this.segments.size() > 1) {
			this.tokens -= eldest.next().getValue();
			eldest.remove();
		}
	}

	/**
	 * Returns how much of a prompt prefix is cached.
	 * @param prefix the prompt prefix
	 * @return the number of tokens before the first segment that is not cached
	 */
	int cachedTokens(PromptPrefix prefix) {
		int cached = 0;
		for (Segment segment : prefix.segments()) {
			if (!this.segments.containsKey(segment.prefixHash())) {
				return cached;
			}
			cached += segment.tokens();
		}
		return cached;
	}

}
