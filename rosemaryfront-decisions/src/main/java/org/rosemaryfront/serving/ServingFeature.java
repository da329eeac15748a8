package org.rosemaryfront.serving;

/**
 * A feature of the serving policy that can be enabled separately, so that its effect can
 * be measured against the policy without it.
 */
public enum ServingFeature {

	/** Streams are reattached after a connection failure instead of being replayed. */
	REATTACH,

	/** Streams move away from a leaving backend server before its VM is terminated. */
	EVACUATION,

	/** Streams may move together with their KV cache. */
	CACHE_MOVES,

	/**
	 * Load reports of backend servers are used, corrected by the requests sent since
	 * then.
	 */
	LOAD_REPORTS,

	/**
	 * Requests are routed to servers where their prompt prefix is or will be cached: to
	 * home servers by the hash of organisation, adapter and prefix, and by the hints of
	 * cache events.
	 */
	AFFINITY,

	/**
	 * Chat has priority over summaries: a summary waits in the entry process until a
	 * backend server has more room than chat needs, but not longer than half its time to
	 * the first token.
	 */
	PRIORITIES,

	/** A chat that waits in the queue of a backend server is sent to another server. */
	REROUTING,

	/** Only requests that can finish within their latency targets are accepted. */
	ADMISSION,

	/** Organisations share the capacity by weight across all entry processes. */
	FAIR_SHARES,

	/**
	 * Backend servers that are slower than the median of the candidates get less work.
	 */
	SLOW_SERVERS,

	/** Streams that move avoid leaving availability zones while others are live. */
	ZONES,

	/** Retries are limited to a fraction of the first dispatches. */
	RETRY_BUDGET

}
