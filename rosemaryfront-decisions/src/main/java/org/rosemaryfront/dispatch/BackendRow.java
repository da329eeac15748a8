package org.rosemaryfront.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/** A backend server with what this process knows of its load. */
final class BackendRow {

	BackendServer server;

	/** Calls of this process that wait for an answer or run there. */
	int own;

	/** Calls of other processes there, by process, as last told. */
	final Map<String, Integer> others = new HashMap<>();

	/** When it is dropped unless it registers again; empty while it is registered. */
	OptionalLong dropAtNanos = OptionalLong.empty();

	/** No new calls before this time unless no other server is left, after failures. */
	OptionalLong avoidUntilNanos = OptionalLong.empty();

	/** Failures since the last good answer. */
	int failures;

	BackendRow(BackendServer server) {
		this.server = server;
	}

	int load() {
		int sum = this.own;
		for (int other : this.others.values()) {
			sum += other;
		}
		return sum;
	}

	boolean avoided(long nowNanos) {
		return this.avoidUntilNanos.isPresent() && nowNanos - this.avoidUntilNanos.getAsLong() < 0;
	}

}
