package org.rosemaryfront.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.rosemaryfront.dispatch.BackendServer.Start;

/**
 * The backend servers that may get calls, from their registrations. Times are on the
 * monotonic clock, in nanoseconds.
 */
public final class BackendTable {

	/**
	 * How long after the return of the registry registrations come back that lapsed while
	 * it was away.
	 */
	private static final long RETURN_NANOS = TimeUnit.MILLISECONDS.toNanos(2_200);

	/**
	 * How long a server whose registration ended is kept at most. It may have left for
	 * good and must get no calls two seconds later; the rest is for calls under way.
	 */
	private static final long KEPT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_600);

	/**
	 * How long a server gets no new calls after a failure, doubled for each failure in a
	 * row up to {@link #AVOID_DOUBLINGS}. Long enough to spare callers a server that is
	 * gone before its registration says so, short enough to find out that it is back.
	 */
	private static final long AVOID_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

	private static final int AVOID_DOUBLINGS = 4;

	/**
	 * How long a server that crashed gets no calls, unless no other is left: longer than
	 * its registration lasts without heartbeats.
	 */
	private static final long CRASHED_NANOS = TimeUnit.SECONDS.toNanos(4);

	/** Failures in a row before a server is avoided: one may be the call's own fault. */
	private static final int AVOID_AFTER = 2;

	/** The weight of the newest first token in a server's slowness. */
	private static final double SLOWNESS_NEWEST = 0.15;

	/** One first token counts at most as so much slower, or faster, than expected. */
	private static final double SLOWNESS_MOST = 5;

	/**
	 * Servers of which the last registration is remembered; those dropped long ago go.
	 */
	private static final int LATEST_MOST = 8_192;

	private final Map<String, BackendRow> rows = new LinkedHashMap<>();

	/** The servers at which each other process last had something. */
	private final Map<String, Set<Start>> usedBy = new HashMap<>();

	/** The last registrations of servers, also of those that were dropped. */
	private final Map<String, BackendServer> latest = new LinkedHashMap<>();

	private final PartNews partNews = new PartNews();

	/** Calls sent so far, to any server. */
	private long sent;

	// -- registrations

	/**
	 * Takes the registration of a server, new or changed.
	 * @param server the server
	 * @param nowNanos the time
	 * @return true when it is new or changed
	 */
	public boolean registered(BackendServer server, long nowNanos) {
		return put(server, OptionalLong.of(nowNanos));
	}

	/**
	 * Takes a server that was registered before this process first looked: how long ago
	 * is not known.
	 * @param server the server
	 * @return true when it is new or changed
	 */
	public boolean foundAtStart(BackendServer server) {
		return put(server, OptionalLong.empty());
	}

	// Guards against a server that starts again under its id: it has none of the calls
	// and cached prompts that were noted for it, and calls that are still counted there
	// would keep others away, or end as its own and hide those that it really runs.
	private boolean put(BackendServer server, OptionalLong registeredNanos) {
		if (isOutdated(server)) {
			return false;
		}
		noteLatest(server);
		BackendRow known = this.rows.get(server.id());
		if (known == null || isOtherStart(server)) {
			this.rows.put(server.id(), new BackendRow(server, registeredNanos));
			return true;
		}
		boolean changed = !known.server.saysTheSame(server) || known.dropAtNanos.isPresent() || known.unreadable;
		known.server = server;
		known.dropAtNanos = OptionalLong.empty();
		known.unreadable = false;
		return changed;
	}

	private void noteLatest(BackendServer server) {
		this.latest.remove(server.id());
		this.latest.put(server.id(), server);
		if (this.latest.size() > LATEST_MOST) {
			this.latest.remove(this.latest.keySet().iterator().next());
		}
	}

	/**
	 * Whether a registration is older than one that was taken. Heartbeats may be written
	 * late: behind the word that the server leaves, or behind the end of its
	 * registration.
	 * @param server the server as it registered itself
	 * @return true when the registration is passed over
	 */
	public boolean isOutdated(BackendServer server) {
		return Optional.ofNullable(this.latest.get(server.id())).filter(server::isBefore).isPresent();
	}

	/**
	 * Whether another start of a server is known under its id.
	 * @param server the server
	 * @return true when it starts again with this registration
	 */
	public boolean isOtherStart(BackendServer server) {
		return find(server.id()).filter((known) -> !known.start().equals(server.start())).isPresent();
	}

	/**
	 * Takes a registration that cannot be read: the server gets no new calls until one
	 * comes that can.
	 * @param id the server
	 */
	public void unreadable(String id) {
		Optional.ofNullable(this.rows.get(id)).ifPresent((row) -> row.unreadable = true);
	}

	/**
	 * Takes the end of a registration. The server is dropped at once, unless its
	 * registration may only have lapsed while the registry was away.
	 * @param id the server
	 * @param nowNanos the time
	 * @param returnedNanos when the registry last came back, empty if it was never away
	 * @return how long it is kept from now on, in nanoseconds
	 */
	public long lapsed(String id, long nowNanos, OptionalLong returnedNanos) {
		BackendRow row = this.rows.get(id);
		if (row != null && row.dropAtNanos.isEmpty()) {
			long comesBack = returnedNanos.isPresent() ? returnedNanos.getAsLong() + RETURN_NANOS - nowNanos : 0;
			row.dropAtNanos = OptionalLong.of(nowNanos + Math.clamp(comesBack, 0, KEPT_NANOS));
		}
		return (row != null) ? Math.max(0, row.dropAtNanos.getAsLong() - nowNanos) : 0;
	}

	/**
	 * Drops the servers whose time is over.
	 * @param nowNanos the time
	 * @return the servers dropped
	 */
	public List<BackendServer> expire(long nowNanos) {
		List<BackendServer> dropped = new ArrayList<>();
		this.rows.values().removeIf((row) -> {
			boolean over = row.dropAtNanos.isPresent() && nowNanos - row.dropAtNanos.getAsLong() >= 0;
			if (over) {
				dropped.add(row.server);
			}
			return over;
		});
		return dropped;
	}

	// -- load

	/**
	 * Notes that a call was handed to a server.
	 * @param server the start of the server
	 * @param unreadTokens the prompt tokens that the server has to read for it
	 */
	public void sent(Start server, long unreadTokens) {
		row(server).ifPresent((row) -> {
			row.own++;
			row.lastSent = ++this.sent;
			row.ownUnread += unreadTokens;
		});
	}

	/**
	 * Notes that a server reads or fetches shared parts for a call.
	 * @param server the start of the server
	 * @param shared the parts
	 * @param memoryTokens what the server's memory holds, in tokens
	 */
	public void reads(Start server, SharedParts shared, long memoryTokens) {
		row(server).ifPresent((row) -> shared.parts().forEach((part) -> {
			if (row.parts.add(part, memoryTokens)) {
				this.partNews.add(server, part);
			}
		}));
	}

	/**
	 * Takes the parts that a server read for another process.
	 * @param server the start of the server
	 * @param parts the parts
	 * @param memoryTokens what the server's memory holds, in tokens
	 */
	public void othersRead(Start server, List<SharedParts.Part> parts, long memoryTokens) {
		row(server).ifPresent((row) -> parts.forEach((part) -> row.parts.add(part, memoryTokens)));
	}

	/**
	 * The parts that servers read of late for this process, for the others.
	 * @return the parts by start of a server
	 */
	public Map<Start, List<SharedParts.Part>> partsToTell() {
		return this.partNews.take();
	}

	/**
	 * Notes that a server has read the prompt of a call.
	 * @param server the start of the server
	 * @param unreadTokens the tokens that were noted when the call was sent
	 */
	public void read(Start server, long unreadTokens) {
		row(server).ifPresent((row) -> row.ownUnread = Math.max(0, row.ownUnread - unreadTokens));
	}

	/**
	 * Notes how long the first token of a call took.
	 * @param server the start of the server
	 * @param expectedMillis the time that was expected, in milliseconds
	 * @param millis the time that it took, in milliseconds
	 */
	public void firstToken(Start server, long expectedMillis, long millis) {
		double ratio = Math.clamp((double) millis / Math.max(1, expectedMillis), 1 / SLOWNESS_MOST, SLOWNESS_MOST);
		row(server).ifPresent((row) -> row.slowness += SLOWNESS_NEWEST * (ratio - row.slowness));
	}

	/**
	 * Notes that a call ended.
	 * @param server the start of the server
	 * @param failed whether the server failed it
	 * @param nowNanos the time
	 */
	public void ended(Start server, boolean failed, long nowNanos) {
		row(server).ifPresent((row) -> ended(row, failed, nowNanos));
	}

	private static void ended(BackendRow row, boolean failed, long nowNanos) {
		row.own = Math.max(0, row.own - 1);
		row.failures = failed ? row.failures + 1 : 0;
		if (row.failures >= AVOID_AFTER) {
			long nanos = AVOID_NANOS << Math.min(AVOID_DOUBLINGS, row.failures - AVOID_AFTER);
			row.avoidUntil(nowNanos + nanos);
		}
	}

	/**
	 * Notes that a server crashed. Until its registration lapses it stands in the table
	 * for some seconds, and each call sent there loses a round trip.
	 * @param server the start of the server
	 * @param nowNanos the time
	 */
	public void crashed(Start server, long nowNanos) {
		row(server).ifPresent((row) -> row.avoidUntil(nowNanos + CRASHED_NANOS));
	}

	/**
	 * Notes that a server lives that was taken for crashed.
	 * @param server the start of the server
	 */
	public void lives(Start server) {
		row(server).ifPresent((row) -> row.avoidUntilNanos = OptionalLong.empty());
	}

	/**
	 * Notes that a caller gave a call up, which says nothing of its server.
	 * @param server the start of the server
	 */
	public void abandoned(Start server) {
		row(server).ifPresent((row) -> row.own = Math.max(0, row.own - 1));
	}

	/**
	 * Takes what another process has at the servers.
	 * @param process the other process
	 * @param uses what it has, by start of a server; those that are absent have nothing
	 */
	public void othersAt(String process, Map<Start, BackendUse> uses) {
		Set<Start> before = this.usedBy.getOrDefault(process, Set.of());
		before.stream()
			.filter((server) -> !uses.containsKey(server))
			.forEach((server) -> row(server).ifPresent((row) -> row.others.remove(process)));
		uses.forEach((server, use) -> row(server).ifPresent((row) -> row.others.put(process, use)));
		this.usedBy.put(process, Set.copyOf(uses.keySet()));
	}

	/**
	 * What this process has at the servers.
	 * @return its use by start of a server, without those at which it has nothing
	 */
	public Map<Start, BackendUse> ownUse() {
		Map<Start, BackendUse> uses = new HashMap<>();
		for (BackendRow row : this.rows.values()) {
			if (row.own > 0) {
				uses.put(row.server.start(), new BackendUse(row.own, row.ownUnread));
			}
		}
		return uses;
	}

	// -- queries

	/**
	 * A server.
	 * @param id the server
	 * @return the server, empty when it is not known
	 */
	public Optional<BackendServer> find(String id) {
		return Optional.ofNullable(this.rows.get(id)).map((row) -> row.server);
	}

	/**
	 * Whether a server is expected to go on.
	 * @param server the start of the server
	 * @return true while it is registered and does not leave
	 */
	public boolean isExpected(Start server) {
		return row(server).filter((row) -> row.dropAtNanos.isEmpty() && !row.server.leaving()).isPresent();
	}

	/**
	 * All servers that are registered or may still register again.
	 * @return the servers
	 */
	public List<BackendServer> servers() {
		return this.rows.values().stream().map((row) -> row.server).toList();
	}

	/**
	 * The servers of a service that are registered or may still register again.
	 * @param service the service
	 * @return the servers
	 */
	public List<BackendServer> serversOf(String service) {
		return servers().stream().filter((server) -> server.service().equals(service)).toList();
	}

	/**
	 * The calls that run at some servers, of all processes.
	 * @param which the servers
	 * @return the calls
	 */
	public int callsAt(Predicate<BackendServer> which) {
		return this.rows.values().stream().filter((row) -> which.test(row.server)).mapToInt(BackendRow::load).sum();
	}

	/**
	 * The calls that run at a service, of all processes.
	 * @param service the service
	 * @return the calls
	 */
	public int callsOf(String service) {
		return callsAt((server) -> server.service().equals(service));
	}

	/**
	 * The servers that take new calls.
	 * @return their starts
	 */
	public Set<Start> takers() {
		return this.rows.values()
			.stream()
			.filter(BackendRow::takesCalls)
			.map((row) -> row.server.start())
			.collect(Collectors.toUnmodifiableSet());
	}

	// Servers of a service that take new calls.
	List<BackendRow> takers(String service, Collection<String> tried) {
		List<BackendRow> takers = new ArrayList<>();
		for (BackendRow row : this.rows.values()) {
			if (row.server.service().equals(service) && row.takesCalls() && !tried.contains(row.server.id())) {
				takers.add(row);
			}
		}
		return takers;
	}

	// Servers of a service that may have parts of prompts, whether they take calls or
	// not.
	List<BackendRow> holders(String service) {
		return this.rows.values()
			.stream()
			.filter((row) -> !row.unreadable && row.server.service().equals(service))
			.toList();
	}

	private Optional<BackendRow> row(Start server) {
		return Optional.ofNullable(this.rows.get(server.id())).filter((row) -> row.server.start().equals(server));
	}

}
