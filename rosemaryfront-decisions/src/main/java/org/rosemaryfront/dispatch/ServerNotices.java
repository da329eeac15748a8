package org.rosemaryfront.dispatch;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.rosemaryfront.dispatch.BackendServer.Incarnation;

/**
 * Which backend servers have said that they want no requests of this process, for good or
 * for a while. Safe to use on any thread, so that it can be asked right before a request
 * is sent. Times are on the monotonic clock, in nanoseconds.
 */
public final class ServerNotices {

	/** Far more servers than are leaving at the same time. */
	private static final int MAX_LEAVING = 8_192;

	/**
	 * The share of a backoff of another process by which a server is spared longer at
	 * most.
	 */
	private static final double BACKOFF_SPREAD = 0.5;

	/** How long the first request behind a backoff keeps others away. */
	private static final long PROBE_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final Set<Incarnation> leaving = ConcurrentHashMap.newKeySet();

	/** Until when servers have asked other processes for no requests. */
	private final Map<Incarnation, Long> otherBackoffEnds = new ConcurrentHashMap<>();

	/** When the last backoff of a server ends, until it has accepted a request since. */
	private final Map<Incarnation, Long> backoffEnds = new ConcurrentHashMap<>();

	/** When the first request behind a backoff was sent, until the server responds. */
	private final Map<Incarnation, Long> probedNanos = new ConcurrentHashMap<>();

	/**
	 * Records that a server is leaving, which is final for this run of it.
	 * @param server the run of the server
	 * @return whether this was not known
	 */
	public boolean recordLeaving(Incarnation server) {
		if (this.leaving.size() >= MAX_LEAVING) {
			this.leaving.remove(this.leaving.iterator().next());
		}
		return this.leaving.add(server);
	}

	/**
	 * Records that a server wants no requests of this process for a while. Of several
	 * times, the latest end holds.
	 * @param server the run of the server
	 * @param endNanos the end of that time
	 */
	public void recordBackoff(Incarnation server, long endNanos) {
		this.backoffEnds.merge(server, endNanos, (known, stated) -> (stated - known > 0) ? stated : known);
		this.probedNanos.remove(server);
	}

	/**
	 * Records that a server wants no requests of another process for a while. It may be
	 * overloaded for all, or reject only that one.
	 * @param server the run of the server
	 * @param nowNanos the current time
	 * @param backoffNanos how much longer it wants none of the other process
	 * @param draw a random number from 0 to 1, which keeps processes from coming back
	 * together
	 */
	public void recordOtherBackoff(Incarnation server, long nowNanos, long backoffNanos, double draw) {
		long endNanos = nowNanos + (long) (backoffNanos * (1 + BACKOFF_SPREAD * draw));
		this.otherBackoffEnds.merge(server, endNanos, (known, told) -> (told - known > 0) ? told : known);
	}

	/**
	 * Returns whether another server is preferred because this one wants no requests of
	 * another process.
	 * @param server the run of the server
	 * @param nowNanos the current time
	 * @return false once that time is over
	 */
	public boolean isSpared(Incarnation server, long nowNanos) {
		Long end = this.otherBackoffEnds.get(server);
		return end != null && nowNanos - end < 0;
	}

	/**
	 * Records that a server responded without wanting a backoff. This does not shorten a
	 * backoff in progress.
	 * @param server the run of the server
	 * @param nowNanos the current time
	 */
	public void recordResponse(Incarnation server, long nowNanos) {
		if (!this.backoffEnds.isEmpty()) {
			this.backoffEnds.computeIfPresent(server, (_, end) -> (nowNanos - end >= 0) ? null : end);
			this.probedNanos.remove(server);
		}
	}

	/**
	 * Records that a request was sent to a server. Behind a backoff it is the one that
	 * finds out whether the server still wants none.
	 * @param server the run of the server
	 * @param nowNanos the current time
	 */
	public void recordSent(Incarnation server, long nowNanos) {
		if (isTentative(server, nowNanos)) {
			this.probedNanos.put(server, nowNanos);
		}
	}

	/**
	 * Forgets the backoffs that are over of servers that are gone. A server whose
	 * registration only lapsed comes back as the same run.
	 * @param current the runs of the current servers
	 * @param nowNanos the current time
	 */
	public void retain(Set<Incarnation> current, long nowNanos) {
		removeGone(this.backoffEnds, current, nowNanos);
		removeGone(this.otherBackoffEnds, current, nowNanos);
		this.probedNanos.keySet().retainAll(this.backoffEnds.keySet());
	}

	private static void removeGone(Map<Incarnation, Long> ends, Set<Incarnation> current, long nowNanos) {
		ends.entrySet().removeIf((entry) -> !current.contains(entry.getKey()) && nowNanos - entry.getValue() >= 0);
	}

	/**
	 * Returns whether a server has said that it is leaving.
	 * @param server the run of the server
	 * @return true from then on
	 */
	public boolean isLeaving(Incarnation server) {
		return this.leaving.contains(server);
	}

	/**
	 * Returns how much longer a server wants no requests of this process.
	 * @param server the run of the server
	 * @param nowNanos the current time
	 * @return the time in nanoseconds, 0 if it wants requests
	 */
	public long backoffNanos(Incarnation server, long nowNanos) {
		Long end = this.backoffEnds.get(server);
		return (end != null) ? Math.max(0, end - nowNanos) : 0;
	}

	/**
	 * Returns whether a request is finding out whether a server whose backoff is over
	 * still wants none, so that no other one is sent there.
	 * @param server the run of the server
	 * @param nowNanos the current time
	 * @return false once the server has responded, or has not for a while
	 */
	public boolean isProbed(Incarnation server, long nowNanos) {
		Long probed = this.probedNanos.get(server);
		return probed != null && isTentative(server, nowNanos) && nowNanos - probed < PROBE_NANOS;
	}

	private boolean isTentative(Incarnation server, long nowNanos) {
		Long end = this.backoffEnds.get(server);
		return end != null && nowNanos - end >= 0;
	}

	/**
	 * Returns whether a request may be sent to a server.
	 * @param server the run of the server
	 * @param nowNanos the current time
	 * @return false once it is leaving and during a backoff
	 */
	public boolean permits(Incarnation server, long nowNanos) {
		return !isLeaving(server) && backoffNanos(server, nowNanos) == 0;
	}

	/**
	 * Returns the number of servers that have said that they are leaving, including those
	 * that are gone.
	 * @return the number
	 */
	public int leavingCount() {
		return this.leaving.size();
	}

	/**
	 * Returns the number of servers that want no requests of this process for a while.
	 * @param nowNanos the current time
	 * @return the number
	 */
	public long backoffCount(long nowNanos) {
		return this.backoffEnds.values().stream().filter((end) -> nowNanos - end < 0).count();
	}

}
