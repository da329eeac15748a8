package org.rosemaryfront.dispatch;

/**
 * A backend server as described by its registration.
 *
 * @param id its name, which may stay the same after a restart
 * @param startedMillis when it started, in milliseconds since 1970;
 * {@link #START_UNKNOWN} if it does not report its start time
 * @param service the name of its service
 * @param version the version of its software
 * @param address its address, {@code host:port}
 * @param zone its availability zone
 * @param slots the maximum number of requests that it runs concurrently
 * @param leaving whether it accepts no new calls
 * @param reclaimable whether its VM may be reclaimed
 * @param sequence the sequence number of the registration, which increases until the
 * server restarts
 */
public record BackendServer(String id, long startedMillis, String service, String version, String address, String zone,
		int slots, boolean leaving, boolean reclaimable, long sequence) {

	/** The start time of a server that does not report one. */
	public static final long START_UNKNOWN = 0;

	/**
	 * Returns the identity of this run of the server.
	 * @return the name and the start time
	 */
	public Incarnation incarnation() {
		return new Incarnation(this.id, this.startedMillis);
	}

	/**
	 * Returns whether another registration of the server supersedes this one. Of two
	 * registrations with the same sequence number, the one with {@code leaving} set is
	 * the later one.
	 * @param other the other registration
	 * @return true if this registration is outdated
	 */
	boolean isSupersededBy(BackendServer other) {
		if (this.startedMillis != other.startedMillis) {
			return this.startedMillis != START_UNKNOWN && this.startedMillis < other.startedMillis;
		}
		boolean supersededByLeave = this.sequence == other.sequence && other.leaving && !this.leaving;
		return this.sequence < other.sequence || supersededByLeave;
	}

	/**
	 * Returns whether another registration has the same content.
	 * @param other the other registration
	 * @return true if they differ at most in their sequence numbers
	 */
	boolean hasSameContent(BackendServer other) {
		return withSequence(0).equals(other.withSequence(0));
	}

	/**
	 * Returns this registration of a server that accepts no new calls.
	 * @return the registration with {@code leaving} set
	 */
	BackendServer withLeaving() {
		return new BackendServer(this.id, this.startedMillis, this.service, this.version, this.address, this.zone,
				this.slots, true, this.reclaimable, this.sequence);
	}

	private BackendServer withSequence(long sequence) {
		return new BackendServer(this.id, this.startedMillis, this.service, this.version, this.address, this.zone,
				this.slots, this.leaving, this.reclaimable, sequence);
	}

	/**
	 * One run of a server. A restarted server has no calls, connections or cached prompts
	 * of its previous run.
	 *
	 * @param id its name
	 * @param startedMillis when it started, in milliseconds since 1970
	 */
	public record Incarnation(String id, long startedMillis) {
	}

}
