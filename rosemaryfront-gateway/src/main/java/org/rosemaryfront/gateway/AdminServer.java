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

/**
 * Serves readiness checks on one port, and metrics, table contents and the quarantined
 * requests on another.
 */
final class AdminServer implements AutoCloseable {

	private static final String METRICS_PATH = "/metrics";

	private static final String TABLES_PATH = "/tables";

	private static final String HELD_REQUESTS_PATH = "/held-requests";

	private final DisposableServer readiness;

	private final DisposableServer metrics;

	private AdminServer(DisposableServer readiness, DisposableServer metrics) {
		this.readiness = readiness;
		this.metrics = metrics;
	}

	static AdminServer open(LoopResources loops, GatewaySettings settings, BooleanSupplier ready,
			MetricRegistry registry, Map<String, TableReplica> tables, RequestQuarantine quarantine) {
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
							.sendString(Mono.fromCallable(() -> metricsJson(registry))))
				.get(TABLES_PATH + "/{table}/{known}",
						(request, response) -> table(tables, request.param("table"), request.param("known"))
							.map((rows) -> response.sendByteArray(Mono.just(rows.toByteArray())).then())
							.orElseGet(() -> response.status(204).send()))
				.get(HELD_REQUESTS_PATH,
						(_, response) -> response.header(HttpHeaderNames.CONTENT_TYPE, "application/json")
							.sendString(quarantine.list().map(AdminServer::json)))
				.delete(HELD_REQUESTS_PATH + "/{digest}",
						(request, response) -> release(quarantine, request.param("digest"))
							.flatMap((status) -> response.status(status).send())))
			.bindNow();
		return new AdminServer(readiness, metrics);
	}

	/**
	 * Returns the path at which a gateway serves its copy of a table.
	 * @param table the name of the table
	 * @param known the version up to which the reader has the table
	 * @return the path
	 */
	static String tablePath(String table, long known) {
		return TABLES_PATH + '/' + table + '/' + known;
	}

	private static Optional<TableRows> table(Map<String, TableReplica> tables, String name, String known) {
		boolean number = known.matches("[0-9]{1,18}");
		return number ? Optional.ofNullable(tables.get(name)).flatMap((table) -> table.newerThan(Long.parseLong(known)))
				: Optional.empty();
	}

	private static Mono<Integer> release(RequestQuarantine quarantine, String digest) {
		try {
			return quarantine.release(RequestDigest.parse(digest)).map((known) -> known ? 204 : 404);
		}
		catch (IllegalArgumentException ex) {
			return Mono.just(400);
		}
	}

	private static String json(Object value) {
		return new String(RowJson.write(value), StandardCharsets.UTF_8);
	}

	private static String metricsJson(MetricRegistry registry) throws IOException {
		return Mapper.SHARED.writeValueAsString(Map.of("metrics", registry));
	}

	@Override
	public void close() {
		this.readiness.disposeNow();
		this.metrics.disposeNow();
	}

	/**
	 * Lists and releases, for operators, the requests and segments of prompts under which
	 * servers crashed.
	 */
	interface RequestQuarantine {

		/**
		 * Returns the requests and segments under which servers crashed.
		 * @return the suspects, to be written as JSON
		 */
		Mono<List<Suspect>> list();

		/**
		 * Releases a request or a segment from quarantine at all gateways.
		 * @param digest the digest of the request or the segment
		 * @return whether there was a record of a crash under it
		 */
		Mono<Boolean> release(RequestDigest digest);

	}

	/**
	 * A request, or a segment of prompts, under which servers crashed.
	 *
	 * @param digest the digest of the request or the segment
	 * @param held whether the request is quarantined, or the segment, possibly together
	 * with others
	 * @param crashes the crashes of servers
	 * @param segment the identifier of the segment and the version of the servers, or
	 * {@code none} for a request
	 */
	record Suspect(String digest, boolean held, List<CrashEntry> crashes, String segment) {
	}

	/**
	 * A crash of a server that had a request.
	 *
	 * @param server the identifier of the server
	 * @param startedMillis when that server process started, in milliseconds since 1970
	 * @param atMillis when its connection broke, in milliseconds since 1970
	 * @param state the state of the evidence, in lower case
	 */
	record CrashEntry(String server, long startedMillis, long atMillis, String state) {
	}

	/**
	 * Holds the mapper; loaded on the first request for metrics, because building it
	 * would lengthen start-up and with it every recovery.
	 */
	private static final class Mapper {

		private static final JsonMapper SHARED = JsonMapper.builder()
			.addModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false))
			.build();

	}

}
