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
import java.util.function.Predicate;

import org.rosemaryfront.crashes.Evidence.State;
import org.rosemaryfront.crashes.SuspectEvidence.Entry;
import org.rosemaryfront.dispatch.BackendServer.Incarnation;

/**
 * Tracks the requests and segments of prompts that servers had when they crashed, and
 * quarantines those that probably caused the crashes.
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
	 * The maximum number of updates in one report, which keeps it well below the size of
	 * a datagram.
	 */
	private static final int MAX_UPDATES = 16;

	/**
	 * The maximum number of suspects in the table, about 300 bytes each. Those with the
	 * fewest crashes are evicted first.
	 */
	private static final int MAX_SUSPECTS = 4_096;

	/**
	 * The number of stored suspects with a single crash at which this process stops
	 * writing more of them; suspects with more crashes are always written.
	 */
	private static final int MAX_SINGLE_CRASH_ROWS = 1_024;

	private final Map<CrashSuspect, SuspectEvidence> suspects = new LinkedHashMap<>();

	/** The suspects that each server had when it crashed, or may have crashed. */
	private final Map<Incarnation, List<CrashSuspect>> byServer = new HashMap<>();

	/**
	 * The entries that may still be written or may expire. They are scanned many times a
	 * second, and nearly all entries need neither.
	 */
	private final Set<Entry> unsettled = new LinkedHashSet<>();

	/**
	 * The quarantined requests, including those that may be probed; read on any thread.
	 */
	private final Set<RequestDigest> quarantined = ConcurrentHashMap.newKeySet();

	private final SegmentQuarantine segments = SegmentQuarantine.empty();

	// -- observations of this process

	/**
	 * Records that a connection broke while its server had a suspect.
	 * @param suspected the evidence
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return whether the caller must check if the server crashed
	 */
	public boolean connectionLost(Evidence suspected, long nowNanos) {
		this.segments.observe(suspected);
		if (find(suspected.crash()).isPresent()) {
			return false;
		}
		add(suspected, nowNanos);
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
	 * Clears the evidence against a suspect that got a complete response or was released
	 * by an operator.
	 * @param cleared the suspect
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the evidence that this clears
	 */
	public List<Evidence> clear(CrashSuspect cleared, long nowNanos) {
		return changeState(evidenceAgainst(cleared).entries.values(), State.CLEARED, nowNanos);
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
	 * Records that the store has lost the row of a crash. The evidence stays, and is
	 * written again.
	 * @param crash the crash that the row described
	 * @param writeNanos the time from which on it is written, unless another process did
	 */
	public void rowLost(Crash crash, long writeNanos) {
		find(crash).ifPresent((entry) -> {
			entry.rowLost(writeNanos);
			this.unsettled.add(entry);
		});
	}

	/**
	 * Records whether the single probe of a request has been granted.
	 * @param request the request
	 * @param granted whether a process has, or had, the probe
	 */
	public void setProbeGranted(RequestDigest request, boolean granted) {
		if (granted) {
			this.suspects.computeIfAbsent(request, (_) -> new SuspectEvidence()).probeGranted = true;
		}
		else {
			Optional.ofNullable(this.suspects.get(request)).ifPresent((suspect) -> suspect.probeGranted = false);
		}
	}

	// The state of evidence only advances, so updates may be reordered and duplicated.
	private Optional<Entry> merge(Evidence received, long nowNanos) {
		this.segments.observe(received);
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
		updateQuarantine(received.crash().suspect());
		return existing;
	}

	// -- updates for the store and other processes

	/**
	 * Returns the evidence to be written to the store, that of suspects with the most
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
		boolean isFull = this.suspects.values()
			.stream()
			.filter(SuspectEvidence::hasSingleStoredCrash)
			.count() >= MAX_SINGLE_CRASH_ROWS;
		return due.stream()
			.filter((entry) -> !isFull || !isOnlyCrash(entry))
			.sorted(Comparator.comparingInt((Entry entry) -> -evidenceAgainst(entry.suspect()).entries.size()))
			.limit(limit)
			.map((entry) -> entry.evidence)
			.toList();
	}

	private boolean isOnlyCrash(Entry entry) {
		return evidenceAgainst(entry.suspect()).entries.size() == 1;
	}

	private SuspectEvidence evidenceAgainst(CrashSuspect suspect) {
		return this.suspects.getOrDefault(suspect, SuspectEvidence.NONE);
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
		find(row.crash()).ifPresent((entry) -> entry.retryWrite(nowNanos));
	}

	/**
	 * Returns the recent observations of this process to be reported to the other
	 * processes, those of suspects with the most crashes first.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the updates
	 */
	public List<Evidence> updates(long nowNanos) {
		return this.suspects.values()
			.stream()
			.sorted(Comparator.comparingInt((SuspectEvidence suspect) -> -suspect.entries.size()))
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
	 * @return the suspects whose evidence was removed, once for each removed entry
	 */
	public List<CrashSuspect> expire(long nowNanos) {
		this.unsettled.removeIf(Entry::isSettled);
		List<Crash> expired = this.unsettled.stream()
			.filter((entry) -> entry.isExpired(nowNanos))
			.map((entry) -> entry.evidence.crash())
			.toList();
		expired.forEach(this::remove);
		return expired.stream().map(Crash::suspect).toList();
	}

	// -- queries

	/**
	 * Returns whether a request is quarantined, or a segment together with others; for
	 * the final check before a request is sent. May be called on any thread.
	 * @param suspect the request or the segment
	 * @return true if the request must not be sent, except as a probe
	 */
	public boolean isQuarantined(CrashSuspect suspect) {
		return switch (suspect) {
			case RequestDigest request -> this.quarantined.contains(request);
			case SegmentSuspect segment -> this.segments.isHeld(segment.segment());
		};
	}

	/**
	 * Decides whether a request may be sent.
	 * @param request the request
	 * @return the decision
	 */
	public QuarantineDecision decide(RequestDigest request) {
		return evidenceAgainst(request).decide(this.segments::isExplained);
	}

	/**
	 * Returns the quarantined segments of prompts.
	 * @return the segments
	 */
	public SegmentQuarantine segments() {
		return this.segments;
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
	 * @return the evidence by suspect, in the order in which the suspects were added
	 */
	public Map<CrashSuspect, List<Evidence>> allEvidence() {
		Map<CrashSuspect, List<Evidence>> all = new LinkedHashMap<>();
		this.suspects.forEach((suspect, evidence) -> all.put(suspect,
				evidence.entries.values().stream().map((entry) -> entry.evidence).toList()));
		return all;
	}

	/**
	 * Returns the number of suspects in the table.
	 * @return the number of suspects
	 */
	public int size() {
		return this.suspects.size();
	}

	/**
	 * Returns the number of quarantined requests, including those that may be probed. May
	 * be called on any thread.
	 * @return the number of requests
	 */
	public int quarantinedCount() {
		return this.quarantined.size();
	}

	// -- entries

	private Optional<Entry> find(Crash crash) {
		return Optional.ofNullable(this.suspects.get(crash.suspect()))
			.map((suspect) -> suspect.entries.get(crash.server()));
	}

	private List<Entry> entriesOf(Incarnation server) {
		return this.byServer.getOrDefault(server, List.of())
			.stream()
			.map((suspect) -> find(new Crash(suspect, server)))
			.flatMap(Optional::stream)
			.toList();
	}

	private Entry add(Evidence evidence, long nowNanos) {
		evictIfFull();
		Entry entry = new Entry(evidence, nowNanos);
		Crash crash = evidence.crash();
		this.suspects.computeIfAbsent(crash.suspect(), (_) -> new SuspectEvidence()).entries.put(crash.server(), entry);
		this.byServer.computeIfAbsent(crash.server(), (_) -> new ArrayList<>()).add(crash.suspect());
		this.unsettled.add(entry);
		updateQuarantine(crash.suspect());
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
			updateQuarantine(entry.suspect());
		}
		return changed;
	}

	private void remove(Crash crash) {
		SuspectEvidence suspect = this.suspects.get(crash.suspect());
		removeFromIndexes(suspect.entries.remove(crash.server()));
		if (suspect.entries.isEmpty() && !suspect.probeGranted) {
			this.suspects.remove(crash.suspect());
		}
		updateQuarantine(crash.suspect());
	}

	private void updateQuarantine(CrashSuspect suspect) {
		switch (suspect) {
			case RequestDigest request -> updateQuarantine(request);
			case SegmentSuspect segment -> this.segments.update(segment, evidenceAgainst(segment).unclearedEvidence())
				.stream()
				.flatMap((server) -> this.byServer.getOrDefault(server, List.of()).stream())
				.filter(RequestDigest.class::isInstance)
				.forEach((request) -> updateQuarantine((RequestDigest) request));
		}
	}

	private void updateQuarantine(RequestDigest request) {
		if (decide(request) instanceof QuarantineDecision.Allowed) {
			this.quarantined.remove(request);
		}
		else {
			this.quarantined.add(request);
		}
	}

	private void evictIfFull() {
		if (this.suspects.size() < MAX_SUSPECTS) {
			return;
		}
		evictFirst((suspect) -> suspect.unclearedEvidence().isEmpty());
		for (int crashes = 1; this.suspects.size() >= MAX_SUSPECTS; crashes++) {
			int limit = crashes;
			evictFirst((suspect) -> suspect.entries.size() <= limit);
		}
	}

	private void evictFirst(Predicate<SuspectEvidence> condition) {
		for (Iterator<SuspectEvidence> it = this.suspects.values().iterator(); it.hasNext();) {
			SuspectEvidence suspect = it.next();
			if (condition.test(suspect)) {
				it.remove();
				List.copyOf(suspect.entries.values()).forEach((entry) -> {
					removeFromIndexes(entry);
					updateQuarantine(entry.suspect());
				});
				return;
			}
		}
	}

	private void removeFromIndexes(Entry entry) {
		this.unsettled.remove(entry);
		Crash crash = entry.evidence.crash();
		List<CrashSuspect> suspectsOfServer = this.byServer.get(crash.server());
		suspectsOfServer.remove(crash.suspect());
		if (suspectsOfServer.isEmpty()) {
			this.byServer.remove(crash.server());
		}
	}

}
