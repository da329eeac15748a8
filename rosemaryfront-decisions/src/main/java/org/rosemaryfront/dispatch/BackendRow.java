package org.rosemaryfront.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/** A backend server in the table: its registration and the load recorded for it. */
final class BackendRow {

	BackendServer server;

	/** Calls of this process that are waiting or running at the server. */
	int own;

	/**
	 * Prompt tokens to prefill for calls of this process that have no first token yet.
	 */
	long ownUnread;

	/** The last reported use of the server by other processes, by process. */
	final Map<String, BackendUse> others = new HashMap<>();

	/**
	 * When the server is removed unless it registers again; empty while it is registered.
	 */
	OptionalLong dropAtNanos = OptionalLong.empty();

	/** Whether the last registration could not be parsed. */
	boolean unreadable;

	/**
	 * After failures, the time before which the server is chosen only if no other is
	 * left.
	 */
	OptionalLong avoidUntilNanos = OptionalLong.empty();

	/** Smoothed ratio of measured to expected time to first token. */
	double slowness = 1;

	/** The sequence number of the last call sent to the server. */
	long lastSent;

	/**
	 * When the server registered; empty if it was registered before this process started.
	 */
	final OptionalLong registeredNanos;

	/** The prompt segments that the server is assumed to have cached. */
	final PartCache parts = new PartCache();

	/** Consecutive failed calls. */
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

	// Never shortens the period: calls that fail at a crashed server give no new
	// information.
	void avoidUntil(long nanos) {
		if (this.avoidUntilNanos.isEmpty() || nanos - this.avoidUntilNanos.getAsLong() > 0) {
			this.avoidUntilNanos = OptionalLong.of(nanos);
		}
	}

	boolean avoided(long nowNanos) {
		return this.avoidUntilNanos.isPresent() && nowNanos - this.avoidUntilNanos.getAsLong() < 0;
	}

}
