package org.rosemaryfront.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;

import org.rosemaryfront.crashes.Crash;
import org.rosemaryfront.crashes.CrashTable;
import org.rosemaryfront.crashes.Evidence;
import org.rosemaryfront.crashes.Evidence.State;
import org.rosemaryfront.crashes.QuarantineDecision;
import org.rosemaryfront.crashes.RequestDigest;
import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.dispatch.BackendTable;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.gateway.AdminServer.CrashEntry;
import org.rosemaryfront.gateway.AdminServer.SuspectRequest;
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

	QuarantineDecision judge(RequestDigest request) {
		return this.table.decide(request);
	}

	/**
	 * Returns the requests under which servers crashed, for operators.
	 * @return the requests, oldest first
	 */
	List<SuspectRequest> list() {
		return this.table.allEvidence()
			.entrySet()
			.stream()
			.map((entry) -> new SuspectRequest(entry.getKey().toString(), isQuarantined(entry.getKey()),
					entry.getValue().stream().map(CrashRecords::crashEntry).toList()))
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

	QuarantineProbes probes() {
		return this.probes;
	}

	// -- evidence from calls and connections

	/**
	 * Records that a connection broke in the middle of a call.
	 * @param request the digest of the request
	 * @param server the server that had the request
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void connectionBroke(RequestDigest request, BackendServer server, long nowNanos) {
		Crash crash = new Crash(request, server.incarnation());
		if (this.table.connectionLost(crash, System.currentTimeMillis(), nowNanos)) {
			this.callbacks.count("crashes.suspected");
			review(request);
			if (this.livenessChecks.add(server.incarnation())) {
				this.callbacks.checkAlive(server,
						(found) -> this.control.post((checkedNanos) -> livenessChecked(server, found, checkedNanos)));
			}
		}
	}

	private void livenessChecked(BackendServer server, Liveness found, long nowNanos) {
		this.livenessChecks.remove(server.incarnation());
		switch (found) {
			case ALIVE -> serverAlive(server.incarnation(), nowNanos, "server accepts connections", nowNanos);
			case DOWN -> serverCrashed(server.incarnation(), "connection attempt failed", nowNanos);
			case UNKNOWN ->
				EventLog.info(GatewayEvents.LIVENESS_UNKNOWN, "server", server.id(), "started", server.startedMillis());
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
			review(evidence.crash().request());
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
	 * @param request the digest of the request
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void requestCompleted(RequestDigest request, long nowNanos) {
		clear(request, "request completed", nowNanos);
	}

	/**
	 * Releases a request from quarantine on behalf of an operator.
	 * @param request the digest of the request
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return whether there was a record of a crash under it
	 */
	boolean release(RequestDigest request, long nowNanos) {
		return clear(request, "released by an operator", nowNanos);
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
		return this.table.updates(nowNanos).stream().map(CrashRecords::message).toList();
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
			if (update.getRequest().size() == RequestDigest.BYTES) {
				Evidence evidence = evidence(update);
				if (this.table.receive(evidence, nowNanos)) {
					evidenceAdded(evidence, gateway, nowNanos);
				}
			}
		}
	}

	private static CrashNews message(Evidence evidence) {
		Incarnation server = evidence.crash().server();
		return CrashNews.newBuilder()
			.setRequest(ByteString.copyFrom(evidence.crash().request().bytes()))
			.setServer(server.id())
			.setStartedMillis(server.startedMillis())
			.setAtMillis(evidence.atMillis())
			.setCleared(evidence.state() == State.CLEARED)
			.build();
	}

	private static Evidence evidence(CrashNews updates) {
		Crash crash = new Crash(RequestDigest.of(updates.getRequest().toByteArray()),
				new Incarnation(updates.getServer(), updates.getStartedMillis()));
		return new Evidence(crash, updates.getCleared() ? State.CLEARED : State.CONFIRMED, updates.getAtMillis());
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
	// is logged only for requests that it may quarantine.
	private void evidenceAdded(Evidence evidence, String from, long nowNanos) {
		RequestDigest request = evidence.crash().request();
		if (evidence.state() == State.CONFIRMED) {
			this.servers.recordCrash(evidence.crash().server(), nowNanos);
		}
		if (evidence.state() == State.CONFIRMED && judge(request).servers().size() > 1) {
			logCrash(evidence, from);
		}
		review(request);
	}

	private void logCrash(Evidence evidence, String from) {
		RequestDigest request = evidence.crash().request();
		Incarnation server = evidence.crash().server();
		this.callbacks.count("crashes.confirmed");
		EventLog.info(GatewayEvents.CRASHED_UNDER_REQUEST, "digest", request, "server", server.id(), "started",
				server.startedMillis(), "crashes", judge(request).servers().size(), "from", from, "ageMillis",
				System.currentTimeMillis() - evidence.atMillis());
	}

	private void logCleared(List<Evidence> cleared, String cause) {
		for (Evidence evidence : cleared) {
			RequestDigest request = evidence.crash().request();
			// Suspected crashes are not sent to the other gateways, so clearing one is
			// not urgent.
			this.urgent |= this.table.evidence(evidence.crash()).isPresent();
			this.callbacks.count("crashes.cleared");
			EventLog.info(GatewayEvents.CRASH_CLEARED, "digest", request, "server", evidence.crash().server().id(),
					"started", evidence.crash().server().startedMillis(), "cause", cause, "crashes",
					judge(request).servers().size());
			review(request);
		}
	}

	// Logs and reports when a request becomes quarantined or is released.
	private void review(RequestDigest request) {
		QuarantineDecision decision = judge(request);
		boolean held = decision instanceof QuarantineDecision.Quarantined;
		if (held && this.loggedQuarantined.add(request)) {
			EventLog.warn(GatewayEvents.REQUEST_HELD_BACK, "digest", request, "servers",
					decision.servers().stream().map(Incarnation::id).toList());
			this.callbacks.quarantined(request);
		}
		else if (!held && this.loggedQuarantined.remove(request)) {
			EventLog.info(GatewayEvents.REQUEST_RELEASED, "digest", request, "crashes", decision.servers().size());
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

		/**
		 * Reports that a request was quarantined.
		 * @param request the digest of the request
		 */
		void quarantined(RequestDigest request);

		/**
		 * Increments a counter.
		 * @param name the name of the metric
		 */
		void count(String name);

	}

}
