package org.rosemaryfront.traffic;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntConsumer;
import java.util.function.Predicate;
import java.util.stream.Stream;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.traffic.HeldBytes.Holding;

/**
 * Accepts tunnels of other gateways and carries their calls to backend servers. Used on
 * the traffic thread, except where stated.
 */
final class TunnelServer implements AutoCloseable {

	/** Each tunnel has two sockets. */
	private static final int MAX_TUNNELS = 512;

	private final EventLoop loop;

	private final CallPolicy policy;

	private final Predicate<Incarnation> outOfReach;

	private final TrafficMetrics metrics;

	/** Receives the number of bytes of each read from a server. */
	private final IntConsumer onBytes;

	private final Set<CarriedConnection> connections = new HashSet<>();

	/** The addresses of the gateways that may open tunnels. */
	private Set<InetAddress> gateways = Set.of();

	private Channel listener;

	private volatile int openCount;

	private TunnelServer(EventLoop loop, CallPolicy policy, Predicate<Incarnation> outOfReach, TrafficMetrics metrics,
			IntConsumer onBytes) {
		this.loop = loop;
		this.policy = policy;
		this.outOfReach = outOfReach;
		this.metrics = metrics;
		this.onBytes = onBytes;
	}

	/**
	 * Starts listening for tunnels.
	 * @param loop the traffic thread
	 * @param address the address to listen on
	 * @param policy knows the servers that accept calls
	 * @param outOfReach tests whether this gateway does not reach a server itself
	 * @param metrics the metrics
	 * @param onBytes receives the number of bytes of each read from a server
	 * @return the running server
	 */
	static TunnelServer open(EventLoop loop, InetSocketAddress address, CallPolicy policy,
			Predicate<Incarnation> outOfReach, TrafficMetrics metrics, IntConsumer onBytes) {
		TunnelServer server = new TunnelServer(loop, policy, outOfReach, metrics, onBytes);
		server.listener = new ServerBootstrap().group(loop, loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.SO_KEEPALIVE, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					server.accept(channel);
				}
			})
			.bind(address)
			.syncUninterruptibly()
			.channel();
		return server;
	}

	// Only gateways of the table may use the servers.
	private void accept(SocketChannel channel) {
		if (!this.gateways.contains(channel.remoteAddress().getAddress())) {
			EventLog.warn(TrafficEvents.TUNNEL_REFUSED, "from", channel.remoteAddress(), "cause",
					"the address is not that of a gateway");
			channel.close();
			return;
		}
		ServerConnector.KEEP_ALIVE_PROBES.options().forEach(channel.config()::setOption);
		TunnelPipeline.addCodecs(channel.pipeline());
		channel.pipeline().addLast(new CarriedConnection(this, channel));
	}

	// -- queries

	/**
	 * Returns the number of open tunnels, on any thread.
	 * @return the count
	 */
	int openCount() {
		return this.openCount;
	}

	/**
	 * Returns whether no call is carried.
	 * @return false while a tunnel has a call in progress
	 */
	boolean isIdle() {
		return this.connections.stream().noneMatch(CarriedConnection::hasCall);
	}

	/**
	 * Returns what is held for the tunnels.
	 * @return a holding for each
	 */
	Stream<Holding> holdings() {
		return this.connections.stream().map(CarriedConnection::holding);
	}

	// -- changes

	void gateways(Set<InetAddress> addresses) {
		this.gateways = Set.copyOf(addresses);
	}

	/** Closes the tunnels that carry no call. */
	void closeIdle() {
		List.copyOf(this.connections).stream().filter((tunnel) -> !tunnel.hasCall()).forEach(CarriedConnection::close);
	}

	@Override
	public void close() {
		this.listener.close();
		List.copyOf(this.connections).forEach(CarriedConnection::close);
	}

	// -- for the connections

	void bytesArrived(int count) {
		this.onBytes.accept(count);
	}

	EventLoop loop() {
		return this.loop;
	}

	CallPolicy policy() {
		return this.policy;
	}

	boolean isOutOfReach(BackendServer server) {
		return this.outOfReach.test(server.incarnation());
	}

	TrafficMetrics metrics() {
		return this.metrics;
	}

	/**
	 * Adds a tunnel.
	 * @param connection the tunnel
	 * @return false if there are too many
	 */
	boolean add(CarriedConnection connection) {
		boolean added = this.connections.size() < MAX_TUNNELS && this.connections.add(connection);
		this.openCount = this.connections.size();
		return added;
	}

	void remove(CarriedConnection connection) {
		this.connections.remove(connection);
		this.openCount = this.connections.size();
	}

}
