package org.rosemaryfront.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.speeds.ServerSpeed;
import org.rosemaryfront.speeds.SpeedSample;
import org.rosemaryfront.speeds.SpeedTable;
import org.rosemaryfront.speeds.SpeedTable.SpeedChange;

/**
 * The backend servers that can receive calls, built from their registrations, and their
 * load. Times are on the monotonic clock, in nanoseconds.
 */
public final class BackendTable {

	/**
	 * The time after an outage of the registry within which servers whose registrations
	 * lapsed during the outage register again.
	 */
	private static final long REREGISTRATION_NANOS = TimeUnit.MILLISECONDS.toNanos(2_200);

	/**
	 * The maximum retention of a server whose registration ended. If the server was
	 * terminated it must get no calls two seconds later; the remaining 0.4 s is for calls
	 * in progress.
	 */
	private static final long LAPSED_RETENTION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_600);

	/**
	 * How long a server gets no new calls after a failure, doubled for each consecutive
	 * failure up to {@link #MAX_AVOIDANCE_DOUBLINGS} times. Long enough to keep calls
	 * from a terminated server whose registration has not lapsed yet, short enough to
	 * notice soon that it is available again.
	 */
	private static final long AVOIDANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

	private static final int MAX_AVOIDANCE_DOUBLINGS = 4;

	/**
	 * How long a crashed server gets no calls unless no other server is left: longer than
	 * a registration lasts without heartbeats.
	 */
	private static final long CRASH_AVOIDANCE_NANOS = TimeUnit.SECONDS.toNanos(4);

	/**
	 * Consecutive failures before a server is avoided; a single one may be caused by the
	 * call itself.
	 */
	private static final int AVOIDANCE_THRESHOLD = 2;

	/**
	 * Added to measured and expected times before they are compared, in milliseconds: a
	 * busy machine of this process delays any call by this much.
	 */
	private static final double JITTER_MILLIS = 10;

	/**
	 * The maximum number of servers whose last registration is retained; the oldest
	 * entries are evicted first.
	 */
	private static final int MAX_LATEST_REGISTRATIONS = 8_192;

	private final Map<String, BackendRow> rows = new LinkedHashMap<>();

	/** The use of servers by each other process according to its last report. */
	private final Map<String, Map<Incarnation, BackendUse>> usesByProcess = new HashMap<>();

	/** The last registration of each server, including servers that were removed. */
	private final Map<String, BackendServer> latestRegistrations = new LinkedHashMap<>();

	private final SegmentUpdates segmentUpdates = new SegmentUpdates();

	private final ServerNotices notices = new ServerNotices();

	private final SpeedTable speeds = SpeedTable.empty();

	private long invalidSpeeds;

	private SlotShares slotShares = SlotShares.ALONE;

	/** The number of calls sent so far, to all servers. */
	private long sent;

	// -- registrations

	/**
	 * Adds or updates a server from its registration.
	 * @param server the server
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return true if the server is new or its registration changed
	 */
	public boolean recordRegistration(BackendServer server, long nowNanos) {
		return put(server, OptionalLong.of(nowNanos));
	}

	/**
	 * Adds a server that was registered before this process first read the registry, so
	 * that the time of its registration is unknown.
	 * @param server the server
	 * @return true if the server is new or its registration changed
	 */
	public boolean recordExistingRegistration(BackendServer server) {
		return put(server, OptionalLong.empty());
	}

	// A server that restarts under its id has none of the calls and cached prompts
	// recorded for it. Calls that were still counted would keep new calls away, or their
	// ends would be counted against calls that the new run really executes.
	private boolean put(BackendServer registered, OptionalLong registeredNanos) {
		if (isOutdated(registered)) {
			return false;
		}
		recordLatest(registered);
		BackendServer server = this.notices.isLeaving(registered.incarnation()) ? registered.withLeaving() : registered;
		BackendRow existing = this.rows.get(server.id());
		if (existing == null || isRestart(server)) {
			this.rows.put(server.id(), new BackendRow(server, registeredNanos));
			retainSpeeds();
			return true;
		}
		boolean changed = !existing.server.hasSameContent(server) || existing.removeAtNanos.isPresent()
				|| existing.invalidRegistration;
		existing.server = server;
		existing.removeAtNanos = OptionalLong.empty();
		existing.invalidRegistration = false;
		return changed;
	}

	private void recordLatest(BackendServer server) {
		this.latestRegistrations.remove(server.id());
		this.latestRegistrations.put(server.id(), server);
		if (this.latestRegistrations.size() > MAX_LATEST_REGISTRATIONS) {
			this.latestRegistrations.remove(this.latestRegistrations.keySet().iterator().next());
		}
	}

	/**
	 * Returns whether a registration is older than one already processed. A heartbeat may
	 * be written late, after the registration that marks the server as leaving or after
	 * the registration ended.
	 * @param server the server as described by the registration
	 * @return true if the registration must be ignored
	 */
	public boolean isOutdated(BackendServer server) {
		return Optional.ofNullable(this.latestRegistrations.get(server.id()))
			.filter(server::isSupersededBy)
			.isPresent();
	}

	/**
	 * Returns whether the table holds another run of the server under the same id.
	 * @param server the server
	 * @return true if the registration is the first one after a restart
	 */
	public boolean isRestart(BackendServer server) {
		return find(server.id()).filter((existing) -> !existing.incarnation().equals(server.incarnation())).isPresent();
	}

	/**
	 * Handles a registration that cannot be parsed: the server gets no new calls until a
	 * valid registration arrives.
	 * @param id the id of the server
	 */
	public void recordInvalidRegistration(String id) {
		Optional.ofNullable(this.rows.get(id)).ifPresent((row) -> row.invalidRegistration = true);
	}

	/**
	 * Handles the end of a registration. The server is removed immediately, unless its
	 * registration may have lapsed only because the registry was unavailable.
	 * @param id the id of the server
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @param returnedNanos when the registry last became available again, empty if it was
	 * never unavailable
	 * @return the remaining time for which the server is retained, in nanoseconds
	 */
	public long recordLapse(String id, long nowNanos, OptionalLong returnedNanos) {
		BackendRow row = this.rows.get(id);
		if (row != null && row.removeAtNanos.isEmpty()) {
			long remainingNanos = returnedNanos.isPresent()
					? returnedNanos.getAsLong() + REREGISTRATION_NANOS - nowNanos : 0;
			row.removeAtNanos = OptionalLong.of(nowNanos + Math.clamp(remainingNanos, 0, LAPSED_RETENTION_NANOS));
		}
		return (row != null) ? Math.max(0, row.removeAtNanos.getAsLong() - nowNanos) : 0;
	}

	/**
	 * Removes the servers whose retention time is over.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the servers removed
	 */
	public List<BackendServer> removeExpired(long nowNanos) {
		List<BackendServer> dropped = new ArrayList<>();
		this.rows.values().removeIf((row) -> {
			boolean expired = row.removeAtNanos.isPresent() && nowNanos - row.removeAtNanos.getAsLong() >= 0;
			if (expired) {
				dropped.add(row.server);
			}
			return expired;
		});
		if (!dropped.isEmpty()) {
			retainSpeeds();
		}
		return dropped;
	}

	// -- load

	/**
	 * Records that a call was sent to a server.
	 * @param server the run of the server
	 * @param uncachedTokens the prompt tokens that the server has to prefill for the call
	 */
	public void recordCallSent(Incarnation server, long uncachedTokens) {
		row(server).ifPresent((row) -> {
			row.ownCalls++;
			row.lastCallNumber = ++this.sent;
			row.ownUncachedTokens += uncachedTokens;
		});
	}

	/**
	 * Records that a server prefills or transfers prompt segments for a call.
	 * @param server the run of the server
	 * @param prefix the segments
	 * @param cacheCapacityTokens the capacity of the server's KV cache, in tokens
	 */
	public void recordPrefillStart(Incarnation server, PromptPrefix prefix, long cacheCapacityTokens) {
		row(server).ifPresent((row) -> prefix.segments().forEach((segment) -> {
			if (row.cachedSegments.add(segment, cacheCapacityTokens)) {
				this.segmentUpdates.add(server, segment);
			}
		}));
	}

	/**
	 * Records segments that a server prefilled for another process.
	 * @param server the run of the server
	 * @param segments the segments
	 * @param cacheCapacityTokens the capacity of the server's KV cache, in tokens
	 */
	public void recordPeerPrefill(Incarnation server, List<PromptPrefix.Segment> segments, long cacheCapacityTokens) {
		row(server)
			.ifPresent((row) -> segments.forEach((segment) -> row.cachedSegments.add(segment, cacheCapacityTokens)));
	}

	/**
	 * Returns the segments that servers recently prefilled for this process, to be
	 * reported to the other processes, and removes them from the pending updates.
	 * @return the segments by run of a server
	 */
	public Map<Incarnation, List<PromptPrefix.Segment>> takeSegmentUpdates() {
		return this.segmentUpdates.take();
	}

	/**
	 * Records that a server has prefilled the prompt of a call.
	 * @param server the run of the server
	 * @param uncachedTokens the tokens recorded when the call was sent
	 */
	public void recordPrefillEnd(Incarnation server, long uncachedTokens) {
		row(server).ifPresent((row) -> row.ownUncachedTokens = Math.max(0, row.ownUncachedTokens - uncachedTokens));
	}

	/**
	 * Records that a call ended.
	 * @param server the run of the server
	 * @param failed whether the call failed because of the server
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void recordCallEnd(Incarnation server, boolean failed, long nowNanos) {
		row(server).ifPresent((row) -> recordCallEnd(row, failed, nowNanos));
	}

	private static void recordCallEnd(BackendRow row, boolean failed, long nowNanos) {
		row.ownCalls = Math.max(0, row.ownCalls - 1);
		row.consecutiveFailures = failed ? row.consecutiveFailures + 1 : 0;
		if (row.consecutiveFailures >= AVOIDANCE_THRESHOLD) {
			long nanos = AVOIDANCE_NANOS << Math.min(MAX_AVOIDANCE_DOUBLINGS,
					row.consecutiveFailures - AVOIDANCE_THRESHOLD);
			row.avoidUntil(nowNanos + nanos);
		}
	}

	/**
	 * Records that a server crashed. Until its registration lapses it stays in the table
	 * for some seconds, and each call sent to it costs a round trip.
	 * @param server the run of the server
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void recordCrash(Incarnation server, long nowNanos) {
		row(server).ifPresent((row) -> row.avoidUntil(nowNanos + CRASH_AVOIDANCE_NANOS));
	}

	/**
	 * Records that a server assumed to have crashed is alive.
	 * @param server the run of the server
	 */
	public void recordAlive(Incarnation server) {
		row(server).ifPresent((row) -> row.avoidUntilNanos = OptionalLong.empty());
	}

	/**
	 * Records that the caller cancelled a call, which is not counted as a failure or
	 * success of the server.
	 * @param server the run of the server
	 */
	public void recordCallCancelled(Incarnation server) {
		row(server).ifPresent((row) -> row.ownCalls = Math.max(0, row.ownCalls - 1));
	}

	/**
	 * Replaces the use of the servers reported by another process.
	 * @param process the other process
	 * @param uses its use by run of a server, which must not be changed afterwards;
	 * servers that are absent are not used by it
	 */
	public void recordPeerUse(String process, Map<Incarnation, BackendUse> uses) {
		Map<Incarnation, BackendUse> previous = this.usesByProcess.getOrDefault(process, Map.of());
		for (Incarnation server : previous.keySet()) {
			Optional<BackendRow> row = uses.containsKey(server) ? Optional.empty() : row(server);
			if (row.isPresent()) {
				row.get().removePeerUse(process);
			}
		}
		for (Map.Entry<Incarnation, BackendUse> use : uses.entrySet()) {
			Optional<BackendRow> row = row(use.getKey());
			if (row.isPresent()) {
				row.get().recordPeerUse(process, use.getValue());
			}
		}
		this.usesByProcess.put(process, uses);
	}

	/**
	 * Returns the use of the servers by this process.
	 * @return the use by run of a server, without servers that have no call of this
	 * process
	 */
	public Map<Incarnation, BackendUse> ownUse() {
		Map<Incarnation, BackendUse> uses = new HashMap<>();
		for (BackendRow row : this.rows.values()) {
			if (row.ownCalls > 0) {
				uses.put(row.server.incarnation(), new BackendUse(row.ownCalls, row.ownUncachedTokens));
			}
		}
		return uses;
	}

	// -- speeds

	/**
	 * Records the response time of a call.
	 * @param server the run of the server
	 * @param typicalMillis the time expected of a typical server of the service, in
	 * milliseconds
	 * @param millis the measured time, in milliseconds
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void recordResponseTime(Incarnation server, double typicalMillis, double millis, long nowNanos) {
		row(server).ifPresent((row) -> this.speeds.record(server, row.server.service(),
				(JITTER_MILLIS + millis) / (JITTER_MILLIS + typicalMillis), nowNanos));
	}

	/**
	 * Returns the response times measured by this process since the last call of this
	 * method.
	 * @return the samples to report
	 */
	public List<SpeedSample> takeSpeedSamples() {
		return this.speeds.takeSamples();
	}

	/**
	 * Records response times that another process reports. Samples of runs that are not
	 * in the table are ignored.
	 * @param sample the response times
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void recordPeerSpeed(SpeedSample sample, long nowNanos) {
		row(sample.server()).filter((row) -> !this.speeds.receive(sample, row.server.service(), nowNanos))
			.ifPresent((_) -> this.invalidSpeeds++);
	}

	/**
	 * Returns the number of invalid samples reported by other processes.
	 * @return the number since this process started
	 */
	public long invalidSpeeds() {
		return this.invalidSpeeds;
	}

	/**
	 * Returns the servers whose lasting speed has changed considerably since the last
	 * call of this method.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the changes
	 */
	public List<SpeedChange> takeSpeedChanges(long nowNanos) {
		return this.speeds.takeChanges(nowNanos);
	}

	// The time that a server takes, relative to a typical server of its service.
	double timeFactor(BackendServer server, long nowNanos) {
		return this.speeds.timeFactor(server.incarnation(), server.service(), nowNanos);
	}

	double timeFactor(BackendRow row, long nowNanos) {
		return this.speeds.timeFactor(row.incarnation, row.server.service(), nowNanos);
	}

	ServerSpeed speed(BackendServer server, long nowNanos) {
		return this.speeds.speed(server.incarnation(), server.service(), nowNanos);
	}

	private void retainSpeeds() {
		this.speeds
			.retain(this.rows.values().stream().map((row) -> row.server.incarnation()).collect(Collectors.toSet()));
	}

	// -- notices

	/**
	 * Returns what servers have said about whether they want requests.
	 * @return the notices, safe to use on any thread
	 */
	public ServerNotices notices() {
		return this.notices;
	}

	/**
	 * Records that a server has said that it is leaving, whatever its registration says
	 * now or later.
	 * @param server the run of the server
	 */
	public void recordLeaving(Incarnation server) {
		this.notices.recordLeaving(server);
		row(server).ifPresent((row) -> row.server = row.server.withLeaving());
	}

	// -- rejections

	/**
	 * Replaces how slots of servers that must not reject requests are divided.
	 * @param shares the shares
	 */
	public void slotShares(SlotShares shares) {
		this.slotShares = shares;
	}

	SlotShares slotShares() {
		return this.slotShares;
	}

	/**
	 * Records how many rejections per second a server states to withstand.
	 * @param server the run of the server
	 * @param perSecond the number, empty if it withstands any
	 * @return whether this was not known
	 */
	public boolean recordRejectionLimit(Incarnation server, OptionalDouble perSecond) {
		Optional<BackendRow> stating = row(server).filter((row) -> !row.rejections.limit().equals(perSecond));
		stating.ifPresent((row) -> row.rejections.stated(perSecond));
		return stating.isPresent();
	}

	/**
	 * Records that a server rejected a request of this process.
	 * @param server the run of the server
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return whether the server withstands only some rejections, so that other processes
	 * should learn of it
	 */
	public boolean recordRejection(Incarnation server, long nowNanos) {
		Optional<BackendRow> rejecting = row(server);
		rejecting.ifPresent((row) -> row.rejections.recordOwn(nowNanos));
		return rejecting.filter((row) -> row.rejections.limit().isPresent()).isPresent();
	}

	/**
	 * Records the rejections that another process reports. Only a new rejection shows
	 * that the server still withstands no more: processes repeat their counts after it
	 * has stated the opposite.
	 * @param process the other process
	 * @param server the run of the server
	 * @param reported what it reports
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return whether the limit was not known
	 */
	public boolean recordPeerRejections(String process, Incarnation server, RejectionUse reported, long nowNanos) {
		Optional<BackendRow> rejecting = row(server);
		if (rejecting.isEmpty()) {
			return false;
		}
		BackendRow row = rejecting.get();
		Integer before = row.rejectionsByProcess.put(process, reported.count());
		int newRejections = reported.count() - ((before != null) ? before : 0);
		if (newRejections <= 0) {
			return false;
		}
		row.rejections.record(newRejections, nowNanos);
		return row.rejections.limit().isEmpty() && recordRejectionLimit(server, OptionalDouble.of(reported.limit()));
	}

	/**
	 * Returns the rejections per second that servers withstand.
	 * @return the number by run of a server, without servers that withstand any
	 */
	public Map<Incarnation, Double> rejectionLimits() {
		Map<Incarnation, Double> limits = new HashMap<>();
		this.rows.values()
			.forEach((row) -> row.rejections.limit().ifPresent((limit) -> limits.put(row.server.incarnation(), limit)));
		return limits;
	}

	/**
	 * Returns the rejections of this process by servers that withstand only some.
	 * @return what to report by run of a server
	 */
	public Map<Incarnation, RejectionUse> ownRejections() {
		Map<Incarnation, RejectionUse> rejections = new HashMap<>();
		for (BackendRow row : this.rows.values()) {
			if (row.rejections.limit().isPresent() && row.rejections.ownCount() > 0) {
				rejections.put(row.server.incarnation(),
						new RejectionUse(row.rejections.limit().getAsDouble(), row.rejections.ownCount()));
			}
		}
		return rejections;
	}

	/**
	 * Returns whether a server may have failed because it had to reject too many
	 * requests, and not under one of those that it ran.
	 * @param server the run of the server
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return true if it withstands only some rejections and rejected requests of late
	 */
	public boolean mayHaveFailedByRejections(Incarnation server, long nowNanos) {
		return row(server).map((row) -> row.rejections)
			.filter((rejections) -> rejections.limit().isPresent() && rejections.hasRejectedLately(nowNanos))
			.isPresent();
	}

	// -- queries

	/**
	 * Returns a server by its id.
	 * @param id the id of the server
	 * @return the server, empty if it is not in the table
	 */
	public Optional<BackendServer> find(String id) {
		return Optional.ofNullable(this.rows.get(id)).map((row) -> row.server);
	}

	/**
	 * Returns whether a server is expected to stay available.
	 * @param server the run of the server
	 * @return true while it is registered and not leaving
	 */
	public boolean isExpected(Incarnation server) {
		return row(server).filter((row) -> row.removeAtNanos.isEmpty() && !row.server.leaving()).isPresent();
	}

	/**
	 * Returns all servers that are registered or may still register again.
	 * @return the servers
	 */
	public List<BackendServer> servers() {
		return this.rows.values().stream().map((row) -> row.server).toList();
	}

	/**
	 * Returns the servers of a service that are registered or may still register again.
	 * @param service the service
	 * @return the servers
	 */
	public List<BackendServer> serversOf(String service) {
		return servers().stream().filter((server) -> server.service().equals(service)).toList();
	}

	/**
	 * Returns the number of calls of all processes at the servers that match a predicate.
	 * @param filter selects the servers
	 * @return the number of calls
	 */
	public int callsAt(Predicate<BackendServer> filter) {
		return this.rows.values().stream().filter((row) -> filter.test(row.server)).mapToInt(BackendRow::load).sum();
	}

	/**
	 * Returns the number of calls of all processes at the servers of a service.
	 * @param service the service
	 * @return the number of calls
	 */
	public int callsOf(String service) {
		return callsAt((server) -> server.service().equals(service));
	}

	/**
	 * Returns the servers that are eligible for new calls.
	 * @return the servers
	 */
	public List<BackendServer> eligibleServers() {
		return this.rows.values().stream().filter(BackendRow::isEligible).map((row) -> row.server).toList();
	}

	// The servers of a service that are eligible for new calls, without those already
	// tried.
	List<BackendRow> eligibleRows(String service, Collection<String> tried) {
		List<BackendRow> eligible = new ArrayList<>();
		for (BackendRow row : this.rows.values()) {
			if (row.server.service().equals(service) && row.isEligible() && !tried.contains(row.server.id())) {
				eligible.add(row);
			}
		}
		return eligible;
	}

	// The servers of a service that may have segments cached, whether or not they accept
	// new calls.
	List<BackendRow> cacheCandidates(String service) {
		List<BackendRow> candidates = new ArrayList<>();
		for (BackendRow row : this.rows.values()) {
			if (!row.invalidRegistration && row.server.service().equals(service)) {
				candidates.add(row);
			}
		}
		return candidates;
	}

	private Optional<BackendRow> row(Incarnation server) {
		BackendRow row = this.rows.get(server.id());
		return (row != null && row.incarnation.equals(server)) ? Optional.of(row) : Optional.empty();
	}

}
