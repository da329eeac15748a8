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
 * @param sequence the number of the registration, which grows from one to the next of a
 * start
 */
public record BackendServer(String id, long startedMillis, String service, String version, String address, String zone,
		int slots, boolean leaving, boolean reclaimable, long sequence) {

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
	 * Whether another registration of the server came after this one. Of two with the
	 * same number the one that says that it leaves did.
	 * @param other the other one
	 * @return true when this one says nothing any more
	 */
	boolean isBefore(BackendServer other) {
		if (this.startedMillis != other.startedMillis) {
			return this.startedMillis != START_UNKNOWN && this.startedMillis < other.startedMillis;
		}
		boolean undone = this.sequence == other.sequence && other.leaving && !this.leaving;
		return this.sequence < other.sequence || undone;
	}

	/**
	 * Whether another registration says the same.
	 * @param other the other one
	 * @return true when they differ in their numbers at most
	 */
	boolean saysTheSame(BackendServer other) {
		return numbered(0).equals(other.numbered(0));
	}

	private BackendServer numbered(long number) {
		return new BackendServer(this.id, this.startedMillis, this.service, this.version, this.address, this.zone,
				this.slots, this.leaving, this.reclaimable, number);
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
