package org.rosemaryfront.entry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.rosemaryfront.model.RequestId;

/**
 * Remembers the last decisions on the last requests, for operators that ask why.
 */
final class DecisionRing {

	private static final int DECISIONS_PER_REQUEST = 32;

	private final int requests;

	private final Map<RequestId, Deque<String>> decisions = new LinkedHashMap<>();

	private DecisionRing(int requests) {
		this.requests = requests;
	}

	/**
	 * A ring without decisions.
	 * @param requests the number of requests remembered
	 * @return the ring
	 */
	static DecisionRing of(int requests) {
		return new DecisionRing(requests);
	}

	/**
	 * Adds a decision; the oldest request is forgotten when there are too many.
	 * @param request the request
	 * @param decision one line
	 */
	synchronized void add(RequestId request, String decision) {
		Deque<String> lines = this.decisions.computeIfAbsent(request, (_) -> new ArrayDeque<>());
		if (lines.size() == DECISIONS_PER_REQUEST) {
			lines.removeFirst();
		}
		lines.addLast(decision);
		if (this.decisions.size() > this.requests) {
			this.decisions.remove(this.decisions.keySet().iterator().next());
		}
	}

	/**
	 * The decisions on a request.
	 * @param request the request
	 * @return one line each, oldest first
	 */
	synchronized List<String> explain(RequestId request) {
		return List.copyOf(this.decisions.getOrDefault(request, new ArrayDeque<>()));
	}

}
