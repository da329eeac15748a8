package org.rosemaryfront.moves;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.BackendServer.Incarnation;

/** The servers that leave, and when each is gone. Confined to one thread. */
public final class LeavingServers {

	private final long drainMillis;

	private final Map<Incarnation, Times> times = new HashMap<>();

	private LeavingServers(long drainMillis) {
		this.drainMillis = drainMillis;
	}

	/**
	 * Creates a table without servers.
	 * @param drainMillis how long a server runs on that does not state when it leaves, in
	 * milliseconds
	 * @return the table
	 */
	public static LeavingServers of(long drainMillis) {
		return new LeavingServers(drainMillis);
	}

	/**
	 * Records what a registration says. Of several statements, the earliest end holds: a
	 * registration may have been on its way for long.
	 * @param server the server
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void record(BackendServer server, long nowNanos) {
		if (!server.leaving()) {
			return;
		}
		long millis = server.leavesInMillis().orElse(this.drainMillis);
		long goneNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
		this.times.merge(server.incarnation(), new Times(nowNanos, goneNanos), Times::earlier);
	}

	/**
	 * Removes servers that are not known any more.
	 * @param known the servers that are known
	 */
	public void retain(Collection<Incarnation> known) {
		this.times.keySet().retainAll(known);
	}

	/**
	 * Returns when this gateway noticed that a server leaves.
	 * @param server the server
	 * @return the time on the monotonic clock, in nanoseconds; empty if it stays
	 */
	public OptionalLong noticedNanos(Incarnation server) {
		Times known = this.times.get(server);
		return (known != null) ? OptionalLong.of(known.noticedNanos) : OptionalLong.empty();
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
	 * @param noticedNanos when it was noticed
	 * @param goneNanos when it is gone
	 */
	private record Times(long noticedNanos, long goneNanos) {

		private Times earlier(Times other) {
			return new Times(this.noticedNanos,
					(other.goneNanos - this.goneNanos < 0) ? other.goneNanos : this.goneNanos);
		}

	}

}
