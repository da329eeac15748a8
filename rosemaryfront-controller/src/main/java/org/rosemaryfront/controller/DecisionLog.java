package org.rosemaryfront.controller;

import java.util.ArrayDeque;
import java.util.List;

/** The last decisions, for the status page. */
final class DecisionLog {

	private static final int KEPT = 50;

	private final ArrayDeque<String> last = new ArrayDeque<>();

	synchronized void add(String decision) {
		if (this.last.size() == KEPT) {
			this.last.removeFirst();
		}
		this.last.addLast(decision);
	}

	synchronized List<String> last() {
		return List.copyOf(this.last);
	}

}
