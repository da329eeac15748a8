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

	/** A backend server gets a bounded number of streams; the rest waits in the entry. */
	BOUNDED_DEPTH

}
