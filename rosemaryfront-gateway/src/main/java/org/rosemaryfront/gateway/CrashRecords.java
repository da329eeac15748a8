package org.rosemaryfront.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.rosemaryfront.crashes.CrashSuspect;
import org.rosemaryfront.crashes.CrashTable;
import org.rosemaryfront.crashes.Evidence;
import org.rosemaryfront.crashes.Evidence.State;
import org.rosemaryfront.crashes.QuarantineDecision;
import org.rosemaryfront.crashes.RequestDigest;
import org.rosemaryfront.crashes.SegmentQuarantine.Hold;
import org.rosemaryfront.crashes.SegmentSuspect;
import org.rosemaryfront.crashes.SoundSegments;
import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.dispatch.BackendTable;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.gateway.AdminServer.CrashEntry;
import org.rosemaryfront.gateway.AdminServer.Suspect;
import org.rosemaryfront.gateway.proto.CrashNews;
import org.rosemaryfront.ports.RowStore;
import org.rosemaryfront.program.ControlLoop;
import org.rosemaryfront.traffic.Liveness;

/**
 * Detects servers that crash under requests, sends the evidence to the other gateways
 * immediately, and logs when a request is quarantined or released and why. Confined to
 * the control thread.
 */
final class CrashRecords {

	private final BackendTable servers;

	private final CrashTable table = new CrashTable();

	private final ControlLoop control;

	private final Callbacks callbacks;

	private final QuarantineProbes probes;

	private final CrashStore store;

	/**
	 * Servers with a connection attempt in progress that checks whether they are alive.
	 */
	private final Set<Incarnation> livenessChecks = new HashSet<>();

	/** Requests logged as quarantined. */
	private final Set<RequestDigest> loggedQuarantined = new HashSet<>();

	/** The quarantined segments as they were last logged. */
	private List<Hold> loggedHolds = List.of();

	private final SoundSegments soundSegments = SoundSegments.empty();

	/**
	 * Calls that ended with their connections and whose servers are yet to be checked.
	 */
	private final Map<Incarnation, List<UncertainEnd>> uncertainEnds = new HashMap<>();

	/** Whether there are updates to send before the next report is due. */
	private boolean urgent;

	CrashRecords(RowStore rows, BackendTable servers, ControlLoop control, String process, Callbacks callbacks) {
		this.servers = servers;
		this.control = control;
		this.callbacks = callbacks;
		this.probes = new QuarantineProbes(rows, this.table, control, process, this::review);
		this.store = new CrashStore(rows, this.table, this.probes, control, process, new CrashStore.Updates(
				(evidence, nowNanos) -> evidenceAdded(evidence, "store", nowNanos), this::review));
	}

	// -- queries

	/**
	 * Returns whether the table has been read from the store. A starting process must not
	 * send calls before: after a kill of all processes the evidence exists only in the
	 * store. Safe to call on any thread.
	 * @return true once the table was read
	 */
	boolean isLoaded() {
		return this.store.isLoaded();
	}

	/**
	 * Returns whether a request is quarantined, so that only its probe may be sent. Safe
	 * to call on any thread.
	 * @param request the digest of the request
	 * @return true if it is quarantined
	 */
	boolean isQuarantined(RequestDigest request) {
		return this.table.isQuarantined(request);
	}

	/**
	 * Returns the quarantined segments that a call has together. Safe to call on any
	 * thread.
	 * @param call the call
	 * @return the segments, empty if the call may be sent as far as they are concerned
	 */
	Optional<Hold> segmentHold(CallSuspects call) {
		return this.table.segments().hold(call.segments());
	}

	QuarantineDecision judge(CallSuspects call) {
		return segmentHold(call).<QuarantineDecision>map(this::judge)
			.or(() -> call.digest().map(this.table::decide))
			.orElse(QuarantineDecision.none());
	}

	private QuarantineDecision judge(Hold hold) {
		boolean mayProbe = hold.mayProbe(System.currentTimeMillis()) && !this.probes.isGranted(hold.digest());
		return new QuarantineDecision.SegmentsQuarantined(hold, mayProbe);
	}

	QuarantineDecision judge(RequestDigest request) {
		return this.table.decide(request);
	}

	/**
	 * Returns the requests and segments under which servers crashed, for operators.
	 * @return the suspects, oldest first
	 */
	List<Suspect> list() {
		return this.table.allEvidence()
			.entrySet()
			.stream()
			.map((entry) -> new Suspect(CrashLog.digest(entry.getKey()), this.table.isQuarantined(entry.getKey()),
					entry.getValue().stream().map(CrashRecords::crashEntry).toList(), CrashLog.segment(entry.getKey())))
			.toList();
	}

	private static CrashEntry crashEntry(Evidence evidence) {
		Incarnation server = evidence.crash().server();
		return new CrashEntry(server.id(), server.startedMillis(), evidence.atMillis(),
				evidence.state().name().toLowerCase(Locale.ROOT));
	}

	int quarantinedCount() {
		return this.table.quarantinedCount();
	}

	int heldSegmentsCount() {
		return this.table.segments().holds().size();
	}

	QuarantineProbes probes() {
		return this.probes;
	}

	// -- evidence from calls and connections

	/**
	 * Records that a connection broke in the middle of a call.
	 * @param call the call
	 * @param server the server that had the call
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void connectionBroke(CallSuspects call, BackendServer server, long nowNanos) {
		if (recordSuspected(call.evidence(server, System.currentTimeMillis()), nowNanos)) {
			checkAlive(server);
		}
	}

	private boolean recordSuspected(List<Evidence> suspected, long nowNanos) {
		boolean isNew = false;
		for (Evidence evidence : suspected) {
			if (!isSound(evidence, nowNanos) && this.table.connectionLost(evidence, nowNanos)) {
				isNew = true;
				this.callbacks.count("crashes.suspected");
				review(evidence.crash().suspect());
			}
		}
		return isNew;
	}

	private boolean isSound(Evidence evidence, long nowNanos) {
		return evidence.crash().suspect() instanceof SegmentSuspect segment
				&& this.soundSegments.contains(segment, nowNanos);
	}

	// A check says nothing about responses that ended after it began.
	private void checkAlive(BackendServer server) {
		if (this.livenessChecks.add(server.incarnation())) {
			List<UncertainEnd> ends = Optional.ofNullable(this.uncertainEnds.remove(server.incarnation()))
				.orElse(List.of());
			this.callbacks.checkAlive(server,
					(found) -> this.control.post((checkedNanos) -> livenessChecked(server, found, ends, checkedNanos)));
		}
	}

	/**
	 * Records that a successful response ended with its connection. It is complete if the
	 * server is alive; if not, the connection may have broken.
	 * @param call the call
	 * @param server the server that had the call
	 */
	void endedWithConnection(CallSuspects call, BackendServer server) {
		this.uncertainEnds.computeIfAbsent(server.incarnation(), (_) -> new ArrayList<>())
			.add(new UncertainEnd(call, System.currentTimeMillis()));
		checkAlive(server);
	}

	private void livenessChecked(BackendServer server, Liveness found, List<UncertainEnd> ends, long nowNanos) {
		this.livenessChecks.remove(server.incarnation());
		switch (found) {
			case ALIVE -> {
				serverAlive(server.incarnation(), nowNanos, "server accepts connections", nowNanos);
				ends.forEach((end) -> requestCompleted(end.call(), nowNanos));
				ends.forEach((end) -> segmentsCompleted(end.call(), server, nowNanos));
			}
			case DOWN -> {
				ends.forEach((end) -> recordSuspected(end.call().evidence(server, end.atMillis()), nowNanos));
				serverCrashed(server.incarnation(), "connection attempt failed", nowNanos);
			}
			case UNKNOWN ->
				EventLog.info(GatewayEvents.LIVENESS_UNKNOWN, "server", server.id(), "started", server.startedMillis());
		}
		if (this.uncertainEnds.containsKey(server.incarnation())) {
			checkAlive(server);
		}
	}

	/**
	 * Records that a server crashed.
	 * @param server the server process
	 * @param observation the observation that shows the crash, for the log
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void serverCrashed(Incarnation server, String observation, long nowNanos) {
		this.servers.recordCrash(server, nowNanos);
		for (Evidence evidence : this.table.serverCrashed(server, nowNanos)) {
			this.urgent = true;
			logCrash(evidence, observation);
			review(evidence.crash().suspect());
		}
	}

	/**
	 * Records that a server responded to a call.
	 * @param server the server process
	 * @param sentNanos when the call was sent, on the monotonic clock, in nanoseconds
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void serverResponded(Incarnation server, long sentNanos, long nowNanos) {
		serverAlive(server, sentNanos, "server responded to a call", nowNanos);
	}

	private void serverAlive(Incarnation server, long sentNanos, String observation, long nowNanos) {
		List<Evidence> cleared = this.table.serverResponded(server, sentNanos, nowNanos);
		if (!cleared.isEmpty()) {
			this.servers.recordAlive(server);
			logCleared(cleared, observation);
		}
	}

	/**
	 * Records that a request got a complete response.
	 * @param call the call
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void requestCompleted(CallSuspects call, long nowNanos) {
		call.digest().ifPresent((request) -> clear(request, "request completed", nowNanos));
	}

	/**
	 * Records that a server responded to the prompt of a call, from its beginning to its
	 * end.
	 * @param call the call
	 * @param server the server
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void segmentsCompleted(CallSuspects call, BackendServer server, long nowNanos) {
		List<SegmentSuspect> segments = call.segmentsAt(server.version());
		this.soundSegments.responded(segments, nowNanos);
		segments.forEach((segment) -> logCleared(this.table.clear(segment, nowNanos), "segment completed"));
	}

	/**
	 * Releases a request or a segment from quarantine on behalf of an operator.
	 * @param digest the digest of the request or of the segment
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return whether there was a record of a crash under it
	 */
	boolean release(RequestDigest digest, long nowNanos) {
		boolean isRequest = clear(digest, "released by an operator", nowNanos);
		List<Evidence> cleared = this.table.allEvidence()
			.keySet()
			.stream()
			.filter((suspect) -> suspect instanceof SegmentSuspect segment && segment.segment().digest().equals(digest))
			.flatMap((suspect) -> this.table.clear(suspect, nowNanos).stream())
			.toList();
		logCleared(cleared, "released by an operator");
		return isRequest || !cleared.isEmpty();
	}

	private boolean clear(RequestDigest request, String cause, long nowNanos) {
		List<Evidence> cleared = this.table.clear(request, nowNanos);
		logCleared(cleared, cause);
		// The probe is given back even if nothing was cleared: a gateway that sees the
		// end of a probe before its success runs a second probe, and when that one
		// succeeds the evidence is already cleared.
		if (this.probes.isGranted(request)) {
			this.probes.giveBack(request);
		}
		return !cleared.isEmpty();
	}

	// -- the other gateways

	/**
	 * Returns the updates for the other gateways.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the updates
	 */
	List<CrashNews> updates(long nowNanos) {
		this.urgent = false;
		return this.table.updates(nowNanos).stream().map(CrashMessages::encode).toList();
	}

	/**
	 * Returns whether there are updates to send before the next report is due.
	 * @return true until {@link #updates} is called
	 */
	boolean isUrgent() {
		return this.urgent;
	}

	/**
	 * Applies updates received from another gateway.
	 * @param gateway the other gateway
	 * @param updates the updates
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void receive(String gateway, List<CrashNews> updates, long nowNanos) {
		for (CrashNews update : updates) {
			CrashMessages.decode(update)
				.filter((evidence) -> this.table.receive(evidence, nowNanos))
				.ifPresent((evidence) -> evidenceAdded(evidence, gateway, nowNanos));
		}
	}

	// -- the store

	TableWatch.Listener listener() {
		return this.store.listener();
	}

	/**
	 * Expires old evidence and writes pending evidence to the store.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void tick(long nowNanos) {
		this.store.tick(nowNanos);
	}

	/**
	 * Deletes rows that are no longer needed; called by the gateway that holds the
	 * duties.
	 * @param epochMillis the time of day, in milliseconds since 1970
	 */
	void cleanUp(long epochMillis) {
		this.store.cleanUp(epochMillis);
	}

	// -- the log

	// One crash that another gateway saw can be evidence against twenty requests, so it
	// is logged only for suspects that it may quarantine.
	private void evidenceAdded(Evidence evidence, String from, long nowNanos) {
		CrashSuspect suspect = evidence.crash().suspect();
		if (evidence.state() == State.CONFIRMED) {
			this.servers.recordCrash(evidence.crash().server(), nowNanos);
			if (crashes(suspect) > 1) {
				logCrash(evidence, from);
			}
			if (isSound(evidence, nowNanos)) {
				logCleared(this.table.clear(suspect, nowNanos), "segment completed before");
			}
		}
		review(suspect);
	}

	private int crashes(CrashSuspect suspect) {
		return switch (suspect) {
			case RequestDigest request -> judge(request).servers().size();
			case SegmentSuspect segment -> this.table.segments().crashes(segment);
		};
	}

	private void logCrash(Evidence evidence, String from) {
		this.callbacks.count("crashes.confirmed");
		CrashLog.confirmed(evidence, crashes(evidence.crash().suspect()), from);
	}

	private void logCleared(List<Evidence> cleared, String cause) {
		for (Evidence evidence : cleared) {
			CrashSuspect suspect = evidence.crash().suspect();
			// Suspected crashes are not sent to the other gateways, so clearing one is
			// not urgent.
			this.urgent |= this.table.evidence(evidence.crash()).isPresent();
			this.callbacks.count("crashes.cleared");
			CrashLog.cleared(evidence, crashes(suspect), cause);
			review(suspect);
		}
	}

	private void review(CrashSuspect suspect) {
		switch (suspect) {
			case RequestDigest request -> reviewRequest(request);
			case SegmentSuspect _ -> reviewSegments();
		}
	}

	// Logs and reports when a request becomes quarantined or is released.
	private void reviewRequest(RequestDigest request) {
		QuarantineDecision decision = judge(request);
		boolean held = decision instanceof QuarantineDecision.Quarantined;
		if (held && this.loggedQuarantined.add(request)) {
			EventLog.warn(GatewayEvents.REQUEST_HELD_BACK, "digest", request, "servers",
					decision.servers().stream().map(Incarnation::id).toList());
			this.callbacks.quarantineChanged();
		}
		else if (!held && this.loggedQuarantined.remove(request)) {
			EventLog.info(GatewayEvents.REQUEST_RELEASED, "digest", request, "crashes", decision.servers().size());
		}
	}

	// Logs and reports when segments become quarantined or are released.
	private void reviewSegments() {
		List<Hold> before = this.loggedHolds;
		this.loggedHolds = this.table.segments().holds();
		if (before == this.loggedHolds) {
			return;
		}
		this.loggedHolds.stream()
			.filter((hold) -> !before.contains(hold))
			.forEach((hold) -> CrashLog.hold(GatewayEvents.SEGMENTS_HELD_BACK, hold));
		before.stream().filter((hold) -> !this.loggedHolds.contains(hold)).forEach(this::released);
		this.callbacks.quarantineChanged();
	}

	// The probe of segments that were cleared is given back for a later quarantine.
	private void released(Hold hold) {
		CrashLog.hold(GatewayEvents.SEGMENTS_RELEASED, hold);
		boolean cleared = this.loggedHolds.stream().noneMatch((other) -> other.segments().equals(hold.segments()));
		if (cleared && this.probes.isGranted(hold.digest())) {
			this.probes.giveBack(hold.digest());
		}
	}

	/** Callbacks into the rest of the process. */
	interface Callbacks {

		/**
		 * Checks whether a server is alive by opening a new connection to it.
		 * @param server the server
		 * @param reply receives what was found; called on any thread
		 */
		void checkAlive(BackendServer server, Consumer<Liveness> reply);

		/** Reports that a request or segments of prompts were quarantined or released. */
		void quarantineChanged();

		/**
		 * Increments a counter.
		 * @param name the name of the metric
		 */
		void count(String name);

	}

	/**
	 * A call whose response ended with its connection, and may be incomplete.
	 *
	 * @param call the call
	 * @param atMillis when it ended, in milliseconds since 1970
	 */
	private record UncertainEnd(CallSuspects call, long atMillis) {
	}

}
