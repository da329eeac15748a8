package org.rosemaryfront.dispatch;

import java.util.OptionalLong;

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
 * @param leavesInMillis how long it runs on after the registration was written, in
 * milliseconds; empty if it does not state when it leaves
 */
public record BackendServer(String id, long startedMillis, String service, String version, String address, String zone,
		int slots, boolean leaving, boolean reclaimable, long sequence, OptionalLong leavesInMillis) {

	/** The start time of a server that does not report one. */
	public static final long START_UNKNOWN = 0;

	/**
	 * Creates the registration of a server that does not state when it leaves.
	 * @param id its name, which may stay the same after a restart
	 * @param startedMillis when it started, in milliseconds since 1970
	 * @param service the name of its service
	 * @param version the version of its software
	 * @param address its address, {@code host:port}
	 * @param zone its availability zone
	 * @param slots the maximum number of requests that it runs concurrently
	 * @param leaving whether it accepts no new calls
	 * @param reclaimable whether its VM may be reclaimed
	 * @param sequence the sequence number of the registration
	 */
	public BackendServer(String id, long startedMillis, String service, String version, String address, String zone,
			int slots, boolean leaving, boolean reclaimable, long sequence) {
		this(id, startedMillis, service, version, address, zone, slots, leaving, reclaimable, sequence,
				OptionalLong.empty());
	}

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
	 * @return true if they differ at most in their sequence numbers and in the time left
	 */
	boolean hasSameContent(BackendServer other) {
		return withoutProgress().equals(other.withoutProgress());
	}

	/**
	 * Returns this registration of a server that accepts no new calls.
	 * @return the registration with {@code leaving} set
	 */
	BackendServer withLeaving() {
		return new BackendServer(this.id, this.startedMillis, this.service, this.version, this.address, this.zone,
				this.slots, true, this.reclaimable, this.sequence, this.leavesInMillis);
	}

	private BackendServer withoutProgress() {
		return new BackendServer(this.id, this.startedMillis, this.service, this.version, this.address, this.zone,
				this.slots, this.leaving, this.reclaimable, 0);
	}

	/**
	 * One run of a server. A restarted server has no calls, connections or cached prompts
	 * of its previous run.
	 *
	 * @param id its name
	 * @param startedMillis when it started, in milliseconds since 1970
	 */
	public record Incarnation(String id, long startedMillis) {

		// Runs of servers are the keys of most tables, and the methods that records
		// generate are slow without an optimising compiler.
		@Override
		public boolean equals(Object other) {
			return other instanceof Incarnation run && this.startedMillis == run.startedMillis
					&& this.id.equals(run.id);
		}

		@Override
		public int hashCode() {
			return 31 * this.id.hashCode() + Long.hashCode(this.startedMillis);
		}

	}

}
