package org.rosemaryfront.traffic;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
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
	private static final int CONNECT_MILLIS = 500;

	/** Detects a dead connection within 4 s, before a call is sent over it. */
	private static final KeepAliveProbes PROBES = new KeepAliveProbes(2, 1, 2);

	/**
	 * The cause for a connection that the server closes immediately because it has too
	 * many. Such a server is alive.
	 */
	private static final String CLOSED_AT_ONCE = "the server closed the connection immediately";

	private static final int HEADER_BYTES = 65_536;

	private static final long SWEEP_MILLIS = 250;

	private final EventLoop loop;

	private final CallCodec codec;

	private final Map<BackendServer.Start, Connections> servers = new HashMap<>();

	private final Map<ServerChannel, Connections> owners = new HashMap<>();

	private long opened;

	ConnectionPool(EventLoop loop, CallCodec codec) {
		this.loop = loop;
		this.codec = codec;
		loop.scheduleWithFixedDelay(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Acquires an idle or a new connection.
	 * @param server the server
	 * @param most the maximum number of connections of this gateway to the server
	 * @param taker receives the connection
	 * @param failure receives the cause if there is no connection; nothing was sent
	 */
	void acquire(BackendServer server, int most, Consumer<ServerChannel> taker, Consumer<String> failure) {
		Connections connections = this.servers.computeIfAbsent(server.start(), (_) -> new Connections());
		while (!connections.idle.isEmpty()) {
			ServerChannel idle = connections.idle.pollLast();
			if (idle.isActive() && !idle.isStale(System.nanoTime())) {
				taker.accept(idle);
				return;
			}
			idle.close();
		}
		if (connections.open.size() + connections.connecting >= most) {
			failure.accept("all " + most + " connections to the server are in use");
			return;
		}
		connect(server, connections, taker, failure);
	}

	/**
	 * Checks whether a server is alive by opening a new connection. Existing connections
	 * end for many reasons, but a crashed server accepts no new one. The new connection
	 * is kept for the next call.
	 * @param server the server
	 * @param most the maximum number of connections of this gateway to the server
	 * @param reply receives whether the server is alive
	 */
	void ask(BackendServer server, int most, Consumer<Boolean> reply) {
		Connections connections = this.servers.computeIfAbsent(server.start(), (_) -> new Connections());
		if (connections.open.size() + connections.connecting >= most) {
			reply.accept(true);
			return;
		}
		connect(server, connections, (channel) -> {
			channel.rest();
			reply.accept(true);
		}, (cause) -> reply.accept(cause.equals(CLOSED_AT_ONCE)));
	}

	/**
	 * Closes the idle connections to servers that were removed or restarted.
	 * @param known the starts of the current servers
	 */
	void retain(Set<BackendServer.Start> known) {
		this.servers.forEach((server, connections) -> {
			if (!known.contains(server)) {
				connections.idle.forEach(ServerChannel::close);
			}
		});
		this.servers.entrySet()
			.removeIf((entry) -> !known.contains(entry.getKey()) && entry.getValue().open.isEmpty()
					&& entry.getValue().connecting == 0);
	}

	/**
	 * Records that bytes were received from a server.
	 * @param channel the connection
	 */
	void heard(ServerChannel channel) {
		Connections connections = this.owners.get(channel);
		if (connections != null) {
			connections.heardNanos = System.nanoTime();
		}
	}

	/**
	 * Records that a call got no response before its deadline. If nothing was received
	 * from the server since the call was sent, on any connection, the idle connections
	 * may be as dead as that of the call and are closed.
	 * @param server the start of the server
	 * @param sentNanos when the call was sent
	 */
	void unanswered(BackendServer.Start server, long sentNanos) {
		Connections connections = this.servers.get(server);
		if (connections != null && connections.heardNanos - sentNanos < 0) {
			connections.idle.forEach(ServerChannel::close);
		}
	}

	void rest(ServerChannel channel) {
		Connections connections = this.owners.get(channel);
		if (connections != null) {
			connections.idle.addLast(channel);
		}
	}

	void gone(ServerChannel channel) {
		Connections connections = this.owners.remove(channel);
		if (connections != null) {
			connections.open.remove(channel);
			connections.idle.remove(channel);
		}
	}

	/**
	 * Returns the number of connections opened since the start of the gateway.
	 * @return the count
	 */
	long opened() {
		return this.opened;
	}

	/**
	 * Returns the number of connections that are open.
	 * @return the count
	 */
	int open() {
		return this.owners.size();
	}

	private void connect(BackendServer server, Connections connections, Consumer<ServerChannel> taker,
			Consumer<String> failure) {
		ServerChannel handler = new ServerChannel(this, this.codec);
		connections.connecting++;
		this.opened++;
		ChannelFuture connecting = bootstrap(handler).connect(Addresses.parse(server.address()));
		connecting.addListener((_) -> {
			connections.connecting--;
			if (!connecting.isSuccess()) {
				failure.accept(String.valueOf(connecting.cause().getMessage()));
				return;
			}
			if (!connecting.channel().isActive()) {
				failure.accept(CLOSED_AT_ONCE);
				return;
			}
			connections.open.add(handler);
			this.owners.put(handler, connections);
			taker.accept(handler);
		});
	}

	private Bootstrap bootstrap(ServerChannel handler) {
		Bootstrap bootstrap = new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.SO_KEEPALIVE, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
			.handler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					channel.pipeline()
						.addLast(new HttpClientCodec(new HttpDecoderConfig().setMaxHeaderSize(HEADER_BYTES)
							.setMaxInitialLineLength(HEADER_BYTES), false, false))
						.addLast(handler);
				}
			});
		PROBES.options().forEach(bootstrap::option);
		return bootstrap;
	}

	private void sweep() {
		long now = System.nanoTime();
		for (Connections connections : this.servers.values()) {
			for (Iterator<ServerChannel> it = connections.idle.iterator(); it.hasNext();) {
				ServerChannel idle = it.next();
				if (idle.isStale(now)) {
					it.remove();
					idle.close();
				}
			}
		}
	}

	/** The connections to one server. */
	private static final class Connections {

		private final Set<ServerChannel> open = new HashSet<>();

		private final Deque<ServerChannel> idle = new ArrayDeque<>();

		private int connecting;

		/** When bytes were last received on any of the connections. */
		private long heardNanos = System.nanoTime();

	}

}
