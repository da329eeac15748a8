package org.rosemaryfront.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.peer.Addresses;
import org.rosemaryfront.peer.KeepAliveProbes;
import org.rosemaryfront.ports.CallCodec;

/**
 * The pool of connections to the backend servers. Used on the traffic thread only.
 *
 * <p>
 * New connections are expensive for servers, and their number is limited over all
 * gateways. Idle connections are therefore reused in last-in-first-out order, so that the
 * others become stale and are closed.
 */
final class ConnectionPool {

	/**
	 * The connect timeout, in milliseconds. A round trip within a region takes a few
	 * milliseconds, but a lost first packet is retransmitted only after a second.
	 */
	private static final int CONNECT_TIMEOUT_MILLIS = 500;

	/** Detects a dead connection within 4 s, before a call is sent over it. */
	private static final KeepAliveProbes KEEP_ALIVE_PROBES = new KeepAliveProbes(2, 1, 2);

	/**
	 * The cause for a connection that the server closes immediately because it has too
	 * many. Such a server is alive.
	 */
	private static final String CLOSED_IMMEDIATELY = "the server closed the connection immediately";

	private static final int MAX_HEADER_BYTES = 65_536;

	private static final long SWEEP_INTERVAL_MILLIS = 250;

	private final EventLoop loop;

	private final CallCodec codec;

	private final Map<BackendServer.Incarnation, Connections> servers = new HashMap<>();

	private final Map<ServerConnection, Connections> owners = new HashMap<>();

	private long openedCount;

	ConnectionPool(EventLoop loop, CallCodec codec) {
		this.loop = loop;
		this.codec = codec;
		loop.scheduleWithFixedDelay(this::closeStale, SWEEP_INTERVAL_MILLIS, SWEEP_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Acquires an idle or a new connection.
	 * @param server the server
	 * @param maxConnections the maximum number of connections of this gateway to the
	 * server
	 * @param onConnected receives the connection
	 * @param onFailure receives the cause if there is no connection; nothing was sent
	 */
	void acquire(BackendServer server, int maxConnections, Consumer<ServerConnection> onConnected,
			Consumer<String> onFailure) {
		Connections connections = this.servers.computeIfAbsent(server.incarnation(), (_) -> new Connections());
		while (!connections.idle.isEmpty()) {
			ServerConnection idle = connections.idle.pollLast();
			if (idle.isActive() && !idle.isStale(System.nanoTime())) {
				onConnected.accept(idle);
				return;
			}
			idle.close();
		}
		if (connections.open.size() + connections.connecting >= maxConnections) {
			onFailure.accept("all " + maxConnections + " connections to the server are in use");
			return;
		}
		connect(server, connections, onConnected, onFailure);
	}

	/**
	 * Checks whether a server is alive by opening a new connection. Existing connections
	 * end for many reasons, but a crashed server accepts no new one. The new connection
	 * is kept for the next call.
	 * @param server the server
	 * @param maxConnections the maximum number of connections of this gateway to the
	 * server
	 * @param result receives whether the server is alive
	 */
	void checkAlive(BackendServer server, int maxConnections, Consumer<Boolean> result) {
		Connections connections = this.servers.computeIfAbsent(server.incarnation(), (_) -> new Connections());
		if (connections.open.size() + connections.connecting >= maxConnections) {
			result.accept(true);
			return;
		}
		connect(server, connections, (channel) -> {
			channel.release();
			result.accept(true);
		}, (cause) -> result.accept(cause.equals(CLOSED_IMMEDIATELY)));
	}

	/**
	 * Closes the idle connections to servers that were removed or restarted.
	 * @param current the starts of the current servers
	 */
	void retain(Set<BackendServer.Incarnation> current) {
		this.servers.forEach((server, connections) -> {
			if (!current.contains(server)) {
				connections.idle.forEach(ServerConnection::close);
			}
		});
		this.servers.entrySet()
			.removeIf((entry) -> !current.contains(entry.getKey()) && entry.getValue().open.isEmpty()
					&& entry.getValue().connecting == 0);
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
	 * Records that a call got no response before its deadline. If nothing was received
	 * from the server since the call was sent, on any connection, the idle connections
	 * may be as dead as that of the call and are closed.
	 * @param server the start of the server
	 * @param sentNanos when the call was sent
	 */
	void deadlinePassed(BackendServer.Incarnation server, long sentNanos) {
		Connections connections = this.servers.get(server);
		if (connections != null && connections.lastReceivedNanos - sentNanos < 0) {
			connections.idle.forEach(ServerConnection::close);
		}
	}

	/**
	 * Returns how long nothing was received from a server, on any connection.
	 * @param server the start of the server
	 * @param nowNanos the current time
	 * @return the time in milliseconds, empty if no connection to it was opened yet
	 */
	OptionalLong silentMillis(BackendServer.Incarnation server, long nowNanos) {
		Connections connections = this.servers.get(server);
		return (connections == null) ? OptionalLong.empty()
				: OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(nowNanos - connections.lastReceivedNanos));
	}

	void release(ServerConnection channel) {
		Connections connections = this.owners.get(channel);
		if (connections != null) {
			connections.idle.addLast(channel);
		}
	}

	void connectionClosed(ServerConnection channel) {
		Connections connections = this.owners.remove(channel);
		if (connections != null) {
			connections.open.remove(channel);
			connections.idle.remove(channel);
		}
	}

	/**
	 * Returns the number of connections opened since the start of the gateway.
	 * @return the count, which includes failed attempts
	 */
	long openedCount() {
		return this.openedCount;
	}

	/**
	 * Returns the number of connections that are open.
	 * @return the count
	 */
	int openCount() {
		return this.owners.size();
	}

	private void connect(BackendServer server, Connections connections, Consumer<ServerConnection> onConnected,
			Consumer<String> onFailure) {
		ServerConnection handler = new ServerConnection(this, this.codec);
		connections.connecting++;
		this.openedCount++;
		ChannelFuture connecting = bootstrap(handler).connect(Addresses.parse(server.address()));
		connecting.addListener((_) -> {
			connections.connecting--;
			if (!connecting.isSuccess()) {
				onFailure.accept(String.valueOf(connecting.cause().getMessage()));
				return;
			}
			if (!connecting.channel().isActive()) {
				onFailure.accept(CLOSED_IMMEDIATELY);
				return;
			}
			connections.open.add(handler);
			this.owners.put(handler, connections);
			onConnected.accept(handler);
		});
	}

	private Bootstrap bootstrap(ServerConnection handler) {
		Bootstrap bootstrap = new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.SO_KEEPALIVE, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.handler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					channel.pipeline()
						.addLast(new HttpClientCodec(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES)
							.setMaxInitialLineLength(MAX_HEADER_BYTES), false, false))
						.addLast(handler);
				}
			});
		KEEP_ALIVE_PROBES.options().forEach(bootstrap::option);
		return bootstrap;
	}

	private void closeStale() {
		long now = System.nanoTime();
		for (Connections connections : this.servers.values()) {
			for (Iterator<ServerConnection> it = connections.idle.iterator(); it.hasNext();) {
				ServerConnection idle = it.next();
				if (idle.isStale(now)) {
					it.remove();
					idle.close();
				}
			}
		}
	}

	/** The connections to one server. */
	private static final class Connections {

		private final Set<ServerConnection> open = new HashSet<>();

		private final Deque<ServerConnection> idle = new ArrayDeque<>();

		private int connecting;

		/** When bytes were last received on any of the connections. */
		private long lastReceivedNanos = System.nanoTime();

	}

}
