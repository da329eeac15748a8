package org.rosemaryfront.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import io.netty.channel.EventLoop;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;

import org.rosemaryfront.crashes.RequestDigest;
import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.BackendTable;
import org.rosemaryfront.dispatch.SlotShares;
import org.rosemaryfront.duties.UsageLedger;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.fleet.Fleet;
import org.rosemaryfront.gateway.PauseDetector.Observation;
import org.rosemaryfront.gateway.proto.StreamMessages;
import org.rosemaryfront.limits.ServerLimits;
import org.rosemaryfront.ports.CallCodec;
import org.rosemaryfront.ports.Duties;
import org.rosemaryfront.ports.EngineRuns;
import org.rosemaryfront.ports.RecordCodec;
import org.rosemaryfront.ports.RowStore;
import org.rosemaryfront.program.ControlLoop;
import org.rosemaryfront.program.Program;
import org.rosemaryfront.quota.QuotaTable;
import org.rosemaryfront.rollout.RolloutTable;
import org.rosemaryfront.routes.Organisation;
import org.rosemaryfront.routes.TrafficConfiguration;
import org.rosemaryfront.tables.FreshnessLimits;
import org.rosemaryfront.traffic.Gateway;
import org.rosemaryfront.traffic.Liveness;
import org.rosemaryfront.traffic.TrafficMetrics;
import org.rosemaryfront.warmup.WarmUp;

/**
 * The gateway process: all sockets on one thread and all decisions on another, together
 * with the tables of the platform, the reports between gateways and the singleton duties.
 */
public final class GatewayProcess implements Program.Running {

	/** The maximum interval between ticks of the control thread. */
	private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

	/**
	 * The minimum interval between reports while other gateways wait for one, in
	 * nanoseconds.
	 */
	private static final long MIN_REPORT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	/** The interval between runs of the duties, in nanoseconds. */
	private static final long DUTIES_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	/** How long a gateway has a slot that is used in turns, in milliseconds. */
	private static final long SLOT_TURN_MILLIS = 1_000;

	/**
	 * The maximum number of queued reports; more than a thousand gateways send in a
	 * second.
	 */
	private static final int MAX_QUEUED_REPORTS = 4_096;

	/**
	 * The part of the drain time that is reserved for closing and exiting, in
	 * milliseconds.
	 */
	private static final long EXIT_RESERVE_MILLIS = 400;

	/**
	 * The interval between checks for remaining work while stopping, in milliseconds.
	 */
	private static final long STOP_CHECK_INTERVAL_MILLIS = 50;

	private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	/**
	 * The factor by which the freshness limits are relaxed for tables that gateways write
	 * themselves, since their content is also part of the reports between gateways.
	 */
	private static final int OWN_TABLES_LIMIT_FACTOR = 4;

	private final GatewaySettings settings;

	private final Platform platform;

	private final PlatformCalls platformCalls;

	private final StoreGenerations store;

	private final int start = ThreadLocalRandom.current().nextInt();

	private final BackendTable servers = new BackendTable();

	private final QuotaTable quotas;

	private final Fleet fleet = new Fleet(this.start);

	private final SharingLog sharingLog = new SharingLog();

	private final UsageLedger usage;

	private final TrafficMetrics metrics = new TrafficMetrics();

	private final LoopResources loops;

	private final ControlLoop control;

	private final CrashRecords crashes;

	private final CallLimits callLimits;

	private final GatewayControl decisions;

	private final Gateway gateway;

	private final StreamOrigins streams;

	private final Optional<WarmUp> warmUp;

	private final AdminServer admin;

	private final PeerExchange peers;

	private final DutyLease lease;

	private final UsageDuty usageDuty;

	private final SizeDuty sizeDuty;

	private final Rollouts rollouts;

	private final RolloutDuty rolloutDuty;

	private final GatewayReports reports;

	private final PlatformUpdates platformUpdates;

	private volatile boolean stopping;

	private final GatewayDirectory directory;

	/** Whether all fields are initialised, so that the control thread may use them. */
	private volatile boolean started;

	private long lastReportNanos = System.nanoTime() - MIN_REPORT_INTERVAL_NANOS;

	/** Whether another gateway waits for a report of this one. */
	private boolean reportAwaited;

	/**
	 * Reports of other gateways that were not processed yet, in the order of arrival.
	 */
	private final LinkedBlockingQueue<PeerExchange.ReceivedReport> receivedReports = new LinkedBlockingQueue<>();

	private long nextDutiesNanos = System.nanoTime();

	private final PauseDetector pauseWatch = new PauseDetector(System.nanoTime(), System.currentTimeMillis());

	private final TableReplica configurationTable;

	private final TableReplica serversTable;

	private final TableReplica gatewaysTable;

	private final TableReplica crashesTable;

	private final SharedTables tables;

	/**
	 * The addresses at which other gateways serve their tables; written by the control
	 * thread.
	 */
	private volatile List<InetSocketAddress> tableAddresses = List.of();

	private GatewayProcess(GatewaySettings settings, Platform platform, LoopResources loops) {
		this.settings = settings;
		this.platform = platform;
		this.platformCalls = new PlatformCalls(this.metrics, System.nanoTime());
		this.store = new StoreGenerations(this.platformCalls.counting(platform.rows()));
		Duties duties = this.platformCalls.counting(platform.duties());
		this.loops = loops;
		this.quotas = new QuotaTable(settings.bounds().quotaWindowMillis(), System.nanoTime(),
				settings.bounds().quotaSlack(), () -> ThreadLocalRandom.current().nextDouble());
		this.usage = new UsageLedger(settings.bounds().usageWindowMillis());
		this.configurationTable = TableReplica.of(settings.bounds());
		this.serversTable = TableReplica.of(settings.bounds());
		this.gatewaysTable = TableReplica.of(settings.bounds());
		this.crashesTable = TableReplica.of(settings.bounds());
		this.control = ControlLoop.start("control", TICK_INTERVAL, this::tick);
		this.crashes = new CrashRecords(this.store, this.servers, this.control,
				UsageDuty.processName(settings.name(), this.start), new CrashHooks());
		this.rollouts = new Rollouts(RolloutTable.empty(settings.bounds().exposureShare()), this.servers,
				UsageDuty.processName(settings.name(), this.start), () -> ThreadLocalRandom.current().nextDouble());
		this.callLimits = new CallLimits(ServerLimits.of(settings.name(), this.start, this.fleet,
				() -> ThreadLocalRandom.current().nextDouble()), this.control, this.metrics);
		this.decisions = new GatewayControl(this.control, this.servers, settings, this.quotas, this.fleet, this.usage,
				new CrashGuard(this.crashes, this.servers), this.rollouts, this.callLimits,
				this.serversTable.freshness(), this::catchUp, platform.runs(), this.metrics);
		// The thread of all sockets.
		EventLoop io = loops.onServer(false).next();
		this.peers = PeerExchange.open(io, settings.peers(), settings.name(), this.start, new PeerReceiver());
		this.streams = new StreamOrigins(io, settings.name(), this.peers::send, this.metrics);
		this.gateway = Gateway.open(io, new Gateway.Addresses(settings.callers(), settings.tunnels()), settings.zone(),
				platform.calls(), this.decisions, this.control::lagNanos, this.streams, this.metrics);
		this.tables = new SharedTables(this.store, new PeerTables(loops, () -> this.tableAddresses));
		this.directory = new GatewayDirectory(this.store, this.quotas, settings, this.peers, this.fleet, this.control,
				this::gatewaysLoaded);
		this.platformUpdates = new PlatformUpdates(platform.records(), this.control, this.servers, this.decisions,
				this.rollouts, this.serversTable.freshness(), this::serverRestarted,
				() -> this.metrics.increment("servers.unreadable"));
		this.lease = new DutyLease(this.store, settings, this.start, this::onControl, ProcessClock.system());
		this.usageDuty = new UsageDuty(this.store, duties, settings, this::onControl, this.lease,
				ProcessClock.system());
		this.rolloutDuty = new RolloutDuty(this.store, platform.records(), this.rollouts, this.servers,
				this::onControl);
		this.reports = new GatewayReports(this.peers, this.fleet, this.servers, this.quotas, this.decisions, this.usage,
				this.usageDuty, this.crashes, this.lease, this.tables, this.rollouts, this.rolloutDuty, this.callLimits,
				this.directory.bursts(), this.gateway::serversOutOfReach, this.streams::gatewayStarted, settings);
		this.sizeDuty = new SizeDuty(this.servers,
				(service) -> this.decisions.dispatcher().model(service).prefillTokensPerMilli(),
				this.rollouts::countsTowardsCapacity, this.callLimits::hasLimit, duties, settings.zones(),
				this::onControl, this.lease::giveUp);
		new GatewayGauges(this.control, this.servers, this.decisions.dispatcher().admission(), this.configurationTable,
				this.serversTable, this.crashes, this.callLimits, this.store)
			.register(this.metrics);
		this.warmUp = WarmUp.atFirstStart(settings.firstStart() && settings.warmUp(),
				() -> WarmUpGateway.open(settings, platform.calls()), this::isLoaded);
		this.metrics.gauge("warm.up.calls", () -> this.warmUp.map(WarmUp::calls).orElse(0));
		// Opened last, because its requests use all other components.
		this.admin = AdminServer.open(loops, settings, this::isReady, this.metrics.registry(),
				Map.of(platform.records().configuration().table(), this.configurationTable,
						platform.records().serversTable(), this.serversTable, GatewayDirectory.TABLE,
						this.gatewaysTable, CrashRows.TABLE, this.crashesTable),
				new QuarantineOperations());
	}

	/**
	 * Starts a gateway.
	 * @param settings the settings of this process
	 * @param platform the interfaces of the platform
	 * @param loops the event loop of all sockets
	 * @return the running gateway
	 */
	public static GatewayProcess start(GatewaySettings settings, Platform platform, LoopResources loops) {
		GatewayProcess process = new GatewayProcess(settings, platform, loops);
		process.followTables();
		return process;
	}

	// -- queries

	@Override
	public Map<String, String> listeners() {
		return Map.of("callers", this.settings.callers().toString(), "metrics", this.settings.metrics().toString());
	}

	// Counts this gateway and the live gateways whose tables it may read.
	int liveGateways() {
		return 1 + this.tableAddresses.size();
	}

	boolean knowsServer(String server) {
		return callOnControl(() -> this.servers.find(server).isPresent());
	}

	// Returns the version of the configuration in force, 0 before the first one.
	long configurationVersion() {
		return this.decisions.configuration().map(TrafficConfiguration::version).orElse(0L);
	}

	// Returns whether this gateway reads the tables from the store itself.
	boolean readsTables() {
		return callOnControl(() -> this.tables.role().reads());
	}

	// Returns the coefficients of a service's latency model that were learned from calls.
	List<Double> learnedRates(String service) {
		return callOnControl(() -> this.decisions.dispatcher().model(service).fittedCoefficients());
	}

	private <T> T callOnControl(Supplier<T> query) {
		return onControl((_) -> query.get()).join();
	}

	private <T> CompletableFuture<T> onControl(Function<Long, T> query) {
		CompletableFuture<T> result = new CompletableFuture<>();
		this.control.post((now) -> result.complete(query.apply(now)));
		return result;
	}

	private boolean isReady() {
		return isLoaded() && this.warmUp.filter(WarmUp::holdsBack).isEmpty() && !this.stopping;
	}

	private boolean isLoaded() {
		return this.platformUpdates.isComplete() && this.directory.isLoaded() && this.crashes.isLoaded();
	}

	// -- changes from the platform

	private void followTables() {
		FreshnessLimits changeLimits = FreshnessLimits.within(this.settings.bounds().changeMillis());
		FreshnessLimits ownTableLimits = FreshnessLimits.defaults().multipliedBy(OWN_TABLES_LIMIT_FACTOR);
		this.tables.follow(this.platform.records().configuration().table(), this.configurationTable,
				changeLimits.staggered(), this.platformUpdates.configuration());
		this.tables.follow(this.platform.records().serversTable(), this.serversTable, changeLimits,
				this.platformUpdates.servers());
		this.tables.follow(GatewayDirectory.TABLE, this.gatewaysTable, ownTableLimits, this.directory);
		this.tables.follow(CrashRows.TABLE, this.crashesTable, ownTableLimits, this.crashes.listener());
		this.directory.announce();
		// The time that construction took must not count as a pause of the process.
		this.pauseWatch.check(System.nanoTime(), System.currentTimeMillis());
		this.started = true;
	}

	private void gatewaysLoaded(long now) {
		this.decisions.gateways(this.fleet.servingCount(now));
		this.reportAwaited = true;
	}

	// -- the control thread

	private void onControl(Runnable task) {
		this.control.post((_) -> task.run());
	}

	// Most reports wait for the next tick: with a hundred gateways, waking the control
	// thread for each of them would be expensive. Reports of crashes are processed
	// immediately.
	private void enqueueReport(PeerExchange.ReceivedReport received) {
		if (!this.started) {
			return;
		}
		if (this.receivedReports.size() < MAX_QUEUED_REPORTS) {
			this.receivedReports.add(received);
		}
		else {
			this.metrics.increment("reports.dropped");
		}
		if (received.report().getCrashesCount() > 0) {
			this.control.post(this::processReports);
		}
	}

	private void processReports(long now) {
		for (PeerExchange.ReceivedReport next = this.receivedReports.poll(); next != null; next = this.receivedReports
			.poll()) {
			this.reportAwaited |= this.reports.receive(next, now);
		}
	}

	// Decisions must include all reports that were received before them.
	private void catchUp(long now) {
		handlePause(now);
		processReports(now);
	}

	private void tick(long now) {
		if (!this.started) {
			return;
		}
		catchUp(now);
		List<BackendServer> dropped = this.servers.removeExpired(now);
		if (!dropped.isEmpty()) {
			dropped.forEach((server) -> EventLog.info(GatewayEvents.SERVER_DROPPED, "server", server.id(), "service",
					server.service()));
			this.decisions.serversChanged();
			retainServers();
		}
		this.crashes.tick(now);
		this.tables.tick(now);
		this.reportAwaited |= this.crashes.isUrgent() || this.tables.isUrgent(now) || this.callLimits.isUrgent()
				|| this.decisions.rejections().takeUrgent() || this.usageDuty.isUrgent();
		if (now - this.lastReportNanos >= (this.reportAwaited ? MIN_REPORT_INTERVAL_NANOS
				: this.fleet.reportIntervalNanos())) {
			this.lastReportNanos = now;
			this.reportAwaited = false;
			this.reports.send(false, now);
		}
		this.decisions.tick(now);
		if (now - this.nextDutiesNanos >= 0) {
			this.nextDutiesNanos = now + DUTIES_INTERVAL_NANOS;
			runDuties(now);
		}
	}

	private void serverRestarted() {
		retainServers();
		this.decisions.endCallsOfEarlierStarts();
	}

	private void retainServers() {
		Set<BackendServer.Incarnation> current = this.decisions.knownServers();
		this.gateway.retainServers(current);
		this.callLimits.retain(current);
	}

	private void handlePause(long now) {
		switch (this.pauseWatch.check(now, System.currentTimeMillis())) {
			case Observation.Running _ -> {
			}
			case Observation.Paused paused -> {
				EventLog.warn(GatewayEvents.PAUSED, "millis", paused.millis(), "monotonicMillis",
						paused.monotonicMillis());
				this.tables.paused(now);
			}
			case Observation.Suspended suspended -> {
				EventLog.warn(GatewayEvents.PAUSED, "millis", suspended.millis(), "monotonicMillis",
						suspended.monotonicMillis());
				// Another process may hold the lease by now, and received reports are out
				// of date.
				this.lease.giveUp();
				this.fleet.discardConfirmations();
				this.tables.paused(now);
			}
		}
	}

	private void runDuties(long now) {
		this.platformCalls.tick(now);
		this.reports.handleTimeouts(now);
		this.tableAddresses = this.peers.tableAddresses(this.fleet::isLive);
		this.gateway.gateways(this.peers.carriers(this.fleet::isLive), this.peers.gatewayAddresses());
		updateStreamHolders();
		this.decisions.gateways(this.fleet.servingCount(now));
		this.servers.slotShares(new SlotShares(this.settings.name(), this.fleet.liveGateways(this.settings.name()),
				System.currentTimeMillis() / SLOT_TURN_MILLIS));
		this.tables.role(this.fleet.role(this.settings.name(), now));
		this.sharingLog.update(this.fleet.sharing(now));
		this.lease.updateGatewayCount(this.fleet.liveCount());
		this.lease.tick(now);
		long epochMillis = System.currentTimeMillis();
		this.usageDuty.addClosedWindows(this.usage.close(epochMillis), this.start);
		this.usageDuty.tick(epochMillis);
		Optional<TrafficConfiguration> configuration = this.decisions.configuration();
		if (configuration.isEmpty() || !this.platformUpdates.isComplete()) {
			return;
		}
		this.sizeDuty.updatePlans(configuration.get(), this.reports.prefillTokens(), now);
		if (this.lease.mayAct(now) && !this.stopping) {
			Set<String> organisations = new HashSet<>();
			configuration.get().organisations().stream().map(Organisation::name).forEach(organisations::add);
			this.crashes.cleanUp(epochMillis);
			this.usageDuty.act(epochMillis, organisations);
			this.sizeDuty.act(this.lease.fence(), configuration.get(), now);
			this.rolloutDuty.advance(epochMillis, now);
		}
		else {
			this.rolloutDuty.reset();
		}
	}

	private void updateStreamHolders() {
		Map<String, InetSocketAddress> known = this.peers.addresses();
		this.streams.gateways(known, known.keySet().stream().filter(this.fleet::isLive).collect(Collectors.toSet()));
	}

	// -- shutdown

	@Override
	public void close() {
		long startNanos = System.nanoTime();
		this.stopping = true;
		this.warmUp.ifPresent(WarmUp::close);
		long limitMillis = this.settings.bounds().drainMillis() - EXIT_RESERVE_MILLIS;
		StopTimes times = StopTimes.of(startNanos, this.settings.bounds().balancerMillis(), limitMillis);
		this.decisions.stop(times);
		this.gateway.closeIdle();
		// This process no longer acts as the holder, so a successor does not have to wait
		// until the last calls have ended.
		this.control.post(this.lease::release);
		boolean handedOver = false;
		boolean countsWritten = false;
		while (elapsedMillis(startNanos) < limitMillis) {
			if (elapsedMillis(startNanos) >= this.settings.bounds().balancerMillis()) {
				if (!handedOver) {
					handedOver = true;
					handOver();
				}
				this.gateway.closeIdle();
				boolean idle = this.gateway.isIdle();
				if (idle && countsWritten && this.usageDuty.isWritten()) {
					break;
				}
				if (idle && !countsWritten) {
					// A call accepted from now on would be cut off when the process
					// exits.
					this.decisions.stop(times.endingAt(System.nanoTime()));
					countsWritten = true;
					writeCounts();
				}
			}
			sleep(STOP_CHECK_INTERVAL_MILLIS);
		}
		if (!countsWritten) {
			writeCounts();
			sleep(STOP_CHECK_INTERVAL_MILLIS);
		}
		this.gateway.close();
		this.tables.close();
		this.admin.close();
		this.control.close();
		this.platformCalls.close();
		this.peers.close();
		this.loops.dispose();
	}

	// Hands over the counts so far while the last calls are still running.
	private void handOver() {
		writeCounts();
		this.streams.handOver();
		this.control.post((now) -> this.reports.send(true, now));
	}

	private void writeCounts() {
		this.control.post((_) -> this.usageDuty.addClosedWindows(this.usage.closeAll(), this.start));
	}

	private static long elapsedMillis(long startNanos) {
		return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/** Passes on what other gateways send. */
	private final class PeerReceiver implements PeerExchange.Receiver {

		@Override
		public void report(PeerExchange.ReceivedReport report) {
			enqueueReport(report);
		}

		@Override
		public void streamMessages(InetSocketAddress from, StreamMessages messages) {
			if (GatewayProcess.this.started) {
				GatewayProcess.this.streams.receive(from, messages);
			}
		}

	}

	/** Connects the crash records with calls, connections and metrics. */
	private final class CrashHooks implements CrashRecords.Callbacks {

		@Override
		public void checkAlive(BackendServer server, Consumer<Liveness> reply) {
			GatewayProcess.this.decisions.checkAlive(server, GatewayProcess.this.gateway, reply);
		}

		@Override
		public void quarantineChanged() {
			GatewayProcess.this.decisions.endQuarantinedCalls();
		}

		@Override
		public void count(String name) {
			GatewayProcess.this.metrics.increment(name);
		}

	}

	/** Lists quarantined requests for an operator, and releases them. */
	private final class QuarantineOperations implements AdminServer.RequestQuarantine {

		@Override
		public Mono<List<AdminServer.Suspect>> list() {
			return Mono.fromFuture(() -> onControl((_) -> GatewayProcess.this.crashes.list()));
		}

		@Override
		public Mono<Boolean> release(RequestDigest digest) {
			return Mono.fromFuture(() -> onControl((now) -> GatewayProcess.this.crashes.release(digest, now)));
		}

	}

	/**
	 * The interfaces of the platform.
	 *
	 * @param calls the codec of call headers
	 * @param rows the table service
	 * @param records the codec of rows that other programs write
	 * @param duties the requests that only the holder of the duties may send
	 * @param runs copies runs of engines
	 */
	public record Platform(CallCodec calls, RowStore rows, RecordCodec records, Duties duties, EngineRuns runs) {
	}

}
