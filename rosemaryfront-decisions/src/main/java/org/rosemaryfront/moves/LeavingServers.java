package org.rosemaryfront.moves;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.BackendServer.Incarnation;

/**
 * The servers that leave, and when each is gone. Confined to one thread, except
 * {@link #acceptsRuns}.
 */
public final class LeavingServers {

	private final long drainMillis;

	private final Map<Incarnation, Times> times = new ConcurrentHashMap<>();

	/** Since when servers may have been leaving that are not known any more. */
	private final Map<Incarnation, Long> departed = new ConcurrentHashMap<>();

	private volatile Set<Incarnation> known = Set.of();

	private LeavingServers(long drainMillis) {
		this.drainMillis = drainMillis;
	}

	/**
	 * Creates a table without servers.
	 * @param drainMillis how long a server that leaves may be sent requests, and runs on
	 * if it does not state when it leaves, in milliseconds
	 * @return the table
	 */
	public static LeavingServers of(long drainMillis) {
		return new LeavingServers(drainMillis);
	}

	/**
	 * Records what a registration says. Of several statements, the earliest end holds: a
	 * registration may have been on its way for long.
	 * @param server the server
	 * @param sinceNanos the earliest time at which the server may have begun to leave, on
	 * the monotonic clock, in nanoseconds
	 * @param nowNanos the current time on that clock, in nanoseconds
	 */
	public void record(BackendServer server, long sinceNanos, long nowNanos) {
		if (!server.leaving()) {
			return;
		}
		long millis = server.leavesInMillis().orElse(this.drainMillis);
		long goneNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
		this.times.merge(server.incarnation(), new Times(sinceNanos, nowNanos, goneNanos), Times::earlier);
	}

	/**
	 * Removes servers that are not known any more.
	 * @param servers the servers that are known
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void retain(Collection<Incarnation> servers, long nowNanos) {
		this.known = Set.copyOf(servers);
		this.times.forEach((server, left) -> this.departed.put(server, left.sinceNanos));
		this.departed.entrySet()
			.removeIf((entry) -> this.known.contains(entry.getKey()) || !isWithinDrain(entry.getValue(), nowNanos));
		this.times.keySet().retainAll(this.known);
	}

	/**
	 * Returns whether a server may be sent a run that continues from a copy. Safe to call
	 * on any thread.
	 * @param server the server
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return false for a server that may have been leaving for longer than servers may
	 * be sent requests, and for one that is gone without having left
	 */
	public boolean acceptsRuns(Incarnation server, long nowNanos) {
		Times left = this.times.get(server);
		Long sinceNanos = (left != null) ? Long.valueOf(left.sinceNanos) : this.departed.get(server);
		return (sinceNanos != null) ? isWithinDrain(sinceNanos, nowNanos) : this.known.contains(server);
	}

	private boolean isWithinDrain(long sinceNanos, long nowNanos) {
		return nowNanos - sinceNanos < TimeUnit.MILLISECONDS.toNanos(this.drainMillis);
	}

	/**
	 * Returns the servers that leave and are not gone yet.
	 * @param servers the servers that are known
	 * @param runs returns the number of the runs of all gateways at a server
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the servers
	 */
	public List<LeavingServer> present(List<BackendServer> servers, ToIntFunction<BackendServer> runs, long nowNanos) {
		return servers.stream()
			.flatMap((server) -> Optional.ofNullable(this.times.get(server.incarnation()))
				.filter((known) -> nowNanos - known.goneNanos < 0)
				.map((known) -> new LeavingServer(server, known.noticedNanos, known.goneNanos, runs.applyAsInt(server)))
				.stream())
			.toList();
	}

	/**
	 * When a server was noticed to leave and when it is gone.
	 *
	 * @param sinceNanos the earliest time at which it may have begun to leave
	 * @param noticedNanos when it was noticed
	 * @param goneNanos when it is gone
	 */
	private record Times(long sinceNanos, long noticedNanos, long goneNanos) {

		private Times earlier(Times other) {
			return new Times(this.sinceNanos, this.noticedNanos,
					(other.goneNanos - this.goneNanos < 0) ? other.goneNanos : this.goneNanos);
		}

	}

}
