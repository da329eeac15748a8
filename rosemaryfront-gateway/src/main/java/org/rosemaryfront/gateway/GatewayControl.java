package org.rosemaryfront.gateway;

import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongConsumer;
import java.util.stream.Collectors;

import org.rosemaryfront.admission.UrgentTarget;
import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.BackendTable;
import org.rosemaryfront.dispatch.ConnectionShares;
import org.rosemaryfront.dispatch.Dispatcher;
import org.rosemaryfront.dispatch.Dispatcher.CallRequirements;
import org.rosemaryfront.dispatch.Dispatcher.Choice;
import org.rosemaryfront.duties.UsageLedger;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.fleet.Fleet;
import org.rosemaryfront.limits.PermitQueue;
import org.rosemaryfront.limits.ServerStatements;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.ports.CallMetadata.Prompt;
import org.rosemaryfront.ports.EngineRuns;
import org.rosemaryfront.program.ControlLoop;
import org.rosemaryfront.quota.QuotaTable;
import org.rosemaryfront.rollout.VersionRule;
import org.rosemaryfront.routes.Organisation;
import org.rosemaryfront.routes.Route;
import org.rosemaryfront.routes.ServiceSpec;
import org.rosemaryfront.routes.ServiceSpec.EngineSpec;
import org.rosemaryfront.routes.TrafficConfiguration;
import org.rosemaryfront.tables.Freshness;
import org.rosemaryfront.traffic.Call;
import org.rosemaryfront.traffic.CallPolicy;
import org.rosemaryfront.traffic.Gateway;
import org.rosemaryfront.traffic.Liveness;
import org.rosemaryfront.traffic.Refusal;
import org.rosemaryfront.traffic.Refusal.Cause;
import org.rosemaryfront.traffic.TrafficMetrics;

/**
 * Admits, dispatches and retries calls according to the tables of servers, quotas and
 * retries. Decisions are made on the control thread.
 */
final class GatewayControl implements CallPolicy {

	/**
	 * Minimum retry-after time of a refusal for lack of capacity, in milliseconds: about
	 * the time until a slot becomes free. A random part below
	 * {@link #FULL_RETRY_SPREAD_MILLIS} is added so that callers do not retry in one
	 * burst.
	 */
	private static final long FULL_RETRY_MILLIS = 250;

	private static final long FULL_RETRY_SPREAD_MILLIS = 500;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final ControlLoop loop;

	private final BackendTable servers;

	private final Dispatcher dispatcher;

	private final CallRetries retries;

	private final CallQuotas quotas;

	private final UsageLedger usage;

	private final CrashGuard crashGuard;

	private final Rollouts rollouts;

	private final CallLimits callLimits;

	private final Rejections rejections;

	private final Notices notices;

	private final RunMoves moves;

	/** Calls in progress with the decisions made about them. */
	private final Map<Call, CallProgress> calls = new IdentityHashMap<>();

	private volatile Optional<TrafficConfiguration> configuration = Optional.empty();

	/**
	 * Determines which calls are accepted while the process stops; empty until a stop is
	 * requested.
	 */
	private volatile Optional<StopTimes> stop = Optional.empty();

	/** The servers that accept calls; read on the traffic thread. */
	private volatile Map<BackendServer.Incarnation, BackendServer> eligibleServers = Map.of();

	/** The store version and the time of the last update of the server table. */
	private String serversVersion = "0";

	private long serversUpdatedNanos = System.nanoTime();

	/** When the server table was last confirmed current. */
	private final Freshness serversFreshness;

	private int gateways;

	/** Prompt tokens that servers were expected to prefill for the calls sent so far. */
	private long prefillTokens;

	GatewayControl(ControlLoop loop, BackendTable servers, GatewaySettings settings, QuotaTable quotas, Fleet fleet,
			UsageLedger usage, CrashGuard crashGuard, Rollouts rollouts, CallLimits callLimits,
			Freshness serversFreshness, LongConsumer applyPendingUpdates, EngineRuns engines, TrafficMetrics metrics) {
		this.loop = loop;
		this.servers = servers;
		this.dispatcher = new Dispatcher(servers, settings.zone(), () -> ThreadLocalRandom.current().nextDouble());
		this.quotas = new CallQuotas(quotas, fleet, this::configuration, applyPendingUpdates);
		this.usage = usage;
		this.crashGuard = crashGuard;
		this.rollouts = rollouts;
		this.callLimits = callLimits;
		this.rejections = new Rejections(loop, servers);
		this.notices = new Notices(loop, servers, this::serversChanged);
		this.serversFreshness = serversFreshness;
		GatewaySettings.Bounds bounds = settings.bounds();
		this.retries = CallRetries.of(bounds, System.nanoTime());
		this.moves = new RunMoves(loop, servers, serversFreshness, engines, metrics,
				new RunMoves.Calls(this.calls, this::engine, this.retries.budget()::tryAcquire, this::maxConnections),
				bounds.changeMillis());
		gateways(fleet.servingCount(System.nanoTime()));
	}

	// -- policy, on the traffic thread

	@Override
	public Optional<TrafficConfiguration> configuration() {
		return this.configuration;
	}

	@Override
	public boolean isStopping() {
		return this.stop.isPresent();
	}

	@Override
	public boolean acceptsNewCall(Optional<Route> route) {
		return this.stop.map((times) -> times.accepts(timeoutMillis(route), System.nanoTime())).orElse(true);
	}

	// A request without a route would be answered immediately, but its connection is of
	// no further use.
	private static long timeoutMillis(Optional<Route> route) {
		return route.map(Route::timeoutMillis).orElse(Long.MAX_VALUE);
	}

	@Override
	public boolean isQuarantined(Call call) {
		return this.crashGuard.isQuarantined(call);
	}

	@Override
	public boolean acceptsCalls(BackendServer server) {
		return eligibleServer(server.incarnation()).isPresent();
	}

	@Override
	public Optional<BackendServer> eligibleServer(BackendServer.Incarnation server) {
		return Optional.ofNullable(this.eligibleServers.get(server))
			.filter((_) -> this.servers.notices().permits(server, System.nanoTime()));
	}

	@Override
	public void admit(Call call) {
		this.loop.post((nowNanos) -> admit(call, nowNanos));
	}

	@Override
	public void runStarted(Call call) {
		long epochMillis = System.currentTimeMillis();
		long beganNanos = System.nanoTime();
		this.loop.post((_) -> {
			call.organisation().ifPresent((organisation) -> this.usage.recordStart(organisation.name(), epochMillis));
			CallProgress progress = this.calls.get(call);
			if (progress != null) {
				progress.latencyRatio(beganNanos)
					.ifPresent((ratio) -> this.rollouts.began(call.service(), call.route().name(),
							progress.server().orElseThrow(), ratio));
				progress.began(beganNanos);
				promptPrefilled(progress);
			}
		});
	}

	@Override
	public void stated(BackendServer server, String requestId, ServerStatements statements, long sentNanos) {
		this.callLimits.stated(server, requestId, statements.limit(), sentNanos);
		this.rejections.stated(server, requestId, statements.rejectionLimit());
		this.notices.stated(server, requestId, statements);
	}

	@Override
	public void pathLost(Call call) {
		this.loop.post((_) -> Optional.ofNullable(this.calls.get(call)).ifPresent(this::releaseLoad));
	}

	@Override
	public void failed(Call call, BackendServer server, Failure failure) {
		this.loop.post((nowNanos) -> failed(call, server, failure, nowNanos));
	}

	@Override
	public void ended(Call call, BackendServer server, Ending ending) {
		this.loop.post((nowNanos) -> {
			this.crashGuard.ended(call);
			this.moves.ended(call);
			Optional<CallProgress> progress = Optional.ofNullable(this.calls.remove(call));
			progress.ifPresent(this::promptPrefilled);
			if (ending == Ending.SUCCEEDED) {
				progress.ifPresent((sent) -> sent.recordResponse(this.dispatcher, call.service()));
			}
			switch (ending) {
				case RESPONDED, SUCCEEDED, CLOSED -> {
					recordCallEnd(progress, server, false, nowNanos);
					progress
						.ifPresent((sent) -> this.crashGuard.ended(call, server, ending, sent.sentNanos(), nowNanos));
				}
				// An unresponsive server still accepts calls on open connections and
				// never responds, so only missing responses reveal it.
				case TIMED_OUT -> {
					if (recordCallEnd(progress, server, true, nowNanos)) {
						this.rollouts.failed(call.service(), call.route().name(), server);
					}
				}
				case ABANDONED -> {
					if (!isLoadReleased(progress)) {
						this.servers.recordCallCancelled(server.incarnation());
					}
				}
			}
		});
	}

	// What the server still does for a call behind a lost path is not known here, and
	// would otherwise keep all gateways from sending it calls.
	private void releaseLoad(CallProgress progress) {
		if (progress.releaseLoad()) {
			progress.server().ifPresent(this.servers::recordCallCancelled);
			promptPrefilled(progress);
		}
	}

	// Returns whether the end says something about the server.
	private boolean recordCallEnd(Optional<CallProgress> progress, BackendServer server, boolean failed,
			long nowNanos) {
		if (isLoadReleased(progress)) {
			return false;
		}
		this.servers.recordCallEnd(server.incarnation(), failed, nowNanos);
		return true;
	}

	private static boolean isLoadReleased(Optional<CallProgress> progress) {
		return progress.map(CallProgress::isLoadReleased).orElse(false);
	}

	@Override
	public void endedWithoutServer(Call call) {
		this.loop.post((nowNanos) -> {
			this.crashGuard.ended(call);
			this.moves.ended(call);
			Optional.ofNullable(this.calls.remove(call))
				.filter((progress) -> !progress.ran())
				.ifPresent((progress) -> this.quotas.giveBack(call, progress, nowNanos));
		});
	}

	// -- decisions, on the control thread

	private void admit(Call call, long nowNanos) {
		this.crashGuard.admit(call, (admittedNanos) -> take(call, admittedNanos), nowNanos);
	}

	private void take(Call call, long nowNanos) {
		CallProgress progress = CallProgress.of(call);
		if (call.organisation().isPresent() && !this.quotas.take(call, progress, nowNanos)) {
			return;
		}
		this.calls.put(call, progress);
		this.retries.budget().recordFirstAttempt(call.service(), nowNanos);
		dispatch(call, progress, nowNanos);
	}

	private void dispatch(Call call, CallProgress progress, long nowNanos) {
		dispatch(call, progress, choose(call, progress, nowNanos), nowNanos);
	}

	private void dispatch(Call call, CallProgress progress, Choice choice, long nowNanos) {
		switch (choice) {
			case Choice.Chosen chosen -> send(call, progress, chosen, nowNanos);
			case Choice.Full full ->
				endUnserved(call, progress, full.retryMillis().orElseGet(GatewayControl::fullRetryMillis),
						Refusal.of(Cause.NO_ROOM, full.describe()));
			case Choice.NoPermit noPermit -> awaitPermit(call, progress, noPermit, nowNanos);
			case Choice.Backoff backoff ->
				endUnserved(call, progress, backoff.millis() + retrySpreadMillis(), Refusal.of(Cause.SERVER_BACKOFF,
						backoff.servers() + " servers want no requests for " + backoff.millis() + " ms"));
			case Choice.NoServer _ -> endUnserved(call, progress, fullRetryMillis(),
					Refusal.of(Cause.NO_SERVER, call.service() + call.streamVersion().map(" "::concat).orElse("")));
		}
	}

	private void awaitPermit(Call call, CallProgress progress, Choice.NoPermit noPermit, long nowNanos) {
		long usefulMillis = Math.min(call.remainingMillis(nowNanos),
				requirements(call, progress, nowNanos).targetMillis());
		List<BackendServer> servers = this.servers.serversOf(call.service());
		if (!this.callLimits.await(call, servers, usefulMillis, nowNanos)) {
			endUnpermitted(call, progress, noPermit.servers(), servers, nowNanos);
		}
	}

	/**
	 * Moves runs from servers that leave, and sends waiting calls.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void tick(long nowNanos) {
		this.moves.tick(nowNanos);
		dispatchWaiting(nowNanos);
	}

	/**
	 * Sends the waiting calls for which there is a permit by now, and refuses those for
	 * which it would come too late.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	private void dispatchWaiting(long nowNanos) {
		this.callLimits.servicesWithWaitingCalls().forEach((service) -> dispatchWaiting(service, nowNanos));
	}

	private void dispatchWaiting(String service, long nowNanos) {
		PermitQueue<Call> queue = this.callLimits.queue(service);
		queue.calls().stream().filter((call) -> !this.calls.containsKey(call)).forEach(queue::remove);
		List<BackendServer> servers = this.servers.serversOf(service);
		for (Call call : queue.calls()) {
			if (!this.callLimits.isAnyAvailable(servers, nowNanos)) {
				break;
			}
			CallProgress progress = this.calls.get(call);
			Choice choice = choose(call, progress, nowNanos);
			if (!(choice instanceof Choice.NoPermit)) {
				queue.remove(call);
				dispatch(call, progress, choice, nowNanos);
			}
		}
		queue.removeLate(nowNanos)
			.forEach((call) -> endUnpermitted(call, this.calls.get(call), servers.size(), servers, nowNanos));
		this.callLimits.recordWaiting(service, servers);
	}

	private void endUnpermitted(Call call, CallProgress progress, int limited, List<BackendServer> servers,
			long nowNanos) {
		this.callLimits.refused();
		endUnserved(call, progress, this.callLimits.retryMillis(call.service(), servers, nowNanos),
				Refusal.of(Cause.SERVER_LIMIT,
						limited + " servers have no permit left: " + this.callLimits.describe(servers, nowNanos)));
	}

	private Choice choose(Call call, CallProgress progress, long nowNanos) {
		CallRequirements requirements = requirements(call, progress, nowNanos);
		Choice choice = new Choice.NoServer();
		List<VersionRule> rules = VersionRule.forStream(
				this.rollouts.versions(call.service(), !progress.tried().isEmpty(), nowNanos), call.streamVersion());
		for (VersionRule versions : rules) {
			choice = this.dispatcher.choosePermitted(requirements, progress.tried(), versions::allows,
					this.callLimits.permits(), nowNanos);
			if (choice instanceof Choice.Chosen) {
				return choice;
			}
		}
		return choice;
	}

	// A refusal guarantees that the call did not run. A call that finds no server for its
	// retry may have run at the first one, so it is ended without that guarantee.
	private static void endUnserved(Call call, CallProgress progress, long retryAfterMillis, Refusal refusal) {
		if (progress.ran()) {
			call.giveUp(refusal);
		}
		else {
			call.refuse(503, retryAfterMillis, refusal);
		}
	}

	// The caller of a stream that is taken up has events of it already.
	private CallRequirements requirements(Call call, CallProgress progress, long nowNanos) {
		boolean begun = progress.ran() || call.streamVersion().isPresent();
		long age = (nowNanos - call.receivedNanos()) / NANOS_PER_MILLI;
		return new CallRequirements(call.service(), progress.prefix(), engine(call.service()),
				call.metadata().prompt().map(Prompt::unsharedTokens).orElse(0),
				CallRequirements.remainingMillis(call.route().targetMillis() - age, call.remainingMillis(nowNanos),
						begun),
				call.priority(), call.organisation().map(Organisation::name).orElse(""), call.remainingMillis(nowNanos),
				call.route().targetMillis());
	}

	private Optional<EngineSpec> engine(String service) {
		return this.configuration.flatMap((known) -> known.service(service)).flatMap(ServiceSpec::engine);
	}

	/**
	 * Returns the KV cache capacity of an engine of a service.
	 * @param service the name of the service
	 * @return the capacity in tokens; 0 if the service has no engines
	 */
	long kvCacheTokens(String service) {
		return engine(service).map(EngineSpec::kvCacheTokens).orElse(0L);
	}

	private void send(Call call, CallProgress progress, Choice.Chosen chosen, long nowNanos) {
		BackendServer server = chosen.server();
		new DispatchLog(this.callLimits, this.serversFreshness).sent(call, progress, chosen, this.serversVersion,
				this.serversUpdatedNanos, this.configuration.map(TrafficConfiguration::version).orElse(0L), nowNanos);
		chosen.passedOver().ifPresent((_) -> this.callLimits.passedOver());
		progress.sent(chosen, nowNanos);
		this.servers.recordCallSent(server.incarnation(), chosen.uncachedTokens());
		this.servers.notices().recordSent(server.incarnation(), nowNanos);
		this.servers.recordPrefillStart(server.incarnation(), progress.prefix(), kvCacheTokens(call.service()));
		this.prefillTokens += chosen.uncachedTokens();
		call.send(server, maxConnections(call.service()), chosen.transferSource().map(BackendServer::address));
	}

	private void failed(Call call, BackendServer server, Failure failure, long nowNanos) {
		CallProgress progress = this.calls.get(call);
		recordFailure(call, Optional.ofNullable(progress), server, failure, nowNanos);
		if (progress == null) {
			return;
		}
		promptPrefilled(progress);
		if (!(failure.verdict() instanceof Verdict.NotRun)) {
			progress.mayHaveRun();
		}
		if (this.moves.failed(call, server, failure, nowNanos)) {
			return;
		}
		Optional<Refusal> quarantine = this.crashGuard.quarantineRefusal(call);
		if (quarantine.isPresent()) {
			endUnserved(call, progress, CrashGuard.QUARANTINE_RETRY_MILLIS, quarantine.get());
			return;
		}
		Optional<Cause> refusal = this.retries.refusal(call, progress, failure, nowNanos);
		if (refusal.isEmpty()) {
			dispatch(call, progress, nowNanos);
		}
		else {
			endUnserved(call, progress, fullRetryMillis(), Refusal.of(refusal.get(), failure.cause()));
		}
	}

	private void recordFailure(Call call, Optional<CallProgress> progress, BackendServer server, Failure failure,
			long nowNanos) {
		if (failure.pathLost()) {
			this.servers.recordCallCancelled(server.incarnation());
			return;
		}
		boolean notRun = failure.verdict() instanceof Verdict.NotRun;
		this.crashGuard.failed(call, server, failure, nowNanos);
		this.rejections.failed(call.id(), server, failure, nowNanos);
		boolean counted = recordCallEnd(progress, server, !failure.isRejection(), nowNanos);
		if (counted && !notRun) {
			this.rollouts.failed(call.service(), call.route().name(), server);
		}
	}

	private void promptPrefilled(CallProgress progress) {
		long tokens = progress.takeUncachedTokens();
		progress.server().ifPresent((server) -> this.servers.recordPrefillEnd(server, tokens));
	}

	private int maxConnections(String service) {
		int limit = this.configuration.flatMap((known) -> known.service(service))
			.map(ServiceSpec::maxConnections)
			.orElse(0);
		int ownCalls = (int) this.calls.keySet().stream().filter((call) -> call.service().equals(service)).count();
		int allCalls = Math.max(ownCalls, this.servers.callsOf(service));
		return ConnectionShares.connections(limit, this.gateways, ownCalls, allCalls);
	}

	/**
	 * Returns the retry-after time for a call that cannot be sent now.
	 * @return the time in milliseconds, randomised
	 */
	static long fullRetryMillis() {
		return FULL_RETRY_MILLIS + retrySpreadMillis();
	}

	private static long retrySpreadMillis() {
		return ThreadLocalRandom.current().nextLong(FULL_RETRY_SPREAD_MILLIS);
	}

	// -- updates, on the control thread

	void configuration(TrafficConfiguration newer) {
		long known = this.configuration.map(TrafficConfiguration::version).orElse(Long.MIN_VALUE);
		if (newer.version() <= known) {
			return;
		}
		this.configuration = Optional.of(newer);
		this.dispatcher.admission().urgentTargets(UrgentTarget.byService(newer.routes(), newer.organisations()));
		EventLog.info(GatewayEvents.CONFIGURATION_IN_FORCE, "version", newer.version(), "before",
				(known == Long.MIN_VALUE) ? "none" : known);
	}

	void serversUpdated(String version, long nowNanos) {
		this.serversVersion = version;
		this.serversUpdatedNanos = nowNanos;
		serversChanged();
	}

	/** Refreshes the set of servers that accept calls. */
	void serversChanged() {
		this.servers.notices().retain(knownServers(), System.nanoTime());
		this.eligibleServers = this.servers.eligibleServers()
			.stream()
			.collect(Collectors.toUnmodifiableMap(BackendServer::incarnation, Function.identity()));
	}

	/**
	 * Ends the calls of servers that restarted. Their responses will never arrive, and
	 * their connections may stay open without data until the calls time out.
	 */
	void endCallsOfEarlierStarts() {
		this.calls.forEach((call, progress) -> progress.server()
			.filter((server) -> this.servers.find(server.id())
				.filter((known) -> known.startedMillis() > server.startedMillis())
				.isPresent())
			.ifPresent(call::serverRestarted));
	}

	/**
	 * Ends all calls that are quarantined, including calls queued at a server, because
	 * each would crash another server. Probes are not ended.
	 */
	void endQuarantinedCalls() {
		this.crashGuard.quarantined(this.calls.keySet())
			.forEach((call) -> this.crashGuard.withdraw(call, this.calls.get(call).ran()));
	}

	/**
	 * Checks whether a server is alive by opening a new connection to it.
	 * @param server the server
	 * @param gateway opens the connection
	 * @param reply receives what was found
	 */
	void checkAlive(BackendServer server, Gateway gateway, Consumer<Liveness> reply) {
		gateway.checkAlive(server, maxConnections(server.service()), reply);
	}

	/**
	 * Sets the number of gateways that share the connections to servers and the retries.
	 * @param count the number of gateways that may serve callers, whether or not their
	 * reports are received
	 */
	void gateways(int count) {
		this.gateways = count;
		this.retries.budget().setProcessCount(count);
	}

	/**
	 * Starts the stop of this process.
	 * @param times determines which calls are accepted from now on
	 */
	void stop(StopTimes times) {
		this.stop = Optional.of(times);
	}

	// -- queries, on the control thread

	Notices notices() {
		return this.notices;
	}

	Rejections rejections() {
		return this.rejections;
	}

	Dispatcher dispatcher() {
		return this.dispatcher;
	}

	long prefillTokens() {
		return this.prefillTokens;
	}

	Set<BackendServer.Incarnation> knownServers() {
		return this.servers.servers().stream().map(BackendServer::incarnation).collect(Collectors.toSet());
	}

}
