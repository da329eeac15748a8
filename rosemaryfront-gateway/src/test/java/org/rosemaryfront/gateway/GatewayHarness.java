package org.rosemaryfront.gateway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.netty.resources.LoopResources;

import org.rosemaryfront.gateway.GatewayProcess.Platform;
import org.rosemaryfront.routes.CallKind;
import org.rosemaryfront.routes.CallerLimits;
import org.rosemaryfront.routes.Organisation;
import org.rosemaryfront.routes.Organisation.QuotaUnit;
import org.rosemaryfront.routes.Route;
import org.rosemaryfront.routes.ServiceSpec;
import org.rosemaryfront.routes.TrafficConfiguration;
import org.rosemaryfront.standin.net.FreePorts;
import org.rosemaryfront.tables.Freshness;
import org.rosemaryfront.tables.Role;

/** A gateway with an in-memory store, for tests that call it over sockets. */
final class GatewayHarness implements AutoCloseable {

	static final String SERVERS = "servers";

	/** Long enough for a slow machine; a passing test does not wait this long. */
	private static final long AWAIT_MILLIS = 10_000;

	/** Shorter than the timeout of most routes, longer than that of {@code /short/}. */
	private static final long STOP_MILLIS = 3_000;

	private static final long QUOTA_WINDOW_MILLIS = 8_000;

	/**
	 * Must pass before the first call, so that the fixed part of the retry budget is
	 * available.
	 */
	private static final long RETRY_WINDOW_MILLIS = 10;

	private static final double EXPOSURE_SHARE = 0.5;

	private static final long CHANGE_MILLIS = 2_000;

	private static final long HEARTBEAT_MILLIS = 1_200;

	private static final Duration TICK = Duration.ofMillis(10);

	final MemoryRowStore store;

	final FaultInjectingStore storeAccess;

	final PlainCodecs codecs;

	final RecordedDuties duties = new RecordedDuties();

	final ScriptedRuns runs = new ScriptedRuns();

	final GatewaySettings settings;

	private final LoopResources loops;

	private final GatewayProcess process;

	private final List<String> registered = new ArrayList<>();

	private final long startedNanos;

	private boolean stopped;

	private GatewayHarness(String name, long usageWindowMillis, MemoryRowStore store, PlainCodecs codecs) {
		this(name, usageWindowMillis, STOP_MILLIS, store, codecs);
	}

	private GatewayHarness(String name, long usageWindowMillis, long stopMillis, MemoryRowStore store,
			PlainCodecs codecs) {
		this(name, usageWindowMillis, stopMillis, QUOTA_WINDOW_MILLIS, store, codecs);
	}

	private GatewayHarness(String name, long usageWindowMillis, long stopMillis, long quotaWindowMillis,
			MemoryRowStore store, PlainCodecs codecs) {
		this(settings(name, false, new GatewaySettings.Bounds(stopMillis, 100, 0.2, 64, RETRY_WINDOW_MILLIS,
				quotaWindowMillis, 0, usageWindowMillis, CHANGE_MILLIS, HEARTBEAT_MILLIS, EXPOSURE_SHARE)), store,
				codecs);
	}

	private GatewayHarness(GatewaySettings settings, MemoryRowStore store, PlainCodecs codecs) {
		this.store = store;
		this.storeAccess = new FaultInjectingStore(store);
		this.codecs = codecs;
		this.settings = settings;
		this.loops = LoopResources.create("test", 1, true);
		this.process = GatewayProcess.start(this.settings,
				new Platform(this.codecs, this.storeAccess, this.codecs, this.duties, this.runs), this.loops);
		this.startedNanos = System.nanoTime();
	}

	private static GatewaySettings settings(String name, boolean firstStart, GatewaySettings.Bounds bounds) {
		return new GatewaySettings(name, "a", List.of("a"), freeAddress(), freeAddress(), "/ready", freeAddress(),
				freeAddress(), freeAddress(), firstStart, true, bounds);
	}

	/**
	 * Returns settings for a gateway that is not started yet.
	 * @return the settings, with free ports
	 */
	static GatewaySettings settings() {
		return settings(false);
	}

	private static GatewaySettings settings(boolean firstStart) {
		return settings("gateway-1", firstStart, new GatewaySettings.Bounds(STOP_MILLIS, 100, 0.2, 64,
				RETRY_WINDOW_MILLIS, QUOTA_WINDOW_MILLIS, 0, 5_000, CHANGE_MILLIS, HEARTBEAT_MILLIS, EXPOSURE_SHARE));
	}

	static GatewayHarness start() {
		return new GatewayHarness("gateway-1", 5_000, new MemoryRowStore(), new PlainCodecs());
	}

	/**
	 * Starts a gateway as the whole system starts for the first time.
	 * @return the gateway
	 */
	static GatewayHarness startFirst() {
		return new GatewayHarness(settings(true), new MemoryRowStore(), new PlainCodecs());
	}

	static GatewayHarness startWithStopTime(long millis) {
		return new GatewayHarness("gateway-1", 5_000, millis, new MemoryRowStore(), new PlainCodecs());
	}

	static GatewayHarness startWithUsageWindow(long millis) {
		return new GatewayHarness("gateway-1", millis, new MemoryRowStore(), new PlainCodecs());
	}

	/**
	 * Starts a gateway with another window of its retry budget, of which the fixed part
	 * is not available in the first one.
	 * @param millis the window, in milliseconds
	 * @return the gateway
	 */
	static GatewayHarness startWithRetryWindow(long millis) {
		return new GatewayHarness(
				settings("gateway-1", false,
						new GatewaySettings.Bounds(STOP_MILLIS, 100, 0.2, 64, millis, QUOTA_WINDOW_MILLIS, 0, 5_000,
								CHANGE_MILLIS, HEARTBEAT_MILLIS, EXPOSURE_SHARE)),
				new MemoryRowStore(), new PlainCodecs());
	}

	/**
	 * Starts a second gateway that uses the same store.
	 * @param other the first gateway
	 * @return the second gateway
	 */
	static GatewayHarness startSecond(GatewayHarness other) {
		return new GatewayHarness("gateway-2", other.settings.bounds().usageWindowMillis(), other.store, other.codecs);
	}

	/**
	 * Starts gateways that share a store.
	 * @param store the store
	 * @param count the number of gateways
	 * @param quotaWindowMillis the window of quotas, in milliseconds
	 * @return the gateways
	 */
	static List<GatewayHarness> startFleet(MemoryRowStore store, int count, long quotaWindowMillis) {
		PlainCodecs codecs = new PlainCodecs();
		return IntStream.rangeClosed(1, count)
			.mapToObj((i) -> new GatewayHarness("gateway-" + i, 5_000, STOP_MILLIS, quotaWindowMillis, store, codecs))
			.toList();
	}

	/**
	 * Starts gateways that share a store, each with its own addresses of the servers.
	 * @param store the store
	 * @param codecs the codecs of each gateway
	 * @return the gateways
	 */
	static List<GatewayHarness> startFleet(MemoryRowStore store, List<PlainCodecs> codecs) {
		return IntStream.range(0, codecs.size()).mapToObj((i) -> startOne(store, i + 1, codecs.get(i))).toList();
	}

	/**
	 * Starts one gateway of a fleet.
	 * @param store the store
	 * @param number the number of the gateway, from 1 on
	 * @param codecs its codecs
	 * @return the gateway
	 */
	static GatewayHarness startOne(MemoryRowStore store, int number, PlainCodecs codecs) {
		return new GatewayHarness("gateway-" + number, 5_000, STOP_MILLIS, QUOTA_WINDOW_MILLIS, store, codecs);
	}

	// -- declared configuration

	static TrafficConfiguration configuration(long version, CallerLimits limits, Organisation... organisations) {
		return TrafficConfiguration.of(version,
				List.of(route("sheets", "/sheets/", CallKind.IDEMPOTENT, 2, false, 3_000),
						route("visits", "/visits/", CallKind.NON_IDEMPOTENT, 2, false, 3_000),
						route("drafts", "/drafts/", CallKind.STREAMING, 2, false, 3_000),
						route("summaries", "/summaries/", CallKind.STREAMING, 2, true, 3_000),
						route("short", "/short/", CallKind.IDEMPOTENT, 1, false, 300)),
				List.of(new ServiceSpec("app", 100, Optional.empty(), Optional.empty())), List.of(organisations),
				limits);
	}

	static Organisation organisation(double unitsPerSecond) {
		return new Organisation("sfax", List.of("key-1"), OptionalInt.empty(), unitsPerSecond, 1, QuotaUnit.REQUESTS,
				1);
	}

	private static Route route(String name, String prefix, CallKind kind, int attempts, boolean resumable,
			long timeoutMillis) {
		return new Route(name, "a.example", prefix, kind, timeoutMillis, 500, 0, List.of(new Route.Target("app", 1)),
				attempts, false, resumable);
	}

	GatewayHarness declare(TrafficConfiguration configuration) {
		this.store.put("declared", "traffic", this.codecs.row(configuration));
		return this;
	}

	GatewayHarness declare() {
		return declare(configuration(1, CallerLimits.INITIAL, organisation(0)));
	}

	GatewayHarness register(String id, ScriptedServer server) {
		this.store.put(SERVERS, id, "app " + server.address() + " ready");
		this.registered.add(id);
		return this;
	}

	/**
	 * Waits until the gateway is ready and knows servers that others registered.
	 * @param ids the IDs of all live servers
	 */
	void ready(List<String> ids) throws IOException {
		this.registered.clear();
		this.registered.addAll(ids);
		ready();
	}

	/**
	 * Declares the routes and starts their only server.
	 * @param script the behaviour of the server
	 * @return the server, registered as {@code s1}
	 */
	ScriptedServer startServer(ScriptedServer.Script script) throws IOException {
		ScriptedServer server = ScriptedServer.start(script);
		declare().register("s1", server).ready();
		return server;
	}

	/**
	 * Waits until the gateway is ready, knows the servers registered so far, and can
	 * retry calls. The tables are followed separately, so the configuration may arrive
	 * before the servers. Retries are available one window after the start.
	 */
	GatewayHarness ready() throws IOException {
		await(() -> System.nanoTime() - this.startedNanos > RETRY_WINDOW_MILLIS * 1_000_000);
		await(() -> readiness() == 200 && this.registered.stream().allMatch(this.process::knowsServer));
		return this;
	}

	// -- calls and queries

	RawCaller caller() throws IOException {
		return new RawCaller(this.settings.callers());
	}

	RawCaller.Response send(String request) throws IOException {
		try (RawCaller caller = caller()) {
			return caller.send(request).read();
		}
	}

	/**
	 * Sends calls through gateways at the same time, one caller at each.
	 * @param fleet the gateways
	 * @param millis how long the callers call, in milliseconds
	 * @param pauseMillis the pause of a caller between two calls, in milliseconds
	 * @param check checks each response
	 */
	static void callAll(List<GatewayHarness> fleet, long millis, long pauseMillis, Consumer<RawCaller.Response> check)
			throws Exception {
		long until = System.nanoTime() + millis * 1_000_000;
		try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
			List<Future<Void>> all = fleet.stream()
				.map((gateway) -> callers.submit(() -> gateway.callUntil(until, pauseMillis, check)))
				.toList();
			for (Future<Void> caller : all) {
				caller.get();
			}
		}
	}

	private Void callUntil(long untilNanos, long pauseMillis, Consumer<RawCaller.Response> check)
			throws IOException, InterruptedException {
		while (System.nanoTime() - untilNanos < 0) {
			check.accept(send(RawCaller.get("c1", "/sheets/")));
			Thread.sleep(pauseMillis);
		}
		return null;
	}

	int readiness() {
		return readiness(this.settings);
	}

	/**
	 * Sends a readiness probe.
	 * @param settings the settings of the gateway
	 * @return the status, or 0 if the gateway does not respond
	 */
	static int readiness(GatewaySettings settings) {
		try (RawCaller caller = new RawCaller(settings.readiness())) {
			return caller.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").read().status();
		}
		catch (IOException ex) {
			return 0;
		}
	}

	static void await(BooleanSupplier condition) {
		long until = System.nanoTime() + AWAIT_MILLIS * 1_000_000;
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() - until > 0) {
				throw new AssertionError("condition not met in time");
			}
			try {
				Thread.sleep(10);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new AssertionError(ex);
			}
		}
	}

	/**
	 * Ticks a watch as a gateway in the stand-by role does.
	 * @param watch the watch
	 * @return stops the ticks when disposed
	 */
	static Disposable ticking(TableWatch watch) {
		return Flux.interval(Duration.ZERO, TICK).subscribe((_) -> watch.tick(Role.STAND_BY, System.nanoTime()));
	}

	static TableReplica table() {
		return new TableReplica(Freshness.unconfirmed(2 * HEARTBEAT_MILLIS * 1_000_000));
	}

	/**
	 * Returns the number of live gateways that this one knows.
	 * @return the number, including itself
	 */
	int liveGateways() {
		return this.process.liveGateways();
	}

	boolean knowsServer(String server) {
		return this.process.knowsServer(server);
	}

	/**
	 * Returns the version of the configuration in force.
	 * @return the version, 0 before the first one
	 */
	long configurationVersion() {
		return this.process.configurationVersion();
	}

	/**
	 * Returns whether the gateway reads the tables from the store itself.
	 * @return false while it receives the changes from other gateways
	 */
	boolean readsTables() {
		return this.process.readsTables();
	}

	/**
	 * Returns the coefficients that the gateway has learned for the time to first token.
	 * @return the rates, empty while they rest on too few calls
	 */
	List<Double> learnedRates() {
		return this.process.learnedRates("app");
	}

	/**
	 * Sends a request of an operator.
	 * @param method the method
	 * @param path the path at the address of the metrics
	 * @return the response
	 */
	RawCaller.Response operator(String method, String path) {
		try (RawCaller operator = new RawCaller(this.settings.metrics())) {
			return operator.send(method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n").read();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Reads the metrics of the gateway.
	 * @return the metrics by kind and name
	 */
	JsonNode metrics() throws IOException {
		try (RawCaller caller = new RawCaller(this.settings.metrics())) {
			String body = caller.send("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").read().body();
			return RowJson.tree(body.getBytes(StandardCharsets.UTF_8), "metrics").path("metrics");
		}
	}

	/**
	 * Reads a metric of the gateway.
	 * @param kind the kind, such as counters
	 * @param name the name
	 * @return the value, -1 if there is none
	 */
	long metric(String kind, String name) {
		try {
			JsonNode metric = metrics().path(kind).path(name);
			return metric.path(kind.equals("gauges") ? "value" : "count").asLong(-1);
		}
		catch (IOException ex) {
			return -1;
		}
	}

	/**
	 * Blocks the event loop of all sockets, as on a VM that gets no processor time.
	 * @param begun counted down when the event loop is blocked
	 * @param until the event loop resumes when this reaches zero
	 */
	void stall(CountDownLatch begun, CountDownLatch until) {
		this.loops.onServer(false).next().execute(() -> {
			begun.countDown();
			try {
				until.await();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
	}

	/**
	 * Gives the event loop of all sockets more work than it can do, as when most callers
	 * come to this gateway.
	 * @param millis how long each turn of the event loop takes, in milliseconds
	 * @param until the work ends when this reaches zero
	 */
	void overload(long millis, CountDownLatch until) {
		EventLoop loop = this.loops.onServer(false).next();
		loop.execute(new Runnable() {
			@Override
			public void run() {
				try {
					if (!until.await(millis, TimeUnit.MILLISECONDS)) {
						// Lets the event loop process its connections before the next
						// turn.
						loop.schedule(this, 1, TimeUnit.MILLISECONDS);
					}
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}
		});
	}

	void stop() {
		if (!this.stopped) {
			this.stopped = true;
			this.process.close();
		}
	}

	@Override
	public void close() {
		stop();
		this.store.close();
	}

	private static InetSocketAddress freeAddress() {
		return new InetSocketAddress("127.0.0.1", FreePorts.one());
	}

}
