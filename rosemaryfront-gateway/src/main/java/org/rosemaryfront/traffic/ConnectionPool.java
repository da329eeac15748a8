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
import java.util.function.IntConsumer;

import io.netty.channel.EventLoop;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.ports.CallCodec;
import org.rosemaryfront.traffic.IdleConnections.PathState;
import org.rosemaryfront.traffic.ServerConnector.ConnectFailure;

/**
 * The pool of connections to the backend servers. Used on the traffic thread only.
 *
 * <p>
 * New connections are expensive for servers, and their number is limited over all
 * gateways. Idle connections are therefore reused in last-in-first-out order, so that the
 * others become stale and are closed.
 */
final class ConnectionPool {

	private static final long SWEEP_INTERVAL_MILLIS = 250;

	/**
	 * How long a server with calls may be silent before a new connection shows whether it
	 * is reached, in nanoseconds. Most servers respond to some call within this time.
	 */
	private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

	/** The number of such checks that run at once. */
	private static final int MAX_CHECKS = 4;

	/** The time until gateways know of one another's lost paths, in milliseconds. */
	private static final long REPEATED_CHECK_MILLIS = 600;

	/**
	 * How often a check that shows nothing is repeated: until the gateways that do not
	 * know the server, or whose own links fail, had the time to be told.
	 */
	private static final int MAX_REPEATED_CHECKS = 5;

	private final EventLoop loop;

	private final ServerConnector connector;

	/** Receives the number of bytes of each read from a server. */
	private final IntConsumer onBytes;

	private final ReadPacing pacing;

	private final Map<Incarnation, Connections> servers = new HashMap<>();

	/** The servers that accept calls, with or without connections. */
	private List<BackendServer> eligible = List.of();

	private final Map<ServerConnection, Connections> owners = new HashMap<>();

	/** The number of tunnels through each gateway. */
	private final Map<String, Integer> tunnels = new HashMap<>();

	private int runningChecks;

	ConnectionPool(EventLoop loop, CallCodec codec, String zone, IntConsumer onBytes) {
		this.loop = loop;
		this.onBytes = onBytes;
		this.pacing = new ReadPacing(loop);
		this.connector = new ServerConnector(loop, this, codec, zone, this::pathSilent);
		loop.scheduleWithFixedDelay(this::sweep, SWEEP_INTERVAL_MILLIS, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Records that bytes of a server arrived, before they are decoded.
	 * @param count the number of bytes
	 */
	void bytesArrived(int count) {
		this.onBytes.accept(count);
	}

	ReadPacing pacing() {
		return this.pacing;
	}

	ServerConnector connector() {
		return this.connector;
	}

	/**
	 * Acquires an idle or a new connection.
	 * @param server the server
	 * @param requestId the request of the call
	 * @param maxConnections the maximum number of connections of this gateway to the
	 * server
	 * @param onConnected receives the connection
	 * @param onFailure receives the cause if there is no connection; nothing was sent
	 */
	void acquire(BackendServer server, String requestId, int maxConnections, Consumer<ServerConnection> onConnected,
			Consumer<String> onFailure) {
		Connections connections = connections(server);
		Optional<ServerConnection> idle = takeIdle(server.incarnation(), connections, requestId);
		if (idle.isPresent()) {
			begin(idle.get(), requestId, onConnected,
					(_) -> acquire(server, requestId, maxConnections, onConnected, onFailure));
		}
		else if (!closeUnfit(connections, requestId) && connections.isFull(maxConnections)) {
			onFailure.accept("all " + maxConnections + " connections to the server are in use");
		}
		else {
			connect(server, connections, (connection) -> begin(connection, requestId, onConnected, onFailure),
					(failure) -> onFailure.accept(failure.cause()));
		}
	}

	// A call on a tunnel begins only once the other gateway has answered.
	private void begin(ServerConnection connection, String requestId, Consumer<ServerConnection> onBegun,
			Consumer<String> onFailure) {
		if (connection.tunnel().isEmpty()) {
			onBegun.accept(connection);
			return;
		}
		TunnelClient tunnel = connection.tunnel().get();
		tunnel.begin(requestId, new TunnelClient.Answer() {
			@Override
			public void opened() {
				if (connection.isReady()) {
					onBegun.accept(connection);
				}
				else {
					connection.close();
					onFailure.accept("bytes received before the call was sent");
				}
			}

			@Override
			public void refused(String cause, boolean unreachable) {
				onFailure.accept(cause);
			}

			@Override
			public void noAnswer(String cause) {
				ConnectionPool.this.connector.carrierFailed(tunnel.carrier());
				closeIdleTunnels(tunnel.carrier().gateway());
				onFailure.accept(cause);
			}
		});
	}

	private Optional<ServerConnection> takeIdle(Incarnation server, Connections connections, String requestId) {
		return connections.idle.take(requestId, pathState(server, connections), System.nanoTime());
	}

	private PathState pathState(Incarnation server, Connections connections) {
		if (this.connector.isLost(server)) {
			return PathState.LOST;
		}
		return this.connector.isDoubtful(server, connections.lastReceivedNanos) ? PathState.DOUBTFUL
				: PathState.REACHED;
	}

	private static boolean closeUnfit(Connections connections, String requestId) {
		Optional<ServerConnection> unfit = connections.idle.closeUnfit(requestId);
		unfit.ifPresent(connections.open::remove);
		return unfit.isPresent();
	}

	/**
	 * Checks whether a server is alive by opening a new connection. Existing connections
	 * end for many reasons, but a crashed server accepts no new one, over the own links
	 * or through another gateway. The new connection is kept for the next call.
	 *
	 * <p>
	 * Right after several gateways lost their links, those that are asked may have lost
	 * theirs, too, and a gateway may not know a server that has just crashed. Unless
	 * another server is reached, which shows that the own links work, the check is
	 * therefore repeated when the gateways know of one another's lost paths.
	 * @param server the server
	 * @param maxConnections the maximum number of connections of this gateway to the
	 * server
	 * @param result receives what was found
	 */
	void checkAlive(BackendServer server, int maxConnections, Consumer<Liveness> result) {
		Connections connections = connections(server);
		if (connections.isFull(maxConnections)) {
			result.accept(Liveness.ALIVE);
			return;
		}
		checkAlive(connections, (shown) -> {
			if (shown == Liveness.ALIVE) {
				result.accept(shown);
			}
			else {
				confirmDown(connections, shown, MAX_REPEATED_CHECKS, result);
			}
		});
	}

	private void confirmDown(Connections connections, Liveness shown, int repeatsLeft, Consumer<Liveness> result) {
		Optional<BackendServer> other = otherServer(connections);
		if (other.isPresent()) {
			this.connector.checkOwnLink(other.get(), (reached) -> {
				if (reached) {
					result.accept(Liveness.DOWN);
				}
				else {
					repeatCheck(connections, shown, repeatsLeft, result);
				}
			});
		}
		else if (shown == Liveness.DOWN) {
			result.accept(shown);
		}
		else {
			repeatCheck(connections, shown, repeatsLeft, result);
		}
	}

	// A server with open connections was reached before, so that it is chosen first.
	private Optional<BackendServer> otherServer(Connections checked) {
		return this.servers.values()
			.stream()
			.filter((known) -> known != checked && !known.open.isEmpty())
			.map((known) -> known.server)
			.findAny()
			.or(() -> randomEligible(checked.server));
	}

	private Optional<BackendServer> randomEligible(BackendServer checked) {
		List<BackendServer> others = this.eligible.stream()
			.filter((server) -> !server.incarnation().equals(checked.incarnation()))
			.toList();
		return others.isEmpty() ? Optional.empty()
				: Optional.of(others.get(ThreadLocalRandom.current().nextInt(others.size())));
	}

	private void repeatCheck(Connections connections, Liveness shown, int repeatsLeft, Consumer<Liveness> result) {
		if (repeatsLeft == 0) {
			result.accept(shown);
			return;
		}
		this.loop.schedule(() -> checkAlive(connections, (repeated) -> {
			if (repeated == Liveness.UNKNOWN && shown == Liveness.UNKNOWN) {
				confirmDown(connections, shown, repeatsLeft - 1, result);
			}
			else {
				result.accept((repeated != Liveness.UNKNOWN) ? repeated : shown);
			}
		}), REPEATED_CHECK_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void checkAlive(Connections connections, Consumer<Liveness> result) {
		connect(connections.server, connections, (connection) -> {
			connection.release();
			result.accept(Liveness.ALIVE);
		}, (failure) -> result.accept(failure.shown()));
	}

	/**
	 * Closes the idle connections to servers that were removed or restarted.
	 * @param current the starts of the current servers
	 * @param accepting those that accept calls
	 */
	void retain(Set<Incarnation> current, List<BackendServer> accepting) {
		this.eligible = List.copyOf(accepting);
		this.servers.forEach((server, connections) -> {
			if (!current.contains(server)) {
				connections.idle.close((_) -> true);
			}
		});
		this.servers.entrySet()
			.removeIf((entry) -> !current.contains(entry.getKey()) && entry.getValue().open.isEmpty()
					&& entry.getValue().connecting == 0);
		this.connector.retain(current);
	}

	/**
	 * Records that bytes were received from a server.
	 * @param channel the connection
	 */
	void bytesReceived(ServerConnection channel) {
		Connections connections = this.owners.get(channel);
		if (connections != null) {
			connections.lastReceivedNanos = System.nanoTime();
		}
	}

	/**
	 * Records that a server has accepted a connection over the own links.
	 * @param server the start of the server
	 */
	void heard(Incarnation server) {
		Optional.ofNullable(this.servers.get(server))
			.ifPresent((connections) -> connections.lastReceivedNanos = System.nanoTime());
	}

	/**
	 * Records that a call got no response before its deadline. If nothing was received
	 * from the server since the call was sent, on any connection, the idle connections
	 * may be as dead as that of the call and are closed.
	 * @param server the start of the server
	 * @param sentNanos when the call was sent
	 */
	void deadlinePassed(Incarnation server, long sentNanos) {
		Connections connections = this.servers.get(server);
		if (connections != null && connections.lastReceivedNanos - sentNanos < 0) {
			connections.idle.close((_) -> true);
		}
	}

	/**
	 * Returns how long nothing was received from a server, on any connection, for the
	 * log.
	 * @param server the start of the server
	 * @return the time in milliseconds, or none if no connection to it was opened yet
	 */
	String silentText(Incarnation server) {
		Connections connections = this.servers.get(server);
		return (connections != null)
				? String.valueOf(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - connections.lastReceivedNanos))
				: "none";
	}

	/**
	 * Returns the server of a connection, for the log.
	 * @param connection the connection
	 * @return the identifier of the server, or none for a connection that has left the
	 * pool
	 */
	String serverText(ServerConnection connection) {
		return Optional.ofNullable(this.owners.get(connection))
			.map((connections) -> connections.server.id())
			.orElse("none");
	}

	void release(ServerConnection channel) {
		Connections connections = this.owners.get(channel);
		if (connections != null) {
			connections.idle.add(channel);
		}
	}

	/**
	 * Adds a connection that was opened for no call.
	 * @param server the start of the server
	 * @param connection the connection
	 */
	void addIdle(Incarnation server, ServerConnection connection) {
		Connections connections = this.servers.get(server);
		if (connections == null) {
			connection.close();
			return;
		}
		add(connection, connections);
		connection.release();
	}

	void connectionClosed(ServerConnection channel) {
		Connections connections = this.owners.remove(channel);
		if (connections != null) {
			connections.open.remove(channel);
			connections.idle.remove(channel);
			channel.carrier().ifPresent((gateway) -> this.tunnels.merge(gateway, -1, Integer::sum));
		}
	}

	/**
	 * Returns the number of connections that are open.
	 * @return the count
	 */
	int openCount() {
		return this.owners.size();
	}

	/**
	 * Returns the number of tunnels through another gateway.
	 * @param gateway the name of the gateway
	 * @return the count
	 */
	int tunnelCount(String gateway) {
		return this.tunnels.getOrDefault(gateway, 0);
	}

	private Connections connections(BackendServer server) {
		return this.servers.computeIfAbsent(server.incarnation(), (_) -> new Connections(server));
	}

	private void connect(BackendServer server, Connections connections, Consumer<ServerConnection> onConnected,
			Consumer<ConnectFailure> onFailure) {
		connections.connecting++;
		this.connector.connect(server, (connection) -> {
			connections.connecting--;
			add(connection, connections);
			onConnected.accept(connection);
		}, (failure) -> {
			connections.connecting--;
			onFailure.accept(failure);
		});
	}

	private void add(ServerConnection connection, Connections connections) {
		connections.open.add(connection);
		this.owners.put(connection, connections);
		connection.carrier().ifPresent((gateway) -> this.tunnels.merge(gateway, 1, Integer::sum));
	}

	private void closeIdleTunnels(String gateway) {
		for (Connections connections : this.servers.values()) {
			connections.idle.close((idle) -> idle.carrier().equals(Optional.of(gateway)));
		}
	}

	// -- silent servers and lost paths

	private void sweep() {
		long now = System.nanoTime();
		for (Connections connections : List.copyOf(this.servers.values())) {
			connections.idle.close((idle) -> idle.isStale(now));
			boolean reached = !this.connector.isLost(connections.server.incarnation());
			if (reached && connections.isCheckDue(now) && this.runningChecks < MAX_CHECKS) {
				check(connections, now);
			}
		}
		this.connector.probe();
	}

	// A new connection shows whether a server is reached. A call that gets no response
	// shows nothing: the server may be slow.
	private void check(Connections connections, long now) {
		connections.lastCheckNanos = now;
		this.runningChecks++;
		connect(connections.server, connections, (connection) -> {
			this.runningChecks--;
			connection.release();
		}, (_) -> this.runningChecks--);
	}

	// The open connections over the own links carry nothing either. Their calls do not
	// count against the maximum of the connections that are needed now.
	private void pathSilent(Incarnation server) {
		Connections connections = this.servers.get(server);
		if (connections == null) {
			return;
		}
		List<ServerConnection> silent = connections.open.stream()
			.filter((connection) -> connection.tunnel().isEmpty())
			.toList();
		silent.forEach(connections.open::remove);
		for (ServerConnection connection : silent) {
			if (connections.idle.contains(connection)) {
				connection.close();
			}
			else {
				connection.pathLost();
			}
		}
	}

	/** The connections to one server. */
	private static final class Connections {

		private final BackendServer server;

		private final Set<ServerConnection> open = new HashSet<>();

		private final IdleConnections idle = new IdleConnections();

		private int connecting;

		/** When bytes were last received on any of the connections. */
		private long lastReceivedNanos = System.nanoTime();

		private long lastCheckNanos = System.nanoTime();

		private Connections(BackendServer server) {
			this.server = server;
		}

		private boolean isFull(int maxConnections) {
			return this.open.size() + this.connecting >= maxConnections;
		}

		// A call that still waits after a check shows nothing new.
		private boolean isCheckDue(long now) {
			return now - this.lastReceivedNanos >= SILENCE_NANOS && this.open.stream()
				.anyMatch((connection) -> connection.hasCallStartedWithin(this.lastCheckNanos, now - SILENCE_NANOS));
		}

	}

}
