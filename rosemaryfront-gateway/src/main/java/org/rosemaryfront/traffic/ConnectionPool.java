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
 * The connections to the backend servers, kept for the next call. Used on the traffic
 * thread only.
 *
 * <p>
 * New connections are dear for servers and their number is capped over all processes, so
 * the one used last is used first and the others rest until they are stale.
 */
final class ConnectionPool {

	/**
	 * How long a connection may take to be made, in milliseconds. One round trip within a
	 * region is a few; the lost first packet is sent again after a second.
	 */
	private static final int CONNECT_MILLIS = 500;

	/** A dead connection is found within 4 s, before a call is sent into it. */
	private static final KeepAliveProbes PROBES = new KeepAliveProbes(2, 1, 2);

	/** A server that has too many connections closes new ones: it lives. */
	private static final String CLOSED_AT_ONCE = "closed at once";

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
	 * Gets a connection.
	 * @param server the server
	 * @param most the connections that this process may have to it
	 * @param taker gets the connection
	 * @param failure gets the cause when there is none; nothing was sent
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
			failure.accept("all " + most + " connections are in use");
			return;
		}
		connect(server, connections, taker, failure);
	}

	/**
	 * Finds out whether a server lives. Connections end for many reasons; a server that
	 * crashed takes no new one. The new one is kept for the next call.
	 * @param server the server
	 * @param most the connections that this process may have to it
	 * @param reply gets whether it lives
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
	 * Closes the resting connections to servers that are gone or started again.
	 * @param known the starts of servers that are known
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
	 * Notes that bytes came from a server.
	 * @param channel where they came
	 */
	void heard(ServerChannel channel) {
		Connections connections = this.owners.get(channel);
		if (connections != null) {
			connections.heardNanos = System.nanoTime();
		}
	}

	/**
	 * Notes that a call was not answered in its time. Unless the server was heard since,
	 * on any connection, the resting ones may be as silent as that of the call: they are
	 * closed.
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
	 * The connections made since the start.
	 * @return the count
	 */
	long opened() {
		return this.opened;
	}

	/**
	 * The connections open now.
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

		/** When bytes last came, on any of them. */
		private long heardNanos = System.nanoTime();

	}

}
