package org.rosemaryfront.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/** A backend server with what this process knows of its load. */
final class BackendRow {

	BackendServer server;

	/** Calls of this process that wait for an answer or run there. */
	int own;

	/** Prompt tokens of own calls whose first token did not come yet. */
	long ownUnread;

	/** What other processes have there, by process, as last told. */
	final Map<String, BackendUse> others = new HashMap<>();

	/** When it is dropped unless it registers again; empty while it is registered. */
	OptionalLong dropAtNanos = OptionalLong.empty();

	/** Whether its last registration could not be read. */
	boolean unreadable;

	/** No new calls before this time unless no other server is left, after failures. */
	OptionalLong avoidUntilNanos = OptionalLong.empty();

	/** How long first tokens took, against what was expected; smoothed. */
	double slowness = 1;

	/** The number of the last call sent there. */
	long lastSent;

	/** When it registered itself; empty when it was there before this process looked. */
	final OptionalLong registeredNanos;

	/** The shared parts of prompts that it is taken to have read. */
	final PartCache parts = new PartCache();

	/** Failures since the last good answer. */
	int failures;

	BackendRow(BackendServer server, OptionalLong registeredNanos) {
		this.server = server;
		this.registeredNanos = registeredNanos;
	}

	int load() {
		int sum = this.own;
		for (BackendUse other : this.others.values()) {
			sum += other.calls();
		}
		return sum;
	}

	long unreadTokens() {
		long sum = this.ownUnread;
		for (BackendUse other : this.others.values()) {
			sum += other.unreadTokens();
		}
		return sum;
	}

	boolean takesCalls() {
		return !this.unreadable && !this.server.leaving();
	}

	// Never shorter than before: calls that fail at a server that crashed say no more
	// than that.
	void avoidUntil(long nanos) {
		if (this.avoidUntilNanos.isEmpty() || nanos - this.avoidUntilNanos.getAsLong() > 0) {
			this.avoidUntilNanos = OptionalLong.of(nanos);
		}
	}

	boolean avoided(long nowNanos) {
		return this.avoidUntilNanos.isPresent() && nowNanos - this.avoidUntilNanos.getAsLong() < 0;
	}

}
