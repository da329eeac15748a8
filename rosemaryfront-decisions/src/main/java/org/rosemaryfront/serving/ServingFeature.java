package org.rosemaryfront.serving;

/**
 * A part of the serving policy that can be switched on by itself, so that each is
 * measured against the version without it.
 */
public enum ServingFeature {

	/** Streams whose connection broke are attached again instead of replayed. */
	REATTACH,

	/** Streams move away from a leaving backend server before it vanishes. */
	EVACUATION,

	/** Streams may move with their KV cache. */
	CACHE_MOVES,

	/** Load reports of backend servers count, corrected by what was sent since. */
	LOAD_REPORTS,

	/**
	 * Requests go where their prompt prefix is or will be cached: home servers by hash of
	 * organisation, adapter and prefix, and hints of cache events.
	 */
	AFFINITY,

	/**
	 * Chat goes before summaries: a summary waits in the entry until a backend server has
	 * room beyond what chat needs, but not for longer than half its time.
	 */
	PRIORITIES,

	/** A chat that waits in the queue of a backend server is sent to another. */
	REROUTING,

	/** Only what can finish within its latency target is accepted. */
	ADMISSION,

	/** Organisations share by weight over all entries. */
	FAIR_SHARES,

	/** Backend servers that run behind the median of their pool get less. */
	SLOW_SERVERS,

	/** Streams that move go to no availability zone that is leaving while others live. */
	ZONES,

	/** Retries are limited to a share of the fresh work. */
	RETRY_BUDGET

}
