package org.rosemaryfront.crashes;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.rosemaryfront.crashes.Evidence.State;
import org.rosemaryfront.crashes.SuspectedRequest.Entry;
import org.rosemaryfront.dispatch.BackendServer.Incarnation;

/**
 * Tracks the requests that servers had when they crashed, and quarantines those that
 * probably caused the crashes.
 *
 * <p>
 * A request can crash every server that begins to run it, and its caller retries it with
 * a new request id through any process. When each retry was treated as a new request, one
 * request crashed twenty servers within ten seconds, each with up to twenty calls of
 * other callers. A request that three servers had when they crashed is quarantined in all
 * processes, also after they restart.
 *
 * <p>
 * Most requests that a crashing server had did not cause the crash. Evidence is confirmed
 * only when the server is known to have crashed and was not already leaving. It is
 * cleared when the server responds again or the request gets a complete response. If the
 * servers crashed at the same time, as when an availability zone loses power while many
 * callers send the same request, one copy is sent as a probe.
 *
 * <p>
 * Not thread-safe, except for {@link #isQuarantined} and {@link #quarantinedCount}. Times
 * are on the monotonic clock, in nanoseconds, unless stated otherwise.
 */
public final class CrashTable {

	/**
	 * The number of crashes at which a request is quarantined. One or two also occur for
	 * harmless requests: they are retried and can share a server with the harmful request
	 * a second time.
	 */
	public static final int QUARANTINE_THRESHOLD = 3;

	/**
	 * The longest time between crashes that count as simultaneous, in milliseconds: the
	 * servers of an availability zone fail together, whereas copies of a harmful request
	 * spend different times in the servers' queues.
	 */
	private static final long SIMULTANEITY_WINDOW_MILLIS = 250;

	/** The delay before a failed write is retried. */
	private static final long WRITE_RETRY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

	/**
	 * The maximum number of updates in one report, which keeps it well below the size of
	 * a datagram.
	 */
	private static final int MAX_UPDATES = 16;

	/**
	 * The maximum number of requests in the table, about 300 bytes each. Those with the
	 * fewest crashes are evicted first.
	 */
	private static final int MAX_REQUESTS = 4_096;

	/**
	 * The number of stored requests with a single crash at which this process stops
	 * writing more of them; requests with more crashes are always written.
	 */
	private static final int MAX_SINGLE_CRASH_ROWS = 1_024;

	private final Map<RequestDigest, SuspectedRequest> suspectedRequests = new LinkedHashMap<>();

	/** The requests that each server had when it crashed, or may have crashed. */
	private final Map<Incarnation, List<RequestDigest>> byServer = new HashMap<>();

	/**
	 * The entries that may still be written or may expire. They are scanned many times a
	 * second, and nearly all entries need neither.
	 */
	private final Set<Entry> unsettled = new LinkedHashSet<>();

	/**
	 * The quarantined requests, including those that may be probed; read on any thread.
	 */
	private final Set<RequestDigest> quarantined = ConcurrentHashMap.newKeySet();

	// -- observations of this process

	/**
	 * Records that a connection broke while its server had a request.
	 * @param crash the server and the request
	 * @param atMillis the current time of day, in milliseconds since 1970
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return whether the caller must check if the server crashed
	 */
	public boolean connectionLost(Crash crash, long atMillis, long nowNanos) {
		if (find(crash).isPresent()) {
			return false;
		}
		add(new Evidence(crash, State.SUSPECTED, atMillis), nowNanos);
		return true;
	}

	/**
	 * Records that a server has crashed.
	 * @param server the start of the server
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the evidence that this confirms
	 */
	public List<Evidence> serverCrashed(Incarnation server, long nowNanos) {
		return changeState(entriesOf(server), State.CONFIRMED, nowNanos);
	}

	/**
	 * Records that a server responded to a call. If the call was sent after a connection
	 * broke, the server did not crash then.
	 * @param server the start of the server
	 * @param sentNanos when the call was sent
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the evidence that this clears
	 */
	public List<Evidence> serverResponded(Incarnation server, long sentNanos, long nowNanos) {
		if (!this.byServer.containsKey(server)) {
			return List.of();
		}
		List<Entry> earlier = entriesOf(server).stream()
			.filter((entry) -> sentNanos - entry.recordedNanos > 0)
			.toList();
		return changeState(earlier, State.CLEARED, nowNanos);
	}

	/**
	 * Clears the evidence against a request that got a complete response or was released
	 * by an operator.
	 * @param request the request
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the evidence that this clears
	 */
	public List<Evidence> clear(RequestDigest request, long nowNanos) {
		SuspectedRequest suspect = this.suspectedRequests.get(request);
		return (suspect != null) ? changeState(suspect.entries.values(), State.CLEARED, nowNanos) : List.of();
	}

	// -- updates from other processes and the store

	/**
	 * Applies evidence received from another process.
	 * @param received the evidence
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return whether this changed the evidence
	 */
	public boolean receive(Evidence received, long nowNanos) {
		return merge(received, nowNanos).isPresent();
	}

	/**
	 * Applies a row read from the store.
	 * @param row the evidence in the row
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return whether this changed the evidence
	 */
	public boolean rowRead(Evidence row, long nowNanos) {
		boolean hasChanged = merge(row, nowNanos).isPresent();
		find(row.crash()).ifPresent((entry) -> {
			entry.hasRow = true;
			// A row in an earlier state may result from a delayed write.
			entry.stored = entry.evidence.state() == row.state();
			this.unsettled.add(entry);
		});
		return hasChanged;
	}

	/**
	 * Removes evidence whose row is no longer in the store.
	 * @param crash the crash that the row described
	 */
	public void rowRemoved(Crash crash) {
		find(crash).filter((entry) -> entry.hasRow).ifPresent((_) -> remove(crash));
	}

	/**
	 * Records whether the single probe of a request has been granted.
	 * @param request the request
	 * @param granted whether a process has, or had, the probe
	 */
	public void setProbeGranted(RequestDigest request, boolean granted) {
		if (granted) {
			this.suspectedRequests.computeIfAbsent(request, (_) -> new SuspectedRequest()).probeGranted = true;
		}
		else {
			Optional.ofNullable(this.suspectedRequests.get(request))
				.ifPresent((suspect) -> suspect.probeGranted = false);
		}
	}

	// The state of evidence only advances, so updates may be reordered and duplicated.
	private Optional<Entry> merge(Evidence received, long nowNanos) {
		Optional<Entry> existing = find(received.crash());
		if (existing.isEmpty()) {
			Entry entry = add(received, nowNanos);
			entry.receive(received, nowNanos);
			return Optional.of(entry);
		}
		if (existing.get().evidence.state().compareTo(received.state()) >= 0) {
			return Optional.empty();
		}
		existing.get().receive(received, nowNanos);
		this.unsettled.add(existing.get());
		updateQuarantine(received.crash().request());
		return existing;
	}

	// -- updates for the store and other processes

	/**
	 * Returns the evidence to be written to the store, that of requests with the most
	 * crashes first.
	 * @param limit the maximum number of rows
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the rows; the caller reports each outcome with {@link #writeCommitted} or
	 * {@link #writeFailed}
	 */
	public List<Evidence> pendingWrites(int limit, long nowNanos) {
		List<Entry> due = this.unsettled.stream()
			.filter((entry) -> entry.isWriteDue(isOnlyCrash(entry), nowNanos))
			.toList();
		if (due.isEmpty()) {
			return List.of();
		}
		boolean isFull = this.suspectedRequests.values()
			.stream()
			.filter(SuspectedRequest::hasSingleStoredCrash)
			.count() >= MAX_SINGLE_CRASH_ROWS;
		return due.stream()
			.filter((entry) -> !isFull || !isOnlyCrash(entry))
			.sorted(Comparator.comparingInt((Entry entry) -> -suspectedRequest(entry).entries.size()))
			.limit(limit)
			.map((entry) -> entry.evidence)
			.toList();
	}

	private boolean isOnlyCrash(Entry entry) {
		return suspectedRequest(entry).entries.size() == 1;
	}

	private SuspectedRequest suspectedRequest(Entry entry) {
		return this.suspectedRequests.get(entry.request());
	}

	/**
	 * Records that the store has a row in this state or a later one.
	 * @param row the row
	 */
	public void writeCommitted(Evidence row) {
		find(row.crash()).ifPresent((entry) -> {
			entry.hasRow = true;
			entry.stored |= entry.evidence.state() == row.state();
		});
	}

	/**
	 * Records that a write failed or its outcome is unknown, and schedules a retry.
	 * @param row the row
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void writeFailed(Evidence row, long nowNanos) {
		find(row.crash()).ifPresent((entry) -> entry.scheduleWrite(nowNanos + WRITE_RETRY_INTERVAL_NANOS));
	}

	/**
	 * Returns the recent observations of this process to be reported to the other
	 * processes, those of requests with the most crashes first.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the updates
	 */
	public List<Evidence> updates(long nowNanos) {
		return this.suspectedRequests.values()
			.stream()
			.sorted(Comparator.comparingInt((SuspectedRequest suspect) -> -suspect.entries.size()))
			.flatMap((suspect) -> suspect.entries.values().stream())
			.filter((entry) -> entry.isReportDue(nowNanos))
			.limit(MAX_UPDATES)
			.map((entry) -> entry.evidence)
			.toList();
	}

	// -- expiry

	/**
	 * Removes suspected crashes that were not confirmed in time, and cleared evidence
	 * that has no row in the store.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the requests whose evidence was removed, once for each removed entry
	 */
	public List<RequestDigest> expire(long nowNanos) {
		this.unsettled.removeIf(Entry::isSettled);
		List<Crash> expired = this.unsettled.stream()
			.filter((entry) -> entry.isExpired(nowNanos))
			.map((entry) -> entry.evidence.crash())
			.toList();
		expired.forEach(this::remove);
		return expired.stream().map(Crash::request).toList();
	}

	// -- queries

	/**
	 * Returns whether a request is quarantined; for the final check before it is sent.
	 * May be called on any thread.
	 * @param request the request
	 * @return true if the request must not be sent, except as a probe
	 */
	public boolean isQuarantined(RequestDigest request) {
		return !this.quarantined.isEmpty() && this.quarantined.contains(request);
	}

	/**
	 * Decides whether a request may be sent.
	 * @param request the request
	 * @return the decision
	 */
	public QuarantineDecision decide(RequestDigest request) {
		SuspectedRequest suspect = this.suspectedRequests.get(request);
		if (suspect == null) {
			return QuarantineDecision.Allowed.UNSUSPECTED;
		}
		List<Evidence> uncleared = suspect.unclearedEvidence();
		List<Incarnation> servers = uncleared.stream().map((counted) -> counted.crash().server()).toList();
		if (uncleared.size() < QUARANTINE_THRESHOLD) {
			return new QuarantineDecision.Allowed(servers);
		}
		boolean mayProbe = !suspect.probeGranted && areSimultaneous(uncleared);
		return mayProbe ? new QuarantineDecision.Probe(servers) : new QuarantineDecision.Quarantined(servers);
	}

	/**
	 * Returns the evidence of a crash.
	 * @param crash the crash
	 * @return the evidence, empty if there is none
	 */
	public Optional<Evidence> evidence(Crash crash) {
		return find(crash).map((entry) -> entry.evidence);
	}

	/**
	 * Returns all evidence.
	 * @return the evidence by request, in the order in which the requests were added
	 */
	public Map<RequestDigest, List<Evidence>> allEvidence() {
		Map<RequestDigest, List<Evidence>> all = new LinkedHashMap<>();
		this.suspectedRequests.forEach((request, suspect) -> all.put(request,
				suspect.entries.values().stream().map((entry) -> entry.evidence).toList()));
		return all;
	}

	/**
	 * Returns the number of requests in the table.
	 * @return the number of requests
	 */
	public int size() {
		return this.suspectedRequests.size();
	}

	/**
	 * Returns the number of quarantined requests, including those that may be probed. May
	 * be called on any thread.
	 * @return the number of requests
	 */
	public int quarantinedCount() {
		return this.quarantined.size();
	}

	private static boolean areSimultaneous(List<Evidence> sorted) {
		return sorted.getLast().atMillis() - sorted.getFirst().atMillis() <= SIMULTANEITY_WINDOW_MILLIS;
	}

	// -- entries

	private Optional<Entry> find(Crash crash) {
		return Optional.ofNullable(this.suspectedRequests.get(crash.request()))
			.map((suspect) -> suspect.entries.get(crash.server()));
	}

	private List<Entry> entriesOf(Incarnation server) {
		return this.byServer.getOrDefault(server, List.of())
			.stream()
			.map((request) -> find(new Crash(request, server)))
			.flatMap(Optional::stream)
			.toList();
	}

	private Entry add(Evidence evidence, long nowNanos) {
		evictIfFull();
		Entry entry = new Entry(evidence, nowNanos);
		Crash crash = evidence.crash();
		this.suspectedRequests.computeIfAbsent(crash.request(), (_) -> new SuspectedRequest()).entries
			.put(crash.server(), entry);
		this.byServer.computeIfAbsent(crash.server(), (_) -> new ArrayList<>()).add(crash.request());
		this.unsettled.add(entry);
		updateQuarantine(crash.request());
		return entry;
	}

	private List<Evidence> changeState(Collection<Entry> entries, State state, long nowNanos) {
		List<Evidence> changed = new ArrayList<>();
		for (Entry entry : List.copyOf(entries)) {
			if (entry.evidence.state().compareTo(state) >= 0) {
				continue;
			}
			boolean isUnreported = entry.evidence.state() == State.SUSPECTED && state == State.CLEARED;
			entry.changeState(state, nowNanos);
			this.unsettled.add(entry);
			changed.add(entry.evidence);
			if (isUnreported) {
				remove(entry.evidence.crash());
			}
			updateQuarantine(entry.request());
		}
		return changed;
	}

	private void remove(Crash crash) {
		SuspectedRequest suspect = this.suspectedRequests.get(crash.request());
		removeFromIndexes(suspect.entries.remove(crash.server()));
		if (suspect.entries.isEmpty() && !suspect.probeGranted) {
			this.suspectedRequests.remove(crash.request());
		}
		updateQuarantine(crash.request());
	}

	private void updateQuarantine(RequestDigest request) {
		switch (decide(request)) {
			case QuarantineDecision.Allowed _ -> this.quarantined.remove(request);
			case QuarantineDecision.Probe _, QuarantineDecision.Quarantined _ -> this.quarantined.add(request);
		}
	}

	private void evictIfFull() {
		if (this.suspectedRequests.size() < MAX_REQUESTS) {
			return;
		}
		evictFirst((suspect) -> suspect.unclearedEvidence().isEmpty());
		for (int crashes = 1; this.suspectedRequests.size() >= MAX_REQUESTS; crashes++) {
			int limit = crashes;
			evictFirst((suspect) -> suspect.entries.size() <= limit);
		}
	}

	private void evictFirst(Predicate<SuspectedRequest> condition) {
		for (Iterator<SuspectedRequest> it = this.suspectedRequests.values().iterator(); it.hasNext();) {
			SuspectedRequest suspect = it.next();
			if (condition.test(suspect)) {
				it.remove();
				suspect.entries.values().forEach((entry) -> {
					removeFromIndexes(entry);
					this.quarantined.remove(entry.request());
				});
				return;
			}
		}
	}

	private void removeFromIndexes(Entry entry) {
		this.unsettled.remove(entry);
		Crash crash = entry.evidence.crash();
		List<RequestDigest> requests = this.byServer.get(crash.server());
		requests.remove(crash.request());
		if (requests.isEmpty()) {
			this.byServer.remove(crash.server());
		}
	}

}
