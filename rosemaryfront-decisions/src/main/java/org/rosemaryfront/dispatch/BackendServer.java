package org.rosemaryfront.dispatch;

/**
 * A backend server as it registered itself.
 *
 * @param id its name, which it may keep when it starts again
 * @param startedMillis when it started, in milliseconds since 1970;
 * {@link #START_UNKNOWN} when it does not say
 * @param service the name of its service
 * @param version the version of its software
 * @param address its address, {@code host:port}
 * @param zone its availability zone
 * @param slots the requests that it runs at once
 * @param leaving whether it takes no new calls
 * @param reclaimable whether its VM may be reclaimed
 */
public record BackendServer(String id, long startedMillis, String service, String version, String address, String zone,
		int slots, boolean leaving, boolean reclaimable) {

	/** The start of a server that does not say when it started. */
	public static final long START_UNKNOWN = 0;

	/**
	 * This start of the server.
	 * @return the start
	 */
	public Start start() {
		return new Start(this.id, this.startedMillis);
	}

	/**
	 * One start of a server. A server that starts again has nothing of before: no calls,
	 * no connections, no cached prompts.
	 *
	 * @param id its name
	 * @param startedMillis when it started, in milliseconds since 1970
	 */
	public record Start(String id, long startedMillis) {
	}

}
