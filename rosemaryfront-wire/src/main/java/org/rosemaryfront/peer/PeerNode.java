package org.rosemaryfront.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.membership.DepartureNotice;
import org.rosemaryfront.membership.MemberId;
import org.rosemaryfront.membership.MemberRecord;
import org.rosemaryfront.membership.MemberState;
import org.rosemaryfront.membership.MembershipEvent;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.peer.proto.Frame;
import org.rosemaryfront.peer.proto.Handoff;
import org.rosemaryfront.peer.proto.HandoffReply;
import org.rosemaryfront.peer.proto.ResultLocation;
import org.rosemaryfront.peer.proto.ResultLookup;
import org.rosemaryfront.peer.proto.ResultRead;
import org.rosemaryfront.peer.proto.ResultTokens;
import org.rosemaryfront.platform.CloudClient;
import org.rosemaryfront.platform.TableClient;

/**
 * A process among its peers: knows the members, has the configuration in force, tells and
 * learns departures of backend servers and what organisations use, and moves requests
 * between entry processes.
 *
 * <p>
 * It has one control thread and one thread for its sockets; all its queries read
 * snapshots and never wait.
 *
 * <pre>
 * PeerSettings settings = PeerSettings.of(vm, region, zone, PeerSettings.ENTRY, host, 0);
 * try (PeerNode node = PeerNode.start(settings, tables, cloud, handler)) {
 *     node.announceDeparture(server, remainingMillis);
 * }
 * </pre>
 */
public final class PeerNode implements AutoCloseable {

	/** How often a port is sought that is free for TCP and UDP. */
	private static final int BIND_ATTEMPTS = 20;

	/** Peers asked at the same time who holds a request. */
	private static final int LOOKUP_CONCURRENCY = 64;

	private final PeerSettings settings;

	private final PeerHandler handler;

	private final MultiThreadIoEventLoopGroup group;

	private final FrameServer server;

	private final DatagramEndpoint datagrams;

	private final FrameClient client;

	private final PeerControl control;

	private final String address;

	private PeerNode(PeerSettings settings, TableClient tables, CloudClient cloud, PeerHandler handler) {
		this.settings = settings;
		this.handler = handler;
		this.group = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("peer-io", true),
				NioIoHandler.newFactory());
		CompletableFuture<PeerControl> started = new CompletableFuture<>();
		Sockets sockets = bind(started);
		this.server = sockets.server();
		this.datagrams = sockets.datagrams();
		this.address = Addresses.format(this.server.address());
		this.client = FrameClient.of(this.group.next(), settings.timing(), settings.tls());
		MemberRecord self = new MemberRecord(new MemberId(settings.vm(), settings.role()), this.address,
				settings.zone(), System.currentTimeMillis(), MemberState.ALIVE, 0);
		this.control = PeerControl
			.start(new PeerControl.Parts(settings, tables, cloud, handler, this.client, this.datagrams), self);
		started.complete(this.control);
		EventLog.info(MembershipEvents.PEER_LISTENING, "address", this.address, "member", self.id());
	}

	// -- factories

	/**
	 * Starts listening and joins the peers.
	 * @param settings how it takes part
	 * @param tables the table service, read only
	 * @param cloud the source of the VM list
	 * @param handler what the process does with what peers tell and ask
	 * @return the running node
	 */
	public static PeerNode start(PeerSettings settings, TableClient tables, CloudClient cloud, PeerHandler handler) {
		Objects.requireNonNull(settings, "settings is null");
		Objects.requireNonNull(tables, "tables is null");
		Objects.requireNonNull(cloud, "cloud is null");
		Objects.requireNonNull(handler, "handler is null");
		return new PeerNode(settings, tables, cloud, handler);
	}

	private Sockets bind(CompletableFuture<PeerControl> started) {
		RuntimeException last = null;
		int attempts = (this.settings.port() == 0) ? BIND_ATTEMPTS : 1;
		for (int attempt = 0; attempt < attempts; attempt++) {
			FrameServer listener = FrameServer.open(this.group,
					new InetSocketAddress(this.settings.host(), this.settings.port()),
					this.settings.timing().silenceMillis(), this.settings.tls(), this::answer);
			try {
				DatagramEndpoint endpoint = DatagramEndpoint.open(this.group, listener.address(),
						this.settings.region(),
						(from, message) -> started.thenAccept((running) -> running.arrived(from, message)));
				return new Sockets(listener, endpoint);
			}
			catch (RuntimeException ex) {
				last = ex;
				listener.close();
			}
		}
		throw last;
	}

	// -- membership

	/**
	 * The address of its listener.
	 * @return {@code host:port}, for TCP and UDP
	 */
	public String address() {
		return this.address;
	}

	/**
	 * Tells all peers that a backend server is leaving.
	 * @param vm the VM
	 * @param remainingMillis the time left, in milliseconds, negative when unknown
	 */
	public void announceDeparture(VmId vm, long remainingMillis) {
		this.control.accept(new MembershipEvent.DepartureDetected(new DepartureNotice(vm, remainingMillis)));
	}

	/**
	 * Announces that this process is leaving; final.
	 */
	public void leave() {
		EventLog.info(MembershipEvents.LEAVE_ANNOUNCED, "address", this.address);
		this.control.accept(new MembershipEvent.LeaveRequested());
	}

	/**
	 * All members, this one included, by VM and role.
	 * @return the members that are alive, suspect or leaving, and those lately dead
	 */
	public List<MemberView> members() {
		return this.control.snapshot().members();
	}

	/**
	 * Asks all members that were last heard to be behind this one which revision they
	 * have in force now; {@link #members()} shows their answers as they come. For an
	 * operator who waits: it costs a datagram a member, at most twice a second.
	 */
	public void askRevisions() {
		this.control.accept(new MembershipEvent.RevisionsRequested());
	}

	// -- configuration

	/**
	 * The configuration in force here.
	 * @return the configuration
	 */
	public Configuration configuration() {
		return this.control.history().configuration();
	}

	/**
	 * Whether new work may be accepted under the configuration in force. Compares with
	 * the clock at each call: a process that wakes from a long pause is not fresh before
	 * it has reached someone again.
	 * @return true when a configuration is known and the table service or a peer was
	 * reached within the staleness limit
	 */
	public boolean fresh() {
		return this.control.snapshot().freshUntil().filter((until) -> System.nanoTime() - until <= 0).isPresent();
	}

	// -- usage

	/**
	 * Sets what this process tells its peers of its use.
	 * @param tokensInFlight tokens in flight by organisation
	 */
	public void usage(Map<String, Long> tokensInFlight) {
		this.control.usage(tokensInFlight);
	}

	/**
	 * What the peers use, estimated from their digests.
	 * @return tokens in flight by organisation, without this process
	 */
	public Map<String, Long> peerUsage() {
		return this.control.peerUsage();
	}

	// -- requests

	/**
	 * Hands a request over to a peer; sent again over a new connection when a connection
	 * that was used before broke.
	 * @param peer the address of the peer
	 * @param handoff the request
	 * @return its reply; an error of {@link PeerException}
	 */
	public Mono<HandoffReply> handOff(String peer, Handoff handoff) {
		return this.client.ask(peer, Frame.newBuilder().setHandoff(handoff).build()).map(Frame::getHandoffReply);
	}

	/**
	 * Finds the peer that holds a request. Peers that do not answer count as not holding
	 * it.
	 * @param request the request
	 * @param organisation the name of the organisation that asks
	 * @return the address of the holder with the highest epoch, empty when none holds it
	 */
	public Mono<Optional<String>> locate(String request, String organisation) {
		Frame question = Frame.newBuilder()
			.setResultLookup(ResultLookup.newBuilder().setRequest(request).setOrganisation(organisation))
			.build();
		return Flux.fromIterable(this.control.snapshot().otherEntries(this.settings.vm()))
			.flatMap((member) -> this.client.ask(member.address(), question)
				.map((answer) -> new Holder(member.address(), answer.getResultLocation()))
				.filter((holder) -> holder.location().getHolds())
				.onErrorResume(PeerException.class, (_) -> Mono.empty()), LOOKUP_CONCURRENCY)
			.reduce((one, other) -> (one.location().getEpoch() >= other.location().getEpoch()) ? one : other)
			.map((holder) -> Optional.of(holder.address()))
			.defaultIfEmpty(Optional.empty());
	}

	/**
	 * Streams the tokens of a request from its holder.
	 * @param holder the address of the holder
	 * @param read the request, its organisation and the offset
	 * @return the tokens as they come; an error of {@link PeerException} when the holder
	 * fails or its connection breaks, after which the caller reads again at its offset
	 */
	public Flux<ResultTokens> read(String holder, ResultRead read) {
		return this.client.stream(holder, Frame.newBuilder().setResultRead(read).build()).map(Frame::getResultTokens);
	}

	private Publisher<Frame> answer(Frame question) {
		return switch (question.getKindCase()) {
			case CONFIGURATION_REQUEST -> Mono.just(Frame.newBuilder()
				.setConfigurationReply(
						this.control.history().reply(question.getConfigurationRequest().getKnownRevision()))
				.build());
			case HANDOFF -> this.handler.handoffArrived(question.getHandoff())
				.map((reply) -> Frame.newBuilder().setHandoffReply(reply).build());
			case RESULT_LOOKUP -> Mono.fromSupplier(() -> location(question.getResultLookup()));
			case RESULT_READ -> this.handler.read(question.getResultRead())
				.map((tokens) -> Frame.newBuilder().setResultTokens(tokens).build());
			case CONFIGURATION_REPLY, HANDOFF_REPLY, RESULT_LOCATION, RESULT_TOKENS, KIND_NOT_SET ->
				Mono.error(new IllegalArgumentException("a question was expected"));
		};
	}

	private Frame location(ResultLookup lookup) {
		ResultLocation.Builder location = ResultLocation.newBuilder();
		this.handler.holds(lookup.getRequest(), lookup.getOrganisation())
			.ifPresent((epoch) -> location.setHolds(true).setEpoch(epoch));
		return Frame.newBuilder().setResultLocation(location).build();
	}

	// -- end

	/**
	 * Announces the leave and stops listening.
	 */
	@Override
	public void close() {
		this.control.close();
		this.client.close();
		this.server.close();
		this.datagrams.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(Duration.ofSeconds(2).toMillis());
	}

	private record Holder(String address, ResultLocation location) {
	}

	private record Sockets(FrameServer server, DatagramEndpoint datagrams) {
	}

}
