package org.rosemaryfront.traffic;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Stream;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.paths.Carrier;
import org.rosemaryfront.ports.CallCodec;
import org.rosemaryfront.routes.CallerLimits;
import org.rosemaryfront.routes.ServiceSpec;
import org.rosemaryfront.routes.ServiceSpec.EngineSpec;
import org.rosemaryfront.routes.TrafficConfiguration;
import org.rosemaryfront.traffic.HeldBytes.Holding;

/**
 * The data path of a gateway: the connections of callers, their calls and the connections
 * to backend servers, all on one thread. Decisions are made by {@link CallPolicy}.
 */
public final class Gateway implements AutoCloseable {

	/** The accept backlog, sized for bursts of new connections. */
	private static final int ACCEPT_BACKLOG = 1_024;

	private static final long SWEEP_INTERVAL_MILLIS = 500;

	/**
	 * The time in which the last answers are sent before the connections are closed, in
	 * milliseconds.
	 */
	private static final long LAST_ANSWERS_MILLIS = 50;

	private final EventLoop loop;

	private final CallCodec codec;

	private final CallPolicy policy;

	private final StreamDirectory streams;

	private final TrafficMetrics metrics;

	private final ConnectionPool pool;

	private final TunnelServer tunnels;

	private final Channel listener;

	private final Set<CallerConnection> callers = new HashSet<>();

	private final HeldBytes held = HeldBytes.of(this::holdings, this::heldTooMuch);

	private final OverloadDetector overload = OverloadDetector.startingAt(System.nanoTime());

	private final ThreadDelays delays = ThreadDelays.startingAt(System.nanoTime());

	/** Returns how far the control thread is behind, in nanoseconds. */
	private final LongSupplier controlLagNanos;

	private Gateway(EventLoop loop, Addresses addresses, String zone, CallCodec codec, CallPolicy policy,
			LongSupplier controlLagNanos, StreamDirectory streams, TrafficMetrics metrics) {
		this.controlLagNanos = controlLagNanos;
		this.loop = loop;
		this.codec = codec;
		this.policy = policy;
		this.streams = streams;
		this.metrics = metrics;
		this.pool = new ConnectionPool(loop, codec, zone, this.held::received);
		this.tunnels = TunnelServer.open(loop, addresses.tunnels(), policy, this.pool.connector()::isLost, metrics,
				this.held::received);
		this.listener = bind(addresses.callers());
	}

	// -- factories

	/**
	 * Starts listening for callers and for calls of other gateways.
	 * @param loop the traffic thread
	 * @param addresses the addresses to listen on
	 * @param zone the availability zone of this gateway
	 * @param codec the codec for the headers of calls
	 * @param policy the policy that decides about calls
	 * @param controlLagNanos returns how far the thread that decides is behind, in
	 * nanoseconds
	 * @param streams finds the versions that began streams
	 * @param metrics the metrics of calls
	 * @return the running data path
	 */
	public static Gateway open(EventLoop loop, Addresses addresses, String zone, CallCodec codec, CallPolicy policy,
			LongSupplier controlLagNanos, StreamDirectory streams, TrafficMetrics metrics) {
		Gateway gateway = new Gateway(loop, addresses, zone, codec, policy, controlLagNanos, streams, metrics);
		loop.scheduleWithFixedDelay(gateway::enforceCallerTimeouts, SWEEP_INTERVAL_MILLIS, SWEEP_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
		loop.scheduleWithFixedDelay(gateway::beat, OverloadDetector.BEAT_INTERVAL_MILLIS,
				OverloadDetector.BEAT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		metrics.gauge("callers.connections", gateway.callers::size);
		metrics.gauge("bytes.held", gateway.held::countedBytes);
		metrics.gauge("callers.turned.away", gateway.overload::turnedAwayCount);
		metrics.gauge("servers.connections", gateway.pool::openCount);
		metrics.gauge("servers.reads.paced", gateway.pool.pacing()::awaitedCount);
		metrics.gauge("servers.connections.opened", gateway.pool.connector()::openedCount);
		metrics.gauge("servers.out.of.reach", gateway.pool.connector()::lostCount);
		metrics.gauge("tunnels.open", gateway.tunnels::openCount);
		return gateway;
	}

	// -- changes

	/**
	 * Closes the idle connections to servers that were removed or restarted.
	 * @param current the starts of the current servers
	 */
	public void retainServers(Set<BackendServer.Incarnation> current) {
		Set<BackendServer.Incarnation> starts = Set.copyOf(current);
		this.loop.execute(() -> this.pool.retain(starts,
				starts.stream().map(this.policy::eligibleServer).flatMap(Optional::stream).toList()));
	}

	/**
	 * Checks whether a server is alive by opening a new connection.
	 * @param server the server
	 * @param maxConnections the maximum number of connections of this gateway to the
	 * server
	 * @param result receives what was found, on the traffic thread
	 */
	public void checkAlive(BackendServer server, int maxConnections, Consumer<Liveness> result) {
		this.loop.execute(() -> this.pool.checkAlive(server, maxConnections, result));
	}

	/**
	 * Replaces the other gateways that can carry calls, and that may have calls carried.
	 * @param carriers those that can carry calls
	 * @param addresses the addresses of those that may have calls carried
	 */
	public void gateways(List<Carrier> carriers, Set<InetAddress> addresses) {
		this.loop.execute(() -> {
			this.pool.connector().carriers(carriers);
			this.tunnels.gateways(addresses);
		});
	}

	/**
	 * Returns the number of servers that are not reached over the own links, although
	 * other gateways reach them.
	 * @return the number
	 */
	public int serversOutOfReach() {
		return this.pool.connector().lostCount();
	}

	/**
	 * Closes the connections of callers and of other gateways that have no request in
	 * progress; those of callers are closed with their response otherwise.
	 */
	public void closeIdle() {
		this.loop.execute(() -> {
			List.copyOf(this.callers).forEach(CallerConnection::closeIfIdle);
			this.tunnels.closeIdle();
		});
	}

	/**
	 * Returns whether no call is in progress.
	 * @return true if no connection of a caller or of another gateway has a request in
	 * progress
	 */
	public boolean isIdle() {
		return this.loop.submit(() -> this.callers.stream().allMatch(CallerConnection::isIdle) && this.tunnels.isIdle())
			.syncUninterruptibly()
			.getNow();
	}

	/**
	 * Returns the address that accepts callers.
	 * @return the address, with the port that the system chose if none was given
	 */
	public InetSocketAddress callersAddress() {
		return (InetSocketAddress) this.listener.localAddress();
	}

	/**
	 * Ends all calls, each with an answer to its caller, and closes all connections once
	 * these have been sent.
	 */
	@Override
	public void close() {
		boolean answers = this.loop.submit(this::endCalls).syncUninterruptibly().getNow();
		this.loop.schedule(this::closeConnections, answers ? LAST_ANSWERS_MILLIS : 0, TimeUnit.MILLISECONDS)
			.syncUninterruptibly();
	}

	private boolean endCalls() {
		List<CallerConnection> calling = this.callers.stream().filter((caller) -> !caller.isIdle()).toList();
		calling.forEach(CallerConnection::endCall);
		return !calling.isEmpty();
	}

	private void closeConnections() {
		new ArrayList<>(this.callers).forEach(CallerConnection::abort);
		this.tunnels.close();
	}

	// -- accessors for this package

	EventLoop loop() {
		return this.loop;
	}

	CallCodec codec() {
		return this.codec;
	}

	CallPolicy policy() {
		return this.policy;
	}

	StreamDirectory streams() {
		return this.streams;
	}

	TrafficMetrics metrics() {
		return this.metrics;
	}

	ConnectionPool pool() {
		return this.pool;
	}

	Set<CallerConnection> callers() {
		return this.callers;
	}

	boolean movesRuns(String service) {
		return this.policy.configuration()
			.flatMap((known) -> known.service(service))
			.flatMap(ServiceSpec::engine)
			.flatMap(EngineSpec::moves)
			.isPresent();
	}

	CallerLimits limits() {
		return this.policy.configuration().map(TrafficConfiguration::limits).orElse(CallerLimits.INITIAL);
	}

	private Channel bind(InetSocketAddress address) {
		return new ServerBootstrap().group(this.loop, this.loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					accept(channel);
				}
			})
			.bind(address)
			.syncUninterruptibly()
			.channel();
	}

	private void beat() {
		long now = System.nanoTime();
		this.delays.beat(this.overload.beat(now), this.controlLagNanos.getAsLong(), this.metrics.tally(), now)
			.ifPresent(ThreadDelays.Summary::log);
	}

	private void accept(Channel channel) {
		if (this.overload.isOverloaded()) {
			this.overload.turnedAway();
			channel.close();
			return;
		}
		CallerConnection connection = new CallerConnection(this);
		channel.pipeline().addLast(new ChannelInboundHandlerAdapter() {
			@Override
			public void channelRead(ChannelHandlerContext context, Object message) {
				connection.bytesArrived();
				Gateway.this.held.received(((ByteBuf) message).readableBytes());
				context.fireChannelRead(message);
			}
		})
			.addLast(new StrictRequestDecoder(limits().headerBytes()))
			.addLast(new HttpResponseEncoder())
			.addLast(connection);
	}

	private List<Holding> holdings() {
		return Stream.concat(this.callers.stream().flatMap(CallerConnection::holdings), this.tunnels.holdings())
			.toList();
	}

	private void heldTooMuch(HeldBytes.Kind kind, long bytes) {
		this.metrics.increment("bytes.held.released");
		EventLog.warn(TrafficEvents.MEMORY_BOUND_REACHED, "kind", kind, "heldBytes", bytes, "maxBytes", kind.maxBytes(),
				"callers", this.callers.size(), "tunnels", this.tunnels.openCount());
	}

	private void enforceCallerTimeouts() {
		long now = System.nanoTime();
		CallerLimits limits = limits();
		List.copyOf(this.callers).forEach((connection) -> connection.enforceTimeouts(now, limits));
	}

	/**
	 * The addresses of a gateway.
	 *
	 * @param callers the address that accepts callers
	 * @param tunnels the address that accepts calls of other gateways
	 */
	public record Addresses(InetSocketAddress callers, InetSocketAddress tunnels) {
	}

}
