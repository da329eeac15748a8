package org.rosemaryfront.standin.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;
import reactor.netty.resources.LoopResources;

/** The HTTP server of a stand-in, with the faults of connections. */
public final class StandInServer implements AutoCloseable {

	private static final int THREADS = 2;

	private static final Duration STOP_LIMIT = Duration.ofSeconds(2);

	private static final int BACKLOG = 1_024;

	private final Map<Channel, MuteHandler> connections = new ConcurrentHashMap<>();

	private final LoopResources threads = LoopResources.create("http", 1, THREADS, true);

	private final DisposableServer server;

	private StandInServer(ListenSettings listen, Consumer<HttpServerRoutes> routes) {
		this.server = HttpServer.create()
			.host(listen.host())
			.port(listen.port())
			.runOn(this.threads)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.doOnChannelInit((_, channel, _) -> track(channel))
			.route(routes)
			.bindNow();
	}

	// -- factories

	/**
	 * Starts a server.
	 * @param listen where it listens
	 * @param routes adds what it answers
	 * @return the running server
	 */
	public static StandInServer start(ListenSettings listen, Consumer<HttpServerRoutes> routes) {
		return new StandInServer(listen, routes);
	}

	// -- queries

	/**
	 * Where it listens.
	 * @return {@code host:port}
	 */
	public String address() {
		InetSocketAddress address = (InetSocketAddress) this.server.address();
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

	/**
	 * How many connections are open.
	 * @return the count
	 */
	public int connections() {
		return this.connections.size();
	}

	// -- faults

	/**
	 * Breaks the connection of a call off without an answer.
	 * @param response the response of the call
	 * @return never completes, since there is nothing to answer
	 */
	public static Mono<Void> abort(HttpServerResponse response) {
		response.withConnection((connection) -> reset(connection.channel()));
		return Mono.never();
	}

	/** Breaks all connections off without a word. */
	public void cut() {
		this.connections.keySet().forEach(StandInServer::reset);
	}

	/**
	 * Breaks all connections off without a word, but for one.
	 * @param kept the response of the call that asks for it
	 */
	public void cutOthers(HttpServerResponse kept) {
		kept.withConnection((connection) -> this.connections.keySet()
			.stream()
			.filter((channel) -> channel != connection.channel())
			.forEach(StandInServer::reset));
	}

	/**
	 * Makes all open connections carry nothing for good, but for one; later ones work.
	 * @param kept the response of the call that asks for it
	 */
	public void silenceOthers(HttpServerResponse kept) {
		kept.withConnection((connection) -> this.connections.forEach((channel, handler) -> {
			if (channel != connection.channel()) {
				handler.mute();
			}
		}));
	}

	@Override
	public void close() {
		cut();
		this.server.disposeNow(STOP_LIMIT);
		this.threads.disposeLater(Duration.ZERO, STOP_LIMIT).block();
	}

	private void track(Channel channel) {
		MuteHandler handler = new MuteHandler();
		channel.pipeline().addFirst(handler);
		this.connections.put(channel, handler);
		channel.closeFuture().addListener((_) -> this.connections.remove(channel));
	}

	// With a linger time of zero the close resets the connection, as when a VM vanishes.
	// The other end may close it at the same moment, and then there is nothing to reset.
	private static void reset(Channel channel) {
		try {
			channel.config().setOption(ChannelOption.SO_LINGER, 0);
		}
		catch (ChannelException ex) {
			if (channel.isOpen()) {
				throw ex;
			}
		}
		channel.close();
	}

	/**
	 * Where a stand-in listens.
	 *
	 * @param host the address
	 * @param port the port, 0 for any free one
	 */
	public record ListenSettings(String host, int port) {
	}

}
