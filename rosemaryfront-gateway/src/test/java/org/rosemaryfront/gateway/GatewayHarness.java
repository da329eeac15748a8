package org.rosemaryfront.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;

import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.netty.resources.LoopResources;

import org.rosemaryfront.gateway.GatewayProcess.Platform;
import org.rosemaryfront.routes.CallKind;
import org.rosemaryfront.routes.CallerLimits;
import org.rosemaryfront.routes.Organisation;
import org.rosemaryfront.routes.Organisation.Counts;
import org.rosemaryfront.routes.Route;
import org.rosemaryfront.routes.ServiceSpec;
import org.rosemaryfront.routes.TrafficConfiguration;
import org.rosemaryfront.standin.net.FreePorts;
import org.rosemaryfront.tables.Freshness;
import org.rosemaryfront.tables.Role;

/** A gateway with a store in memory, for tests that talk to it over sockets. */
final class GatewayHarness implements AutoCloseable {

	static final String SERVERS = "servers";

	/** Long enough for a slow machine; a test that passes waits for none of it. */
	private static final long AWAIT_MILLIS = 10_000;

	/** Shorter than the timeout of most routes, longer than that of {@code /short/}. */
	private static final long STOP_MILLIS = 3_000;

	private static final long QUOTA_WINDOW_MILLIS = 8_000;

	/**
	 * Waited for before the first call, so that the fixed part of the retries is there.
	 */
	private static final long RETRY_WINDOW_MILLIS = 10;

	private static final double EXPOSURE_SHARE = 0.5;

	private static final long CHANGE_MILLIS = 2_000;

	private static final long HEARTBEAT_MILLIS = 1_200;

	private static final Duration TICK = Duration.ofMillis(10);

	final MemoryRowStore store;

	final DeniableStore access;

	final PlainCodecs codecs;

	final RecordedDuties duties = new RecordedDuties();

	final GatewaySettings settings;

	private final LoopResources loops;

	private final GatewayProcess process;

	private final List<String> registered = new ArrayList<>();

	private final long startedNanos;

	private GatewayHarness(String name, long usageWindowMillis, MemoryRowStore store, PlainCodecs codecs) {
		this(name, usageWindowMillis, STOP_MILLIS, store, codecs);
	}

	private GatewayHarness(String name, long usageWindowMillis, long stopMillis, MemoryRowStore store,
			PlainCodecs codecs) {
		this(name, usageWindowMillis, stopMillis, QUOTA_WINDOW_MILLIS, store, codecs);
	}

	private GatewayHarness(String name, long usageWindowMillis, long stopMillis, long quotaWindowMillis,
			MemoryRowStore store, PlainCodecs codecs) {
		this.store = store;
		this.access = new DeniableStore(store);
		this.codecs = codecs;
		this.settings = settings(name, new GatewaySettings.Bounds(stopMillis, 100, 0.2, 64, RETRY_WINDOW_MILLIS,
				quotaWindowMillis, 0, usageWindowMillis, CHANGE_MILLIS, HEARTBEAT_MILLIS, EXPOSURE_SHARE));
		this.loops = LoopResources.create("test", 1, true);
		this.process = GatewayProcess.start(this.settings,
				new Platform(this.codecs, this.access, this.codecs, this.duties), this.loops);
		this.startedNanos = System.nanoTime();
	}

	private static GatewaySettings settings(String name, GatewaySettings.Bounds bounds) {
		return new GatewaySettings(name, "a", List.of("a"), free(), free(), "/ready", free(), free(), bounds);
	}

	/**
	 * Settings of a gateway that is not started yet.
	 * @return the settings, with ports that are free
	 */
	static GatewaySettings settings() {
		return settings("gateway-1", new GatewaySettings.Bounds(STOP_MILLIS, 100, 0.2, 64, RETRY_WINDOW_MILLIS,
				QUOTA_WINDOW_MILLIS, 0, 5_000, CHANGE_MILLIS, HEARTBEAT_MILLIS, EXPOSURE_SHARE));
	}

	static GatewayHarness start() {
		return new GatewayHarness("gateway-1", 5_000, new MemoryRowStore(), new PlainCodecs());
	}

	static GatewayHarness startWithStopTime(long millis) {
		return new GatewayHarness("gateway-1", 5_000, millis, new MemoryRowStore(), new PlainCodecs());
	}

	static GatewayHarness startWithUsageWindow(long millis) {
		return new GatewayHarness("gateway-1", millis, new MemoryRowStore(), new PlainCodecs());
	}

	/**
	 * Starts a second gateway before the same store.
	 * @param other the first one
	 * @return the second
	 */
	static GatewayHarness startBeside(GatewayHarness other) {
		return new GatewayHarness("gateway-2", other.settings.bounds().usageWindowMillis(), other.store, other.codecs);
	}

	/**
	 * Starts gateways before one store.
	 * @param store the store
	 * @param count how many
	 * @param quotaWindowMillis the window of quotas, in milliseconds
	 * @return the gateways
	 */
	static List<GatewayHarness> startFleet(MemoryRowStore store, int count, long quotaWindowMillis) {
		PlainCodecs codecs = new PlainCodecs();
		return IntStream.rangeClosed(1, count)
			.mapToObj((i) -> new GatewayHarness("gateway-" + i, 5_000, STOP_MILLIS, quotaWindowMillis, store, codecs))
			.toList();
	}

	// -- what is declared

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
		return new Organisation("sfax", List.of("key-1"), OptionalInt.empty(), unitsPerSecond, 1, Counts.REQUESTS, 1);
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
	 * Waits until callers may come and the gateway knows servers that others registered.
	 * @param ids all servers that live
	 */
	void ready(List<String> ids) throws IOException {
		this.registered.clear();
		this.registered.addAll(ids);
		ready();
	}

	/**
	 * Declares the routes and starts the one server behind them.
	 * @param script what the server does
	 * @return the server, named {@code s1}
	 */
	ScriptedServer serving(ScriptedServer.Script script) throws IOException {
		ScriptedServer server = ScriptedServer.start(script);
		declare().register("s1", server).ready();
		return server;
	}

	/**
	 * Waits until callers may come and the servers registered so far are known: the two
	 * tables are followed apart, so that the configuration can come first. Retries come a
	 * window after the start.
	 */
	GatewayHarness ready() throws IOException {
		await(() -> System.nanoTime() - this.startedNanos > RETRY_WINDOW_MILLIS * 1_000_000);
		await(() -> readiness() == 200 && this.registered.stream().allMatch(this.process::knows));
		return this;
	}

	// -- talking to it

	RawCaller caller() throws IOException {
		return new RawCaller(this.settings.callers());
	}

	RawCaller.Answer ask(String request) throws IOException {
		try (RawCaller caller = caller()) {
			return caller.send(request).read();
		}
	}

	int readiness() {
		return readiness(this.settings);
	}

	/**
	 * Asks whether callers may come.
	 * @param settings those of the gateway
	 * @return the status, 0 when nobody answers
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
				throw new AssertionError("what was waited for did not come");
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
	 * Lets a watch of its own ask the store, as a gateway that reads for others does.
	 * @param watch the watch
	 * @return ends that
	 */
	static Disposable ticking(TableWatch watch) {
		return Flux.interval(Duration.ZERO, TICK).subscribe((_) -> watch.tick(Role.STAND_BY, System.nanoTime()));
	}

	static FollowedTable table() {
		return new FollowedTable(Freshness.unproven(2 * HEARTBEAT_MILLIS * 1_000_000));
	}

	/**
	 * The gateways that this one knows to live.
	 * @return the count, itself included
	 */
	int hears() {
		return this.process.living();
	}

	boolean knows(String server) {
		return this.process.knows(server);
	}

	/**
	 * Whether the gateway reads the tables of the store itself.
	 * @return false while others tell it what changes
	 */
	boolean reads() {
		return this.process.readsTables();
	}

	/**
	 * What the gateway has learned of how long the servers take to a first token.
	 * @return the rates, empty as long as they rest on few calls
	 */
	List<Double> learned() {
		return this.process.learned("app");
	}

	/**
	 * Keeps the thread of all sockets from its work, as a VM without processor time does.
	 * @param begun counted down when it stands still
	 * @param until it goes on when this is counted down
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

	void stop() {
		this.process.close();
	}

	@Override
	public void close() {
		this.process.close();
		this.store.close();
	}

	private static InetSocketAddress free() {
		return new InetSocketAddress("127.0.0.1", FreePorts.one());
	}

}
