package org.rosemaryfront.gateway;

import java.io.IOException;
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

import org.rosemaryfront.gateway.proto.TableRows;

/** Answers whether callers may come, and serves the metrics. */
final class AdminServer implements AutoCloseable {

	private static final String METRICS_PATH = "/metrics";

	private static final String TABLES_PATH = "/tables";

	private final DisposableServer readiness;

	private final DisposableServer metrics;

	private AdminServer(DisposableServer readiness, DisposableServer metrics) {
		this.readiness = readiness;
		this.metrics = metrics;
	}

	static AdminServer open(LoopResources loops, GatewaySettings settings, BooleanSupplier ready,
			MetricRegistry registry, Map<String, FollowedTable> tables) {
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
							.orElseGet(() -> response.status(204).send())))
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

	private static String render(MetricRegistry registry) throws IOException {
		return Mapper.SHARED.writeValueAsString(Map.of("metrics", registry));
	}

	@Override
	public void close() {
		this.readiness.disposeNow();
		this.metrics.disposeNow();
	}

	/** Loaded with the first question only: start-up is part of every recovery. */
	private static final class Mapper {

		private static final JsonMapper SHARED = JsonMapper.builder()
			.addModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false))
			.build();

	}

}
