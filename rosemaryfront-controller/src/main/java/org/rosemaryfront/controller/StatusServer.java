package org.rosemaryfront.controller;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;

import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerResponse;

import org.rosemaryfront.events.Invariants;

/** Serves the state of the controller to operators and their monitoring, read only. */
final class StatusServer implements AutoCloseable {

	private static final JsonMapper MAPPER = JsonMapper.builder()
		.addModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false))
		.build();

	private static final Duration CLOSE_LIMIT = Duration.ofSeconds(1);

	private static final int SERVICE_UNAVAILABLE = 503;

	private final DisposableServer server;

	private StatusServer(DisposableServer server) {
		this.server = server;
	}

	static StatusServer start(ControllerSettings.Listener listener, UnaryOperator<HttpServer> secured,
			Controller controller, BooleanSupplier ready) {
		controller.metrics().gauge("invariants.broken", () -> Invariants::broken);
		HttpServer server = HttpServer.create().host(listener.host()).port(listener.port());
		return new StatusServer(secured.apply(server)
			.route((routes) -> routes.get("/healthz", (_, response) -> json(response, Map.of("status", "up")))
				.get("/readyz",
						(_, response) -> ready.getAsBoolean() ? json(response, Map.of("status", "ready"))
								: json(response.status(SERVICE_UNAVAILABLE), Map.of("status", "not-ready")))
				.get("/metrics", (_, response) -> json(response, controller.metrics()))
				.get("/status",
						(_, response) -> Mono.fromFuture(controller.status())
							.flatMap((status) -> json(response, status.asMap()))))
			.bindNow());
	}

	String address() {
		return this.server.host() + ":" + this.server.port();
	}

	@Override
	public void close() {
		this.server.disposeNow(CLOSE_LIMIT);
	}

	private static Mono<Void> json(HttpServerResponse response, Object value) {
		try {
			return response.header("Content-Type", "application/json")
				.sendByteArray(Mono.just(MAPPER.writeValueAsBytes(value)))
				.then();
		}
		catch (JsonProcessingException ex) {
			return Mono.error(ex);
		}
	}

}
