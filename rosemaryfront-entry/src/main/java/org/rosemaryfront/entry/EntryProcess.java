package org.rosemaryfront.entry;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import java.util.function.IntSupplier;

import org.reactivestreams.Publisher;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

import org.rosemaryfront.configuration.ConfigurationStore;
import org.rosemaryfront.engine.EngineClientSettings;
import org.rosemaryfront.engine.HttpEngineClient;
import org.rosemaryfront.lease.LeaseRowCodec;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.RequestId;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.operators.LeaseView;
import org.rosemaryfront.operators.OperatorServer;
import org.rosemaryfront.operators.OperatorSettings;
import org.rosemaryfront.operators.OperatorView;
import org.rosemaryfront.operators.ServerView;
import org.rosemaryfront.peer.MemberView;
import org.rosemaryfront.peer.PeerHandler;
import org.rosemaryfront.peer.PeerNode;
import org.rosemaryfront.peer.PeerSettings;
import org.rosemaryfront.peer.proto.Handoff;
import org.rosemaryfront.peer.proto.HandoffReply;
import org.rosemaryfront.peer.proto.ResultRead;
import org.rosemaryfront.peer.proto.ResultTokens;
import org.rosemaryfront.platform.HttpPlatform;
import org.rosemaryfront.platform.PlatformSettings;
import org.rosemaryfront.program.Program;
import org.rosemaryfront.services.ServiceCalls;
import org.rosemaryfront.services.ServiceServer;
import org.rosemaryfront.serving.ServingDecisions;
import org.rosemaryfront.serving.ServingEvent;
import org.rosemaryfront.serving.ServingEvent.LeavingSource;
import org.rosemaryfront.serving.ServingParameters;
import org.rosemaryfront.tls.TlsContexts;
import org.rosemaryfront.tls.TlsSettings;

/**
 * One entry process: composes the listeners, the control thread, the watches and the
 * graceful stop.
 *
 * <pre>
 * try (EntryProcess entry = EntryProcess.start(settings)) {
 *     System.out.println(entry.listeners());
 * }
 * </pre>
 */
public final class EntryProcess implements Program.Running {

	private static final Duration CONTROL_INTERVAL = Duration.ofMillis(10);

	private static final Duration HOUSEKEEPING = Duration.ofMillis(250);

	private static final int EXPLAINED_REQUESTS = 2_000;

	private final Disposable.Composite tasks = Disposables.composite();

	private final OtherEntries others;

	private final EntryMetrics metrics = EntryMetrics.create();

	private final DecisionRing decisions = DecisionRing.of(EXPLAINED_REQUESTS);

	private final EntrySettings settings;

	private final HttpPlatform platform;

	private final HttpEngineClient engines;

	private final StreamTable streams;

	private final AttemptTraffic traffic;

	private final ServingControl control;

	private final ServerDirectory directory;

	private final RequestIntake intake;

	private final HandoffReceiver receiver;

	private final ServiceCalls services;

	private final GracefulStop stop;

	private final Optional<TlsContexts> callerTls;

	private final Optional<TlsContexts> peerTls;

	private volatile PeerNode peers;

	private CallerServer callers;

	private OperatorServer operators;

	private ServerWatch watch;

	private EntryProcess(EntrySettings settings) {
		this.settings = settings;
		this.others = OtherEntries.of(new VmId(settings.vm()), this::members);
		this.callerTls = tls(settings.callers().tls());
		this.peerTls = tls(settings.peers().tls());
		this.platform = HttpPlatform
			.of(new PlatformSettings(settings.platform().url(), settings.platform().timeoutMillis()));
		this.engines = HttpEngineClient.of(new EngineClientSettings(settings.engines().connectTimeoutMillis(),
				settings.engines().silenceMillis()));
		this.streams = StreamTable
			.of(new StreamTable.Limits(TimeUnit.MILLISECONDS.toNanos(settings.streams().retentionMillis()),
					settings.streams().retentionBytes()));
		this.traffic = new AttemptTraffic(this.engines, this.streams, this.decisions, this.metrics,
				new TrafficContext());
		this.control = ServingControl.start(
				ServingDecisions.of(ServingParameters.defaults(settings.zone()), new SecureRandom().nextLong()),
				CONTROL_INTERVAL, this.traffic::execute);
		this.directory = new ServerDirectory(new VmId(settings.vm()), new DirectoryListener());
		this.intake = new RequestIntake(this::configuration, this.streams, this.control::accept, this.metrics);
		this.services = ServiceCalls.of(settings.services().forEntry(new VmId(settings.vm()), settings.zone()),
				this.platform, this::configuration, this::serviceServers, this.others::gone);
		this.stop = new GracefulStop(settings.stop(), new StopSteps());
		this.receiver = new HandoffReceiver(this.intake, this.streams, this.traffic, this.decisions,
				this.control::accept, this.stop::phase);
	}

	// -- factories

	/**
	 * Starts an entry process.
	 * @param settings its settings
	 * @return the running process
	 */
	public static EntryProcess start(EntrySettings settings) {
		EntryProcess entry = new EntryProcess(settings);
		entry.open();
		return entry;
	}

	private void open() {
		this.peers = PeerNode.start(peerSettings(), this.platform, this.platform, new PeerCalls());
		this.callers = CallerServer.start(this.settings, this.intake, new ResultReader(this.streams, new HeldByPeers()),
				this.metrics, new CallerContext());
		EntrySettings.Operators listener = this.settings.operators();
		this.operators = OperatorServer.start(
				new OperatorSettings(listener.host(), listener.port(), listener.keyHashes(), listener.tls()),
				ConfigurationStore.of(this.platform), new View());
		this.watch = new ServerWatch(this.platform, this.engines, this.directory, new DirectoryListener(),
				this.settings.watch(), this.others::live);
		this.watch.start();
		this.metrics.gauge("serving.openStreams", this.streams::open);
		this.metrics.gauge("engines.foreignEventsDropped", this.engines::droppedEvents);
		StreamCare care = new StreamCare(this.streams, this.traffic, this.decisions, this.metrics, this.control::accept,
				this.settings.streams());
		this.tasks.add(Flux.interval(HOUSEKEEPING).onBackpressureDrop().subscribe((_) -> care.tick()));
		this.tasks.add(Flux.interval(Duration.ofSeconds(1)).onBackpressureDrop().subscribe((_) -> reportUsage()));
	}

	private PeerSettings peerSettings() {
		PeerSettings plain = PeerSettings.of(new VmId(this.settings.vm()), this.settings.region(), this.settings.zone(),
				PeerSettings.ENTRY, this.settings.peers().host(), this.settings.peers().port());
		return this.peerTls.map((tls) -> plain.withTls(tls::server, tls::client)).orElse(plain);
	}

	private static Optional<TlsContexts> tls(TlsSettings settings) {
		return settings.enabled() ? Optional.of(TlsContexts.start(settings)) : Optional.empty();
	}

	// -- life

	@Override
	public Map<String, String> listeners() {
		return Map.of("callers", this.callers.address(), "operators", this.operators.address(), "peers",
				this.peers.address());
	}

	@Override
	public CompletionStage<Void> finished() {
		return this.stop.reclaimed();
	}

	/**
	 * Stops in good order: finishes or hands over everything accepted.
	 */
	@Override
	public void close() {
		this.stop.run();
		this.tasks.dispose();
		this.watch.close();
		this.callers.close();
		this.operators.close();
		this.peers.close();
		this.control.close();
		this.callerTls.ifPresent(TlsContexts::close);
		this.peerTls.ifPresent(TlsContexts::close);
		settleCalls();
		this.services.close();
		this.engines.close();
		this.platform.close();
	}

	// Outcomes of calls to plain services may still be on their way to the table service.
	private void settleCalls() {
		this.services.drain().timeout(Duration.ofMillis(this.settings.stop().lastMillis())).onErrorComplete().block();
	}

	private void reportUsage() {
		this.peers.usage(this.control.tokensInFlight());
		this.control.accept(new ServingEvent.PeersReported(this.others.live(), this.peers.peerUsage()));
	}

	// -- views

	private Configuration configuration() {
		PeerNode node = this.peers;
		return (node != null) ? node.configuration() : Configuration.empty();
	}

	private List<MemberView> members() {
		PeerNode node = this.peers;
		return (node != null) ? node.members() : List.of();
	}

	private List<ServiceServer> serviceServers() {
		return this.directory.all()
			.stream()
			.filter((known) -> !known.isRunner())
			.map((known) -> new ServiceServer(known.vm(), known.pool(), known.zone(), known.address(), known.leaving()))
			.toList();
	}

	private final class TrafficContext implements AttemptTraffic.Context {

		@Override
		public Configuration configuration() {
			return EntryProcess.this.configuration();
		}

		@Override
		public void post(ServingEvent event) {
			EntryProcess.this.control.accept(event);
		}

		@Override
		public void postProgress(IntFunction<ServingEvent> event, IntSupplier tokens) {
			EntryProcess.this.control.acceptProgress(event, tokens);
		}

		@Override
		public void serverLeaving(VmId server) {
			EntryProcess.this.directory.left(server, LeavingSource.SERVER, -1);
		}

	}

	private final class DirectoryListener implements ServerDirectory.Listener {

		@Override
		public void post(ServingEvent event) {
			EntryProcess.this.control.accept(event);
		}

		@Override
		public void leaving(VmId vm, LeavingSource source, long remainingMillis) {
			long goneAt = (remainingMillis < 0) ? Long.MAX_VALUE
					: System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(remainingMillis);
			EntryProcess.this.control.accept(new ServingEvent.ServerLeaving(vm, source, goneAt));
			if (source != LeavingSource.PEER) {
				EntryProcess.this.peers.announceDeparture(vm, remainingMillis);
			}
		}

		@Override
		public void reclaimed(long remainingMillis) {
			EntryProcess.this.stop.reclaimed(remainingMillis);
		}

	}

	private final class PeerCalls implements PeerHandler {

		@Override
		public void configurationApplied(Configuration configuration) {
			EntryProcess.this.control.accept(new ServingEvent.ConfigurationApplied(configuration));
		}

		@Override
		public void departureLearned(VmId vm, long remainingMillis) {
			EntryProcess.this.directory.left(vm, LeavingSource.PEER, remainingMillis);
		}

		@Override
		public Mono<HandoffReply> handoffArrived(Handoff handoff) {
			return EntryProcess.this.receiver.take(handoff);
		}

		@Override
		public Optional<Long> holds(String request, String organisation) {
			return EntryProcess.this.receiver.holds(request, organisation);
		}

		@Override
		public Flux<ResultTokens> read(ResultRead read) {
			return EntryProcess.this.receiver.read(read);
		}

	}

	private final class HeldByPeers implements ResultReader.Peers {

		@Override
		public Mono<Optional<String>> locate(String request, String organisation) {
			return EntryProcess.this.peers.locate(request, organisation);
		}

		@Override
		public Flux<ResultTokens> read(String address, ResultRead read) {
			return EntryProcess.this.peers.read(address, read);
		}

	}

	private final class CallerContext implements CallerServer.Context {

		@Override
		public Publisher<Void> call(String organisation, String pool, String path, HttpServerRequest request,
				HttpServerResponse response) {
			return EntryProcess.this.services.handle(organisation, pool, path, request, response);
		}

		@Override
		public Configuration configuration() {
			return EntryProcess.this.configuration();
		}

		@Override
		public boolean fresh() {
			return EntryProcess.this.peers.fresh();
		}

		@Override
		public ProcessPhase phase() {
			return EntryProcess.this.stop.phase();
		}

		@Override
		public HttpServer secured(HttpServer listener) {
			return EntryProcess.this.callerTls.map((tls) -> tls.secure(listener)).orElse(listener);
		}

	}

	private final class View implements OperatorView {

		@Override
		public void drain(VmId vm) {
			EntryProcess.this.directory.left(vm, LeavingSource.DRAIN, -1);
		}

		@Override
		public List<String> explain(String request) {
			return EntryProcess.this.decisions.explain(new RequestId(request));
		}

		@Override
		public Configuration inForce() {
			return EntryProcess.this.configuration();
		}

		@Override
		public Mono<Optional<LeaseView>> lease() {
			return EntryProcess.this.platform.read("lease", "controller")
				.map((row) -> row.map((found) -> LeaseRowCodec.read(found.value()))
					.map((lease) -> new LeaseView(new VmId(lease.holder()), lease.fence(), lease.termMillis())))
				.onErrorReturn(Optional.empty());
		}

		@Override
		public List<MemberView> members() {
			return EntryProcess.this.members();
		}

		@Override
		public List<ServerView> servers() {
			return EntryProcess.this.directory.all()
				.stream()
				.map((known) -> new ServerView(known.vm(), known.pool(), known.zone(), known.address(),
						known.leaving() ? "leaving" : "serving", List.of(),
						EntryProcess.this.traffic.inFlight(known.vm())))
				.toList();
		}

	}

	private final class StopSteps implements GracefulStop.Steps {

		@Override
		public void acceptNothing() {
			EntryProcess.this.control.accept(new ServingEvent.StopRequested());
		}

		@Override
		public void failRest() {
			EntryProcess.this.streams.failOpen();
		}

		@Override
		public void leave() {
			EntryProcess.this.peers.leave();
		}

		@Override
		public boolean drained() {
			return EntryProcess.this.streams.open() == 0 && EntryProcess.this.callers.openRequests() == 0;
		}

		@Override
		public Mono<Void> handOver(Duration limit) {
			return new HandoffSender(EntryProcess.this.streams, EntryProcess.this.traffic, EntryProcess.this.decisions,
					EntryProcess.this.metrics, EntryProcess.this.control::accept, EntryProcess.this.others::addresses,
					EntryProcess.this.peers::handOff)
				.handOverAll(limit);
		}

	}

}
