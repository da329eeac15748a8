package org.rosemaryfront.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

import com.dynatrace.hash4j.hashing.Hashing;

import org.rosemaryfront.dispatch.BackendServer.Incarnation;

/** A backend server in the table: its registration and the load recorded for it. */
final class BackendRow {

	BackendServer server;

	/** The run of the server, which stays the same. */
	final Incarnation incarnation;

	/** A hash of its id, from which its place in common orders of servers follows. */
	final long idHash;

	/** Calls of this process that are waiting or running at the server. */
	int ownCalls;

	/**
	 * Prompt tokens to prefill for calls of this process that have no first token yet.
	 */
	long ownUncachedTokens;

	/** The last reported use of the server by other processes, by process. */
	private final Map<String, BackendUse> usesByProcess = new HashMap<>();

	/**
	 * The sum of these uses, kept because each choice of a server compares all servers.
	 */
	private BackendUse peerUse = BackendUse.NONE;

	/**
	 * When the server is removed unless it registers again; empty while it is registered.
	 */
	OptionalLong removeAtNanos = OptionalLong.empty();

	/** Whether the last registration could not be parsed. */
	boolean invalidRegistration;

	/**
	 * After failures, the time before which the server is chosen only if no other is
	 * left.
	 */
	OptionalLong avoidUntilNanos = OptionalLong.empty();

	/** The sequence number of the last call sent to the server. */
	long lastCallNumber;

	/**
	 * When the server registered; empty if it was registered before this process started.
	 */
	final OptionalLong registeredNanos;

	/** The prompt segments that the server is assumed to have cached. */
	final SegmentCache cachedSegments = new SegmentCache();

	/** The rejections of the server, and what it withstands. */
	final RejectionGuard rejections = new RejectionGuard();

	/** The rejections that other processes reported last, by process. */
	final Map<String, Integer> rejectionsByProcess = new HashMap<>();

	/** Consecutive failed calls. */
	int consecutiveFailures;

	BackendRow(BackendServer server, OptionalLong registeredNanos) {
		this.server = server;
		this.incarnation = server.incarnation();
		this.idHash = Hashing.wyhashFinal4().hashCharsToLong(server.id());
		this.registeredNanos = registeredNanos;
	}

	void recordPeerUse(String process, BackendUse use) {
		BackendUse previous = this.usesByProcess.put(process, use);
		this.peerUse = this.peerUse.plus(use).minus((previous != null) ? previous : BackendUse.NONE);
	}

	void removePeerUse(String process) {
		BackendUse previous = this.usesByProcess.remove(process);
		this.peerUse = this.peerUse.minus((previous != null) ? previous : BackendUse.NONE);
	}

	int load() {
		return this.ownCalls + this.peerUse.calls();
	}

	long uncachedTokens() {
		return this.ownUncachedTokens + this.peerUse.uncachedTokens();
	}

	boolean hasRoom(SlotShares shares, long nowNanos) {
		return this.rejections.hasRoom(this, shares, nowNanos);
	}

	boolean isEligible() {
		return !this.invalidRegistration && !this.server.leaving();
	}

	// Never shortens the period: calls that fail at a crashed server give no new
	// information.
	void avoidUntil(long nanos) {
		if (this.avoidUntilNanos.isEmpty() || nanos - this.avoidUntilNanos.getAsLong() > 0) {
			this.avoidUntilNanos = OptionalLong.of(nanos);
		}
	}

	boolean isAvoided(long nowNanos) {
		return this.avoidUntilNanos.isPresent() && nowNanos - this.avoidUntilNanos.getAsLong() < 0;
	}

}
