package org.rosemaryfront.dispatch;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.rosemaryfront.dispatch.SharedParts.Part;

/**
 * The shared parts that a server is taken to have in its cache, the ones used last.
 */
final class PartCache {

	/** The part of an engine's memory that shared parts are taken to keep. */
	private static final double SHARE = 0.5;

	/** Parts known at most, whatever an engine's memory holds. */
	private static final int MOST_PARTS = 4_096;

	private final LinkedHashMap<Long, Integer> parts = new LinkedHashMap<>(16, 0.75f, true);

	private long tokens;

	/**
	 * Notes that the server has read a part.
	 * @param part the part
	 * @param memoryTokens what the server's memory holds, in tokens
	 * @return whether it was not known
	 */
	boolean add(Part part, long memoryTokens) {
		boolean known = this.parts.put(part.chain(), part.tokens()) != null;
		if (!known) {
			this.tokens += part.tokens();
			forgetBeyond((long) (memoryTokens * SHARE));
		}
		return !known;
	}

	private void forgetBeyond(long most) {
		Iterator<Map.Entry<Long, Integer>> eldest = this.parts.entrySet().iterator();
		while ((this.tokens > most || this.parts.size() > MOST_PARTS) && this.parts.size() > 1) {
			this.tokens -= eldest.next().getValue();
			eldest.remove();
		}
	}

	/**
	 * What of a chain the server need not read.
	 * @param shared the chain
	 * @return the tokens of its parts up to the first one that is not known
	 */
	int held(SharedParts shared) {
		int held = 0;
		for (Part part : shared.parts()) {
			if (!this.parts.containsKey(part.chain())) {
				return held;
			}
			held += part.tokens();
		}
		return held;
	}

}
