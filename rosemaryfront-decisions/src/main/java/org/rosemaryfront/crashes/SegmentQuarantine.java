package org.rosemaryfront.crashes;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.rosemaryfront.dispatch.BackendServer.Incarnation;

/**
 * The segments of prompts that are quarantined, given the evidence of a
 * {@link CrashTable}.
 *
 * <p>
 * A segment can crash every server that begins to respond to it, while no two requests
 * with it are equal. A server that crashes had many segments, most of them harmless.
 * Those to which some server responded are cleared, and those that are left are chosen so
 * that few of them explain all crashes, the one with the most crashes first: a crash that
 * a quarantined segment explains does not count against any other segment or request.
 *
 * <p>
 * Segments that crashed servers together in the same requests cannot be told apart, so
 * only requests with all of them are quarantined. Requests with some of them are served,
 * which shows the harmless ones.
 *
 * <p>
 * Not thread-safe, except for {@link #hold} and {@link #holds}.
 */
public final class SegmentQuarantine {

	/**
	 * The number of crashes at which a segment is quarantined. Calls that share one or
	 * two crashed servers with a harmful call are common.
	 */
	private static final int QUARANTINE_THRESHOLD = 3;

	/** The number of different requests under which a segment must have crashed. */
	private static final int MIN_REQUESTS = 2;

	/** The number of crashes in which segments may differ that always occur together. */
	private static final int MAX_DIFFERENT_CRASHES = 1;

	/**
	 * The number of crashes from which no probe is sent any more, so that the sum over
	 * all processes and their restarts stays small for a harmful segment.
	 */
	private static final int MAX_CRASHES_WITH_PROBE = 5;

	/** The time after the last crash before a probe is sent, in milliseconds. */
	private static final long PROBE_DELAY_MILLIS = 30_000;

	/** The maximum number of servers whose requests are kept. */
	private static final int MAX_SERVERS = 512;

	/** The uncleared evidence against each segment, oldest first. */
	private final Map<SegmentSuspect, List<Evidence>> evidence = new LinkedHashMap<>();

	/**
	 * The suspected segments of each request that a server had when it crashed. The table
	 * keeps one request for each segment and server; this keeps all, because it shows
	 * which segments occur together.
	 */
	private final Map<Incarnation, Map<RequestDigest, Set<PromptSegment>>> requests = new LinkedHashMap<>();

	private Set<Incarnation> explained = Set.of();

	private volatile List<Hold> holds = List.of();

	private SegmentQuarantine() {
	}

	static SegmentQuarantine empty() {
		return new SegmentQuarantine();
	}

	/**
	 * Records that a request had a segment when its server crashed, also if the table
	 * already has evidence of the segment and the server.
	 * @param observed the evidence
	 */
	void observe(Evidence observed) {
		if (observed.crash().suspect() instanceof SegmentSuspect suspect) {
			this.requests.computeIfAbsent(observed.crash().server(), (_) -> new HashMap<>())
				.computeIfAbsent(observed.request(), (_) -> new HashSet<>())
				.add(suspect.segment());
			if (this.requests.size() > MAX_SERVERS) {
				this.requests.remove(this.requests.keySet().iterator().next());
			}
		}
	}

	/**
	 * Replaces the evidence against a segment.
	 * @param suspect the segment
	 * @param uncleared the evidence that counts against it, oldest first
	 * @return the servers whose crashes are now explained and were not before, or the
	 * other way round
	 */
	Set<Incarnation> update(SegmentSuspect suspect, List<Evidence> uncleared) {
		if (uncleared.isEmpty()) {
			this.evidence.remove(suspect);
		}
		else {
			this.evidence.put(suspect, uncleared);
		}
		List<Hold> found = cover(crashesBySegment());
		if (!found.equals(this.holds)) {
			this.holds = List.copyOf(found);
		}
		Set<Incarnation> before = this.explained;
		this.explained = found.stream().flatMap((hold) -> hold.servers().stream()).collect(Collectors.toSet());
		return difference(before, this.explained);
	}

	private static Set<Incarnation> difference(Set<Incarnation> one, Set<Incarnation> other) {
		Set<Incarnation> changed = new HashSet<>(one);
		changed.addAll(other);
		changed.removeIf((server) -> one.contains(server) && other.contains(server));
		return changed;
	}

	// -- queries

	/**
	 * Returns why a request must not be sent. May be called on any thread.
	 * @param segments the segments of its prompt
	 * @return the quarantined segments that the prompt has together, empty if the request
	 * may be sent
	 */
	public Optional<Hold> hold(Collection<PromptSegment> segments) {
		return this.holds.stream().filter((hold) -> segments.containsAll(hold.segments())).findFirst();
	}

	/**
	 * Returns whether a segment is quarantined, alone or together with others. May be
	 * called on any thread.
	 * @param segment the segment
	 * @return true if it belongs to a hold
	 */
	boolean isHeld(PromptSegment segment) {
		return this.holds.stream().anyMatch((hold) -> hold.segments().contains(segment));
	}

	/**
	 * Returns the number of crashes that count against a segment.
	 * @param suspect the segment at one version
	 * @return the number, including crashes that another segment explains
	 */
	public int crashes(SegmentSuspect suspect) {
		return this.evidence.getOrDefault(suspect, List.of()).size();
	}

	/**
	 * Returns the number of segments that crashes count against.
	 * @return the number
	 */
	public int suspectCount() {
		return this.evidence.size();
	}

	/**
	 * Returns the segments that are quarantined.
	 * @return the segments, those with the most crashes first; the same list until it
	 * changes
	 */
	public List<Hold> holds() {
		return this.holds;
	}

	/**
	 * Returns whether a quarantined segment explains a crash.
	 * @param server the server that crashed
	 * @return true if its crash does not count against anything else
	 */
	boolean isExplained(Incarnation server) {
		return this.explained.contains(server);
	}

	// -- the choice of segments

	// A segment that crashes the servers of several versions is one segment.
	private Map<PromptSegment, Map<Incarnation, Evidence>> crashesBySegment() {
		Map<PromptSegment, Map<Incarnation, Evidence>> crashes = new LinkedHashMap<>();
		this.evidence.forEach((suspect, uncleared) -> uncleared
			.forEach((counted) -> crashes.computeIfAbsent(suspect.segment(), (_) -> new HashMap<>())
				.put(counted.crash().server(), counted)));
		return crashes;
	}

	private List<Hold> cover(Map<PromptSegment, Map<Incarnation, Evidence>> crashes) {
		Map<PromptSegment, Integer> counts = new HashMap<>();
		crashes.forEach((segment, servers) -> counts.put(segment, servers.size()));
		List<Hold> found = new ArrayList<>();
		for (Optional<PromptSegment> worst = worst(crashes); worst.isPresent(); worst = worst(crashes)) {
			Map<Incarnation, Evidence> explained = Map.copyOf(crashes.get(worst.get()));
			Set<PromptSegment> together = together(worst.get(), explained.keySet(), crashes.keySet());
			long last = explained.values().stream().mapToLong(Evidence::atMillis).max().orElseThrow();
			found.add(new Hold(together, explained.keySet(), counts.get(worst.get()), last));
			crashes.values().forEach((open) -> open.keySet().removeAll(explained.keySet()));
		}
		return found;
	}

	private static Optional<PromptSegment> worst(Map<PromptSegment, Map<Incarnation, Evidence>> crashes) {
		return crashes.entrySet()
			.stream()
			.filter((entry) -> isQuarantined(entry.getValue().values()))
			.max(Comparator.comparingInt((entry) -> entry.getValue().size()))
			.map(Map.Entry::getKey);
	}

	private static boolean isQuarantined(Collection<Evidence> crashes) {
		long requests = crashes.stream().map(Evidence::request).distinct().count();
		return crashes.size() >= QUARANTINE_THRESHOLD && requests >= MIN_REQUESTS && !areSimultaneous(crashes);
	}

	private static boolean areSimultaneous(Collection<Evidence> crashes) {
		LongSummaryStatistics at = crashes.stream().mapToLong(Evidence::atMillis).summaryStatistics();
		return at.getMax() - at.getMin() <= SuspectEvidence.SIMULTANEITY_WINDOW_MILLIS;
	}

	// The segments that occurred in the same requests as the worst one, but for a few
	// crashes.
	private Set<PromptSegment> together(PromptSegment worst, Set<Incarnation> servers, Set<PromptSegment> candidates) {
		return candidates.stream().filter((segment) -> {
			long different = servers.stream().filter((server) -> !isTogether(worst, segment, server)).count();
			return different <= MAX_DIFFERENT_CRASHES;
		}).collect(Collectors.toSet());
	}

	private boolean isTogether(PromptSegment one, PromptSegment other, Incarnation server) {
		return this.requests.getOrDefault(server, Map.of())
			.values()
			.stream()
			.anyMatch((segments) -> segments.contains(one) && segments.contains(other));
	}

	/**
	 * Segments that are quarantined where they occur together.
	 *
	 * @param segments the segments
	 * @param servers the servers that crashed under them and under no other hold
	 * @param crashes the number of all servers that crashed under them
	 * @param lastCrashMillis the time of the last crash, in milliseconds since 1970
	 */
	public record Hold(Set<PromptSegment> segments, Set<Incarnation> servers, int crashes, long lastCrashMillis) {

		public Hold {
			segments = Set.copyOf(segments);
			servers = Set.copyOf(servers);
		}

		/**
		 * Returns whether one request may be sent as a probe, since servers may have
		 * crashed for other reasons.
		 * @param epochMillis the current time of day, in milliseconds since 1970
		 * @return true if the crashes are over and were few
		 */
		public boolean mayProbe(long epochMillis) {
			return this.servers.size() < MAX_CRASHES_WITH_PROBE
					&& epochMillis - this.lastCrashMillis >= PROBE_DELAY_MILLIS;
		}

		/**
		 * Returns the digest by which the probe is known.
		 * @return the digest of all segments
		 */
		public RequestDigest digest() {
			String digests = this.segments.stream()
				.map((segment) -> segment.digest().toString())
				.sorted()
				.collect(Collectors.joining(","));
			return RequestDigest.begin("segments", "", "", digests).end();
		}

	}

}
