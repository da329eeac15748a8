package org.rosemaryfront.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import java.util.function.IntSupplier;

import org.reactivestreams.Publisher;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

import org.rosemaryfront.engine.EngineClientSettings;
import org.rosemaryfront.engine.HttpEngineClient;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.Resource;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.peer.proto.Handoff;
import org.rosemaryfront.peer.proto.HandoffReply;
import org.rosemaryfront.peer.proto.ResultRead;
import org.rosemaryfront.peer.proto.ResultTokens;
import org.rosemaryfront.serving.ServingDecisions;
import org.rosemaryfront.serving.ServingEvent;
import org.rosemaryfront.serving.ServingEvent.LeavingSource;
import org.rosemaryfront.serving.ServingParameters;

/**
 * An entry in the test's own process: the real callers' listener, decisions, traffic and
 * hand-off, with the membership replaced by a list of other test entries.
 */
final class TestEntry implements AutoCloseable {

	/** The key of the organisation {@code federation}. */
	static final String KEY = "federation-key";

	/** The key of the organisation {@code rival}. */
	static final String RIVAL_KEY = "rival-key";

	private static final Duration TICK = Duration.ofMillis(5);

	private volatile Configuration configuration = configuration();

	private final List<TestEntry> peers = new ArrayList<>();

	private final Map<String, Integer> refusals = new ConcurrentHashMap<>();

	private final EntryMetrics metrics = EntryMetrics.create();

	private final DecisionRing decisions = DecisionRing.of(100);

	private final HttpEngineClient engines = HttpEngineClient.of(new EngineClientSettings(200, 300));

	private final StreamTable streams = StreamTable.of(new StreamTable.Limits(TimeUnit.SECONDS.toNanos(30), 1 << 20));

	private final AttemptTraffic traffic;

	private final ServingControl control;

	private final CallerServer callers;

	private final HandoffReceiver receiver;

	private final GracefulStop stop;

	private final Disposable housekeeping;

	private final String name;

	private TestEntry(String name, EntrySettings.Limits limits, EntrySettings.Streams streamSettings) {
		this.name = name;
		this.traffic = new AttemptTraffic(this.engines, this.streams, this.decisions, this.metrics, new Context());
		this.control = ServingControl.start(ServingDecisions.of(ServingParameters.defaults("tunis-a"), name.hashCode()),
				TICK, this.traffic::execute);
		this.control.accept(new ServingEvent.ConfigurationApplied(this.configuration));
		this.control.accept(new ServingEvent.PeersReported(1, Map.of()));
		RequestIntake intake = new RequestIntake(() -> this.configuration, this.streams, this.control::accept,
				this.metrics);
		this.stop = new GracefulStop(new EntrySettings.Stop(0, 50, 1_000, 200, 30_000), new Steps());
		this.receiver = new HandoffReceiver(intake, this.streams, this.traffic, this.decisions, this.control::accept,
				this.stop::phase);
		this.callers = CallerServer.start(settings(name, limits, streamSettings), intake,
				new ResultReader(this.streams, new OtherEntries()), this.metrics, new CallerContext());
		StreamCare care = new StreamCare(this.streams, this.traffic, this.decisions, this.metrics, this.control::accept,
				streamSettings);
		this.housekeeping = Flux.interval(Duration.ofMillis(20)).subscribe((_) -> care.tick());
	}

	static TestEntry start(String name) {
		return start(name, new EntrySettings.Limits(0, 0, 0, 0, 0));
	}

	static TestEntry start(String name, EntrySettings.Limits limits) {
		return start(name, limits, new EntrySettings.Streams(0, 0, 0, 100, 0));
	}

	static TestEntry start(String name, EntrySettings.Limits limits, EntrySettings.Streams streams) {
		return new TestEntry(name, limits, streams);
	}

	private static EntrySettings settings(String name, EntrySettings.Limits limits, EntrySettings.Streams streams) {
		EntrySettings.Listener listener = new EntrySettings.Listener("127.0.0.1", 0, null);
		return new EntrySettings(name, "tn-north", "tunis-a", new EntrySettings.Platform("http://127.0.0.1:1", 0),
				listener, new EntrySettings.Operators("127.0.0.1", 0, List.of(), null), listener, limits, streams, null,
				null, null, null);
	}

	private static Configuration configuration() {
		Resource.Pool pool = new Resource.Pool("assistant", Resource.Serves.MODELS, List.of("rounds"),
				List.of("tunis-a", "tunis-b"), List.of("gpu"), 1, 4, Resource.Fencing.CHECKED, 8, 0.001, 1, List.of());
		return Configuration.empty()
			.with(1, List.of(pool, new Resource.Model("rounds", "1", 100),
					new Resource.Adapter("quotes", "rounds", "1", 10), new Resource.LatencyTarget("chat", "assistant",
							Resource.Priority.CHAT, 20_000, 5_000, 60_000, true),
					organisation("federation", KEY), organisation("rival", RIVAL_KEY)), List.of());
	}

	private static Resource.Organisation organisation(String name, String key) {
		return new Resource.Organisation(name, List.of(CallerKeys.hash(key)), 1, List.of("assistant"));
	}

	// -- surroundings

	void know(TestEntry other) {
		this.peers.add(other);
	}

	void leaves(String vm) {
		this.control.accept(new ServingEvent.ServerLeaving(new VmId(vm), LeavingSource.RECLAIM_NOTICE,
				System.nanoTime() + TimeUnit.SECONDS.toNanos(5)));
	}

	void refuseHandoffs(String reason) {
		this.refusals.put(reason, 1);
	}

	void see(String vm, String zone, FakeEngine engine) {
		this.control.accept(new ServingEvent.ServerDiscovered(new VmId(vm), "assistant", zone, engine.address()));
	}

	void forgetConfiguration() {
		this.configuration = Configuration.empty();
	}

	// -- state

	String address() {
		return this.callers.address();
	}

	StreamTable streams() {
		return this.streams;
	}

	long foreignEventsDropped() {
		return this.engines.droppedEvents();
	}

	void stopGracefully() {
		this.stop.run();
	}

	private TestEntry peer(String address) {
		return this.peers.stream().filter((peer) -> peer.name.equals(address)).findFirst().orElseThrow();
	}

	@Override
	public void close() {
		this.housekeeping.dispose();
		this.callers.close();
		this.control.close();
		this.engines.close();
	}

	private final class Context implements AttemptTraffic.Context {

		@Override
		public Configuration configuration() {
			return TestEntry.this.configuration;
		}

		@Override
		public void post(ServingEvent event) {
			TestEntry.this.control.accept(event);
		}

		@Override
		public void postProgress(IntFunction<ServingEvent> event, IntSupplier tokens) {
			TestEntry.this.control.acceptProgress(event, tokens);
		}

		@Override
		public void serverLeaving(VmId server) {
			post(new ServingEvent.ServerLeaving(server, LeavingSource.SERVER, Long.MAX_VALUE));
		}

	}

	private final class CallerContext implements CallerServer.Context {

		@Override
		public Publisher<Void> call(String organisation, String pool, String path, HttpServerRequest request,
				HttpServerResponse response) {
			return response.sendNotFound();
		}

		@Override
		public Configuration configuration() {
			return TestEntry.this.configuration;
		}

		@Override
		public boolean fresh() {
			return TestEntry.this.configuration.revision() > 0;
		}

		@Override
		public ProcessPhase phase() {
			return TestEntry.this.stop.phase();
		}

		@Override
		public HttpServer secured(HttpServer listener) {
			return listener;
		}

	}

	private final class OtherEntries implements ResultReader.Peers {

		@Override
		public Mono<Optional<String>> locate(String request, String organisation) {
			return Mono.fromSupplier(() -> TestEntry.this.peers.stream()
				.filter((peer) -> peer.receiver.holds(request, organisation).isPresent())
				.max(java.util.Comparator
					.comparingLong((TestEntry peer) -> peer.receiver.holds(request, organisation).orElse(0L)))
				.map((peer) -> peer.name));
		}

		@Override
		public Flux<ResultTokens> read(String address, ResultRead read) {
			return peer(address).receiver.read(read);
		}

	}

	private final class Steps implements GracefulStop.Steps {

		@Override
		public void acceptNothing() {
			TestEntry.this.control.accept(new ServingEvent.StopRequested());
		}

		@Override
		public void failRest() {
			TestEntry.this.streams.failOpen();
		}

		@Override
		public void leave() {
		}

		@Override
		public boolean drained() {
			return TestEntry.this.streams.open() == 0 && TestEntry.this.callers.openRequests() == 0;
		}

		@Override
		public Mono<Void> handOver(Duration limit) {
			return new HandoffSender(TestEntry.this.streams, TestEntry.this.traffic, TestEntry.this.decisions,
					TestEntry.this.metrics, TestEntry.this.control::accept,
					() -> TestEntry.this.peers.stream().map((peer) -> peer.name).toList(), this::send)
				.handOverAll(limit);
		}

		private Mono<HandoffReply> send(String address, Handoff handoff) {
			TestEntry peer = peer(address);
			return peer.refusals.isEmpty() ? peer.receiver.take(handoff)
					: Mono.just(HandoffReply.newBuilder().setReason("refused by the test").build());
		}

	}

}
