package org.rosemaryfront.paths;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.rosemaryfront.dispatch.BackendServer.Incarnation;

/**
 * Tracks the backend servers that this gateway does not reach over its own links although
 * another gateway does. Times are on the monotonic clock, in nanoseconds.
 *
 * <p>
 * What a gateway sees of a server includes the network between them. A failed connection
 * attempt alone therefore says nothing about where the fault is: only with an attempt of
 * another gateway that succeeded at the same time the path is known to be lost, and with
 * one that failed as well the server is likely to be down.
 */
public final class ServerPaths {

	/** The time between two probes of a lost path, in nanoseconds. */
	private static final long PROBE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** The number of probes that start at once; new connections are dear for servers. */
	private static final int MAX_PROBES_AT_ONCE = 2;

	private final Map<Incarnation, LostPath> lost = new HashMap<>();

	private ServerPaths() {
	}

	/**
	 * Returns paths none of which is lost.
	 * @return the paths
	 */
	public static ServerPaths allDirect() {
		return new ServerPaths();
	}

	// -- evidence

	/**
	 * Records that an own attempt to connect failed and that another gateway reached the
	 * server.
	 * @param server the run of the server
	 * @param sign how the own attempt failed
	 * @param attemptNanos when the own attempt started
	 * @param nowNanos the current time
	 * @return whether the path was not lost before
	 */
	public boolean recordLost(Incarnation server, Sign sign, long attemptNanos, long nowNanos) {
		LostPath known = this.lost.get(server);
		long sinceNanos = (known != null) ? known.sinceNanos : attemptNanos;
		this.lost.put(server, new LostPath(sign, sinceNanos, attemptNanos, nowNanos + PROBE_INTERVAL_NANOS));
		return known == null;
	}

	/**
	 * Records that an own attempt to connect succeeded.
	 * @param server the run of the server
	 * @return since when the path was lost, empty if it was not
	 */
	public Optional<Long> recordReached(Incarnation server) {
		return Optional.ofNullable(this.lost.remove(server)).map(LostPath::sinceNanos);
	}

	/**
	 * Forgets the paths to servers that were removed or restarted.
	 * @param current the runs of the current servers
	 */
	public void retain(Set<Incarnation> current) {
		this.lost.keySet().retainAll(current);
	}

	// -- queries

	/**
	 * Returns whether the path to a server is lost.
	 * @param server the run of the server
	 * @return true from the evidence on until an own attempt succeeds
	 */
	public boolean isLost(Incarnation server) {
		return this.lost.containsKey(server);
	}

	/**
	 * Returns whether open connections to a server may carry nothing. Where one path went
	 * silent, others may have, too, without any sign on their open connections.
	 * @param server the run of the server
	 * @param lastReceivedNanos when anything was last received from the server
	 * @return true if nothing was received since a path went silent
	 */
	public boolean isDoubtful(Incarnation server, long lastReceivedNanos) {
		return this.lost.entrySet()
			.stream()
			.anyMatch((entry) -> entry.getValue().sign == Sign.SILENT
					&& lastReceivedNanos - entry.getValue().attemptNanos < 0);
	}

	/**
	 * Returns the number of servers whose path is lost.
	 * @return the number
	 */
	public int lostCount() {
		return this.lost.size();
	}

	/**
	 * Returns the lost paths that are to be probed now, those that wait longest first,
	 * and schedules their next probes.
	 * @param nowNanos the current time
	 * @return the runs of the servers
	 */
	public List<Incarnation> takeDueProbes(long nowNanos) {
		List<Incarnation> due = this.lost.entrySet()
			.stream()
			.filter((entry) -> nowNanos - entry.getValue().nextProbeNanos >= 0)
			.sorted(Comparator.comparingLong((entry) -> entry.getValue().nextProbeNanos - nowNanos))
			.limit(MAX_PROBES_AT_ONCE)
			.map(Map.Entry::getKey)
			.toList();
		due.forEach((server) -> this.lost.computeIfPresent(server, (_, path) -> path.probedAt(nowNanos)));
		return due;
	}

	/** How an attempt to connect failed. */
	public enum Sign {

		/** The attempt was refused or reset: open connections show whether they work. */
		REFUSED,

		/** Nothing came back: open connections may be as silent. */
		SILENT

	}

	/**
	 * A lost path.
	 *
	 * @param sign how the last attempt failed
	 * @param sinceNanos when the first failed attempt started
	 * @param attemptNanos when the last failed attempt started
	 * @param nextProbeNanos when the next attempt is due
	 */
	private record LostPath(Sign sign, long sinceNanos, long attemptNanos, long nextProbeNanos) {

		private LostPath probedAt(long nowNanos) {
			return new LostPath(this.sign, this.sinceNanos, this.attemptNanos, nowNanos + PROBE_INTERVAL_NANOS);
		}

	}

}
