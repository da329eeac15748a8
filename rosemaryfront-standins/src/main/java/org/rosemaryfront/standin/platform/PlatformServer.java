package org.rosemaryfront.standin.platform;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.HttpHeaderNames;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.ConnectionProvider;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.platform.PlatformCodec;
import org.rosemaryfront.program.Program;

/**
 * The stand-in platform as an HTTP server.
 *
 * <pre>
 * try (PlatformServer server = PlatformServer.start(StandinPlatformSettings.standard())) {
 *     String url = server.url();
 * }
 * </pre>
 */
public final class PlatformServer implements Program.Running {

	private static final Duration TICK = Duration.ofMillis(20);

	/** How long a machine may take to answer a boot or a halt. */
	private static final Duration MACHINE_TIMEOUT = Duration.ofSeconds(2);

	private static final int BODY_LIMIT_BYTES = 16 * 1024 * 1024;

	private final PlatformModel model;

	private final PlatformRoutes platform;

	private final StandinRoutes standin;

	private final HttpClient machines;

	private final DisposableServer server;

	private final Disposable ticks;

	private PlatformServer(StandinPlatformSettings settings) {
		this.model = PlatformModel.of(settings, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
				Schedulers.parallel());
		this.platform = new PlatformRoutes(this.model);
		this.standin = new StandinRoutes(this.model);
		this.machines = HttpClient.create(ConnectionProvider.newConnection());
		this.server = HttpServer.create().host(settings.host()).port(settings.port()).handle(this::handle).bindNow();
		this.ticks = Flux.interval(TICK)
			.onBackpressureDrop()
			.concatMapIterable((_) -> this.model.advance())
			.subscribe(this::carryOut);
	}

	// -- factories

	/**
	 * Starts the platform.
	 * @param settings the settings
	 * @return the running platform
	 */
	public static PlatformServer start(StandinPlatformSettings settings) {
		return new PlatformServer(settings);
	}

	// -- queries

	@Override
	public Map<String, String> listeners() {
		return Map.of("http", this.server.host() + ":" + this.server.port());
	}

	/**
	 * The base URL for clients.
	 * @return the URL
	 */
	public String url() {
		return "http://" + this.server.host() + ":" + this.server.port();
	}

	// -- closing

	@Override
	public void close() {
		this.ticks.dispose();
		this.server.disposeNow();
	}

	// -- calls

	private Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
		String length = request.requestHeaders().get(HttpHeaderNames.CONTENT_LENGTH, "0");
		if (length.length() > 9 || Long.parseLong(length) > BODY_LIMIT_BYTES) {
			return send(response, Reply.notApplied(413, "too-large", "the body is over " + BODY_LIMIT_BYTES));
		}
		return request.receive()
			.aggregate()
			.asByteArray()
			.defaultIfEmpty(new byte[0])
			.flatMap((body) -> answer(Call.of(request.method().name(), request.uri(), body)))
			.flatMap((reply) -> send(response, reply))
			.onErrorResume(CallFailure.class, (_) -> hangUp(response));
	}

	private Mono<Reply> answer(Call call) {
		return Mono
			.defer(() -> this.standin.answer(call)
				.map(Mono::just)
				.or(() -> this.platform.answer(call))
				.orElseGet(() -> Mono.just(Reply.missing())))
			.onErrorResume(IllegalArgumentException.class,
					(malformed) -> Mono.just(Reply.notApplied(400, "malformed", malformed.getMessage())))
			.onErrorResume(CallFailure.class, PlatformServer::failed);
	}

	private static Mono<Reply> failed(CallFailure failure) {
		return switch (failure.kind()) {
			case OUTAGE -> Mono.just(Reply.notApplied(503, "outage", failure.getMessage()));
			case OVER_RATE -> Mono.just(Reply.notApplied(429, "over-rate", failure.getMessage()));
			case NO_CAPACITY -> Mono.just(Reply.notApplied(409, "no-capacity", failure.getMessage()));
			case LOST -> Mono.error(failure);
		};
	}

	private static Mono<Void> hangUp(HttpServerResponse response) {
		response.withConnection((connection) -> connection.channel().close());
		return Mono.never();
	}

	private static Mono<Void> send(HttpServerResponse response, Reply reply) {
		response.status(reply.status());
		if (!reply.type().isEmpty()) {
			response.header(HttpHeaderNames.CONTENT_TYPE, reply.type());
		}
		return response.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(reply.body().length))
			.sendByteArray(Mono.just(reply.body()))
			.then();
	}

	// -- machines

	private void carryOut(MachineAction action) {
		post(action).timeout(MACHINE_TIMEOUT)
			.map((status) -> status / 100 == 2)
			.onErrorReturn(false)
			.subscribe((done) -> {
				if (done) {
					EventLog.info(StandinPlatformEvents.MACHINE_ACTION_DONE, "action", action);
				}
				else {
					EventLog.warn(StandinPlatformEvents.MACHINE_ACTION_FAILED, "action", action);
				}
				this.model.carriedOut(action, done);
			});
	}

	private Mono<Integer> post(MachineAction action) {
		String path = switch (action) {
			case MachineAction.Boot _ -> "/standin/v1/boot";
			case MachineAction.Halt _ -> "/standin/v1/halt";
		};
		byte[] body = switch (action) {
			case MachineAction.Boot boot ->
				PlatformCodec.bytes(PlatformCodec.object().put("vm", boot.vm().value()).put("pool", boot.pool()));
			case MachineAction.Halt halt -> PlatformCodec.bytes(PlatformCodec.object().put("vm", halt.vm().value()));
		};
		return this.machines.headers((headers) -> headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length))
			.post()
			.uri("http://" + action.address() + path)
			.send((_, out) -> out.sendByteArray(Mono.just(body)))
			.responseSingle((response,
					content) -> content.asByteArray().defaultIfEmpty(new byte[0]).map((_) -> response.status().code()));
	}

}
