package org.rosemaryfront.gateway;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.handler.codec.http.HttpHeaderNames;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.resources.LoopResources;

import org.rosemaryfront.crashes.RequestDigest;
import org.rosemaryfront.gateway.proto.TableRows;

/** Answers whether callers may come, and serves the metrics. */
final class AdminServer implements AutoCloseable {

	private static final String METRICS_PATH = "/metrics";

	private static final String TABLES_PATH = "/tables";

	private static final String HELD_PATH = "/held-requests";

	private final DisposableServer readiness;

	private final DisposableServer metrics;

	private AdminServer(DisposableServer readiness, DisposableServer metrics) {
		this.readiness = readiness;
		this.metrics = metrics;
	}

	static AdminServer open(LoopResources loops, GatewaySettings settings, BooleanSupplier ready,
			MetricRegistry registry, Map<String, FollowedTable> tables, HeldRequests held) {
		DisposableServer readiness = HttpServer.create()
			.runOn(loops, false)
			.bindAddress(settings::readiness)
			.route((routes) -> routes.get(settings.readinessPath(),
					(_, response) -> response.status(ready.getAsBoolean() ? 200 : 503).send()))
			.bindNow();
		DisposableServer metrics = HttpServer.create()
			.runOn(loops, false)
			.bindAddress(settings::metrics)
			.route((routes) -> routes
				.get(METRICS_PATH,
						(_, response) -> response.header(HttpHeaderNames.CONTENT_TYPE, "application/json")
							.sendString(Mono.fromCallable(() -> render(registry))))
				.get(TABLES_PATH + "/{table}/{known}",
						(request, response) -> table(tables, request.param("table"), request.param("known"))
							.map((rows) -> response.sendByteArray(Mono.just(rows.toByteArray())).then())
							.orElseGet(() -> response.status(204).send()))
				.get(HELD_PATH,
						(_, response) -> response.header(HttpHeaderNames.CONTENT_TYPE, "application/json")
							.sendString(held.list().map(AdminServer::json)))
				.delete(HELD_PATH + "/{digest}",
						(request, response) -> released(held, request.param("digest"))
							.flatMap((status) -> response.status(status).send())))
			.bindNow();
		return new AdminServer(readiness, metrics);
	}

	/**
	 * The path at which a gateway serves a table that it follows.
	 * @param table the table
	 * @param known the version up to which the reader knows it
	 * @return the path
	 */
	static String tablePath(String table, long known) {
		return TABLES_PATH + '/' + table + '/' + known;
	}

	private static Optional<TableRows> table(Map<String, FollowedTable> tables, String name, String known) {
		boolean number = known.matches("[0-9]{1,18}");
		return number ? Optional.ofNullable(tables.get(name)).flatMap((table) -> table.newerThan(Long.parseLong(known)))
				: Optional.empty();
	}

	private static Mono<Integer> released(HeldRequests held, String digest) {
		try {
			return held.release(RequestDigest.parse(digest)).map((known) -> known ? 204 : 404);
		}
		catch (IllegalArgumentException ex) {
			return Mono.just(400);
		}
	}

	private static String json(Object value) {
		return new String(RowJson.write(value), StandardCharsets.UTF_8);
	}

	private static String render(MetricRegistry registry) throws IOException {
		return Mapper.SHARED.writeValueAsString(Map.of("metrics", registry));
	}

	@Override
	public void close() {
		this.readiness.disposeNow();
		this.metrics.disposeNow();
	}

	/** Requests under which servers crashed, for an operator. */
	interface HeldRequests {

		/**
		 * The requests that are known, with the servers that crashed.
		 * @return what is to be written as JSON
		 */
		Mono<List<HeldRequest>> list();

		/**
		 * Releases a request, at all gateways.
		 * @param request the request
		 * @return whether anything was known of it
		 */
		Mono<Boolean> release(RequestDigest request);

	}

	/**
	 * A request under which servers crashed.
	 *
	 * @param digest names the request
	 * @param held whether it is held back
	 * @param crashes the servers that crashed
	 */
	record HeldRequest(String digest, boolean held, List<HeldCrash> crashes) {
	}

	/**
	 * A server that crashed while it had a request.
	 *
	 * @param server the server
	 * @param startedMillis which start of it
	 * @param atMillis when its connection broke, in milliseconds since 1970
	 * @param state how sure it is
	 */
	record HeldCrash(String server, long startedMillis, long atMillis, String state) {
	}

	/** Loaded with the first question only: start-up is part of every recovery. */
	private static final class Mapper {

		private static final JsonMapper SHARED = JsonMapper.builder()
			.addModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false))
			.build();

	}

}
