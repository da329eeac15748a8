package org.rosemaryfront.traffic;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.paths.Carrier;
import org.rosemaryfront.paths.Carriers;
import org.rosemaryfront.paths.ServerPaths;
import org.rosemaryfront.paths.ServerPaths.Sign;
import org.rosemaryfront.peer.Addresses;
import org.rosemaryfront.peer.KeepAliveProbes;
import org.rosemaryfront.ports.CallCodec;

/**
 * Opens connections to backend servers, over the own links or, where these are lost,
 * through another gateway. Used on the traffic thread only.
 *
 * <p>
 * If the own attempt fails or gets no answer for a short time, another gateway is asked
 * to connect. The caller gets the connection that is opened first, and whether the path
 * is lost follows from both results.
 */
final class ServerConnector {

	/**
	 * The connect timeout, in milliseconds. A round trip within a region takes a few
	 * milliseconds, but a lost first packet is retransmitted only after a second.
	 */
	private static final int CONNECT_TIMEOUT_MILLIS = 500;

	/**
	 * The time after which another gateway is asked while the own attempt still has no
	 * answer, in milliseconds.
	 */
	private static final int CARRIER_DELAY_MILLIS = 100;

	/**
	 * The time after which no further gateway is asked, in milliseconds: the call may
	 * still be served by another server.
	 */
	private static final long ATTEMPT_MILLIS = 500;

	/** The gateways that are asked to reach one server. */
	private static final int MAX_CARRIERS = 3;

	/** Detects a dead connection within 4 s, before a call is sent over it. */
	static final KeepAliveProbes KEEP_ALIVE_PROBES = new KeepAliveProbes(2, 1, 2);

	private final EventLoop loop;

	private final ConnectionPool pool;

	private final CallCodec codec;

	private final ServerPaths paths = ServerPaths.allDirect();

	private final Carriers carriers;

	/** Called when a path went silent, so that open connections carry nothing either. */
	private final Consumer<Incarnation> onSilent;

	/** The servers whose paths are lost, to be probed. */
	private final Map<Incarnation, BackendServer> lostServers = new HashMap<>();

	private volatile int lostCount;

	private long openedCount;

	ServerConnector(EventLoop loop, ConnectionPool pool, CallCodec codec, String zone, Consumer<Incarnation> onSilent) {
		this.loop = loop;
		this.pool = pool;
		this.codec = codec;
		this.carriers = Carriers.none(zone, () -> ThreadLocalRandom.current().nextDouble());
		this.onSilent = onSilent;
	}

	// -- queries

	/**
	 * Returns the number of connections opened since the start of the gateway.
	 * @return the count, which includes failed attempts
	 */
	long openedCount() {
		return this.openedCount;
	}

	/**
	 * Returns the number of servers that are not reached over the own links, on any
	 * thread.
	 * @return the number
	 */
	int lostCount() {
		return this.lostCount;
	}

	boolean isLost(Incarnation server) {
		return this.paths.isLost(server);
	}

	boolean isDoubtful(Incarnation server, long lastReceivedNanos) {
		return this.paths.isDoubtful(server, lastReceivedNanos);
	}

	// -- changes

	void carriers(List<Carrier> current) {
		this.carriers.update(current);
	}

	void retain(Set<Incarnation> current) {
		this.paths.retain(current);
		this.lostServers.keySet().retainAll(current);
		this.lostCount = this.paths.lostCount();
	}

	/** Probes some of the paths that are lost. */
	void probe() {
		this.paths.takeDueProbes(System.nanoTime())
			.stream()
			.map(this.lostServers::get)
			.forEach((server) -> checkOwnLink(server, (_) -> {
			}));
	}

	/**
	 * Checks whether a server is reached over the own links. The connection is kept for
	 * the next call.
	 * @param server the server
	 * @param result receives whether it is reached
	 */
	void checkOwnLink(BackendServer server, Consumer<Boolean> result) {
		direct(server, (connection) -> {
			reached(server);
			this.pool.addIdle(server.incarnation(), connection);
			result.accept(true);
		}, (_) -> result.accept(false));
	}

	/**
	 * Records that a gateway did not answer on an open tunnel.
	 * @param carrier the gateway
	 */
	void carrierFailed(Carrier carrier) {
		this.carriers.recordFailure(carrier, System.nanoTime());
	}

	/**
	 * Opens a connection.
	 * @param server the server
	 * @param onConnected receives the connection
	 * @param onFailure receives the failure if there is no connection; nothing was sent
	 */
	void connect(BackendServer server, Consumer<ServerConnection> onConnected, Consumer<ConnectFailure> onFailure) {
		new Attempt(server, onConnected, onFailure).start();
	}

	private void reached(BackendServer server) {
		this.paths.recordReached(server.incarnation()).ifPresent((sinceNanos) -> {
			this.lostServers.remove(server.incarnation());
			this.lostCount = this.paths.lostCount();
			EventLog.info(TrafficEvents.PATH_REGAINED, "server", server.id(), "started", server.startedMillis(),
					"lostMillis", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sinceNanos), "serversOutOfReach",
					this.lostCount);
		});
	}

	private void lost(BackendServer server, Sign sign, String cause, String carrier, long attemptNanos) {
		if (this.paths.recordLost(server.incarnation(), sign, attemptNanos, System.nanoTime())) {
			this.lostServers.put(server.incarnation(), server);
			this.lostCount = this.paths.lostCount();
			EventLog.warn(TrafficEvents.PATH_LOST, "server", server.id(), "started", server.startedMillis(), "sign",
					sign, "cause", cause, "reachedBy", carrier, "serverSilentMillis",
					this.pool.silentText(server.incarnation()), "attemptMillis",
					TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - attemptNanos), "serversOutOfReach",
					this.lostCount);
		}
		if (sign == Sign.SILENT) {
			this.onSilent.accept(server.incarnation());
		}
	}

	// -- connections

	private void direct(BackendServer server, Consumer<ServerConnection> onConnected, Consumer<Throwable> onFailure) {
		ServerConnection connection = ServerConnection.direct(this.pool, this.codec);
		ChannelFuture connecting = toServer(this.loop, CONNECT_TIMEOUT_MILLIS, initializer(connection::addTo))
			.connect(Addresses.parse(server.address()));
		this.openedCount++;
		connecting.addListener((_) -> {
			if (!connecting.isSuccess()) {
				onFailure.accept(connecting.cause());
			}
			else if (!connecting.channel().isActive()) {
				onFailure.accept(new ClosedImmediatelyException());
			}
			else {
				onConnected.accept(connection);
			}
		});
	}

	private void tunnel(BackendServer server, Carrier carrier, Consumer<ServerConnection> onConnected,
			TunnelFailure onFailure) {
		ServerConnection[] opened = new ServerConnection[1];
		TunnelClient client = new TunnelClient(carrier, server, new TunnelClient.Answer() {
			@Override
			public void opened() {
				onConnected.accept(opened[0]);
			}

			@Override
			public void refused(String cause, boolean unreachable) {
				onFailure.failed(cause, unreachable);
			}

			@Override
			public void noAnswer(String cause) {
				onFailure.failed(cause, false);
			}
		});
		opened[0] = ServerConnection.tunnelled(this.pool, this.codec, client);
		ChannelFuture connecting = bootstrap(this.loop, TunnelClient.ANSWER_TIMEOUT_MILLIS, initializer((pipeline) -> {
			TunnelPipeline.addCodecs(pipeline);
			pipeline.addLast(client);
			opened[0].addTo(pipeline);
		})).connect(Addresses.parse(carrier.address()));
		connecting.addListener((_) -> {
			if (!connecting.isSuccess()) {
				onFailure.failed(String.valueOf(connecting.cause().getMessage()), false);
			}
		});
	}

	private static ChannelInitializer<SocketChannel> initializer(Consumer<ChannelPipeline> handlers) {
		return new ChannelInitializer<>() {
			@Override
			protected void initChannel(SocketChannel channel) {
				handlers.accept(channel.pipeline());
			}
		};
	}

	/**
	 * Returns what opens connections to servers. Their handlers are told when the server
	 * closes its side, and close the connection then.
	 * @param loop the traffic thread
	 * @param timeoutMillis the connect timeout, in milliseconds
	 * @param handler the handler of the connections
	 * @return the bootstrap
	 */
	static Bootstrap toServer(EventLoop loop, int timeoutMillis, ChannelHandler handler) {
		return bootstrap(loop, timeoutMillis, handler).option(ChannelOption.ALLOW_HALF_CLOSURE, true);
	}

	private static Bootstrap bootstrap(EventLoop loop, int timeoutMillis, ChannelHandler handler) {
		Bootstrap bootstrap = new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.SO_KEEPALIVE, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
			.handler(handler);
		KEEP_ALIVE_PROBES.options().forEach(bootstrap::option);
		return bootstrap;
	}

	/**
	 * A failed attempt to connect.
	 *
	 * @param cause the cause, for the log
	 * @param shown what it shows about the server
	 */
	record ConnectFailure(String cause, Liveness shown) {
	}

	/** Receives why a gateway does not carry calls to a server. */
	private interface TunnelFailure {

		void failed(String cause, boolean unreachable);

	}

	/** A server that accepts connections and closes them has too many. It is alive. */
	private static final class ClosedImmediatelyException extends RuntimeException {

		private static final long serialVersionUID = 1L;

		private ClosedImmediatelyException() {
			super("the server closed the connection immediately", null, false, false);
		}

	}

	/** An attempt to open one connection. */
	private final class Attempt {

		private final BackendServer server;

		private final Consumer<ServerConnection> onConnected;

		private final Consumer<ConnectFailure> onFailure;

		/** Whether another gateway tried the server and did not reach it either. */
		private boolean unreachedByOther;

		private final long startNanos = System.nanoTime();

		private final Set<String> asked = new HashSet<>();

		/** Why the own attempt failed, empty before that. */
		private Optional<Throwable> directFailure = Optional.empty();

		/** The gateway that reached the server, empty before that. */
		private Optional<String> reachedBy = Optional.empty();

		private boolean directRunning;

		private boolean tunnelRunning;

		private boolean done;

		private Attempt(BackendServer server, Consumer<ServerConnection> onConnected,
				Consumer<ConnectFailure> onFailure) {
			this.server = server;
			this.onConnected = onConnected;
			this.onFailure = onFailure;
		}

		private void start() {
			if (ServerConnector.this.paths.isLost(this.server.incarnation())) {
				tryCarrier();
				return;
			}
			tryDirect();
			ServerConnector.this.loop.schedule(() -> {
				if (this.directRunning && !this.done) {
					tryCarrier();
				}
			}, CARRIER_DELAY_MILLIS, TimeUnit.MILLISECONDS);
		}

		private void tryDirect() {
			this.directRunning = true;
			direct(this.server, this::directConnected, this::directFailed);
		}

		private void directConnected(ServerConnection connection) {
			this.directRunning = false;
			reached(this.server);
			ServerConnector.this.pool.heard(this.server.incarnation());
			finish(connection);
		}

		private void directFailed(Throwable cause) {
			this.directRunning = false;
			this.directFailure = Optional.of(cause);
			boolean alive = cause instanceof ClosedImmediatelyException;
			if (this.reachedBy.isPresent()) {
				pathLost();
			}
			else if (alive || this.done) {
				fail();
			}
			else if (!this.tunnelRunning) {
				tryCarrier();
			}
		}

		private void tryCarrier() {
			Optional<Carrier> carrier = canAsk() ? ServerConnector.this.carriers.choose(this.server.zone(), this.asked,
					ServerConnector.this.pool::tunnelCount, System.nanoTime()) : Optional.empty();
			if (carrier.isPresent()) {
				this.asked.add(carrier.get().gateway());
				this.tunnelRunning = true;
				tunnel(this.server, carrier.get(), (connection) -> tunnelConnected(carrier.get(), connection),
						(cause, unreachable) -> tunnelFailed(carrier.get(), cause, unreachable));
			}
			else if (this.directFailure.isPresent()) {
				fail();
			}
			else if (!this.directRunning) {
				// The path was lost when the attempt started; it may be back.
				tryDirect();
			}
		}

		private boolean canAsk() {
			boolean timeLeft = System.nanoTime() - this.startNanos < TimeUnit.MILLISECONDS.toNanos(ATTEMPT_MILLIS);
			return this.asked.isEmpty() || timeLeft && this.asked.size() < MAX_CARRIERS;
		}

		private void tunnelConnected(Carrier carrier, ServerConnection connection) {
			this.tunnelRunning = false;
			this.reachedBy = Optional.of(carrier.gateway());
			if (this.directFailure.isPresent()) {
				pathLost();
			}
			finish(connection);
		}

		private void tunnelFailed(Carrier carrier, String cause, boolean unreachable) {
			this.tunnelRunning = false;
			EventLog.info(TrafficEvents.CARRIER_FAILED, "gateway", carrier.gateway(), "server", this.server.id(),
					"cause", cause, "serverUnreachable", unreachable, "serversOutOfReach", carrier.serversOutOfReach());
			this.unreachedByOther |= unreachable;
			if (!unreachable) {
				ServerConnector.this.carriers.recordFailure(carrier, System.nanoTime());
			}
			if (!this.done) {
				tryCarrier();
			}
		}

		private void pathLost() {
			Throwable cause = this.directFailure.orElseThrow();
			Sign sign = (cause instanceof ConnectTimeoutException) ? Sign.SILENT : Sign.REFUSED;
			lost(this.server, sign, String.valueOf(cause.getMessage()), this.reachedBy.orElseThrow(), this.startNanos);
		}

		private void finish(ServerConnection connection) {
			if (!this.done) {
				this.done = true;
				this.onConnected.accept(connection);
			}
			else if (connection.carrier().isPresent()) {
				connection.close();
			}
			else {
				ServerConnector.this.pool.addIdle(this.server.incarnation(), connection);
			}
		}

		private Liveness shown() {
			if (this.directFailure.filter(ClosedImmediatelyException.class::isInstance).isPresent()) {
				return Liveness.ALIVE;
			}
			boolean confirmed = this.unreachedByOther || ServerConnector.this.carriers.isEmpty();
			return confirmed ? Liveness.DOWN : Liveness.UNKNOWN;
		}

		private void fail() {
			if (!this.done) {
				this.done = true;
				String cause = this.directFailure.map(Throwable::getMessage).orElse("no gateway reaches the server");
				this.onFailure.accept(new ConnectFailure(cause, shown()));
			}
		}

	}

}
