package org.rosemaryfront.standin.engine;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.UnpooledByteBufAllocator;
import org.reactivestreams.Publisher;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;
import reactor.util.retry.Retry;

import org.rosemaryfront.engine.EngineClient.EngineOrder;
import org.rosemaryfront.engine.EngineEvent;
import org.rosemaryfront.engine.EngineJson;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.model.AttemptId;
import org.rosemaryfront.program.Program;
import org.rosemaryfront.serving.ServingEvent.Refusal;
import org.rosemaryfront.standin.http.SlotRegistration;
import org.rosemaryfront.standin.http.StandInEvents;
import org.rosemaryfront.standin.http.StandInJson;
import org.rosemaryfront.standin.http.StandInServer;

/**
 * A stand-in model engine over HTTP; docs/INTERFACES.md gives the protocol.
 *
 * <pre>
 * try (EngineServer engine = EngineServer.start(EngineSettings.local(EngineParameters.fast(), List.of("m@1")))) {
 *     client.open(engine.address(), order).blockLast();
 * }
 * </pre>
 */
public final class EngineServer implements Program.Running {

	private static final Duration WEIGHTS_PAUSE = Duration.ofMillis(200);

	private static final Duration TRANSFER_LIMIT = Duration.ofSeconds(60);

	private final EngineSettings settings;

	private final EngineDriver driver;

	private final StandInServer server;

	private final Disposable registration;

	private volatile String vm = "";

	private volatile int boots;

	private EngineServer(EngineSettings settings) {
		this.settings = settings;
		this.driver = new EngineDriver(settings, this::fetchWeights);
		this.server = StandInServer.start(settings.listen(), this::routes);
		if (settings.platform().isEmpty()) {
			this.registration = Disposables.disposed();
			boot("local").block();
		}
		else {
			this.registration = SlotRegistration.offer(settings.platform(), address(), "runner", settings.zone(),
					settings.machineClass());
		}
	}

	// -- factories

	/**
	 * Starts an engine.
	 * @param settings its settings
	 * @return the running engine
	 */
	public static EngineServer start(EngineSettings settings) {
		return new EngineServer(settings);
	}

	// -- queries

	/**
	 * Where it listens.
	 * @return {@code host:port}
	 */
	public String address() {
		return this.server.address();
	}

	/**
	 * The token counts of all its boots.
	 * @return the counts
	 */
	public EngineCounters counters() {
		return this.driver.counters().block();
	}

	@Override
	public Map<String, String> listeners() {
		return Map.of("http", address());
	}

	@Override
	public void close() {
		this.registration.dispose();
		this.server.close();
		this.driver.close();
	}

	// -- routes

	private void routes(HttpServerRoutes routes) {
		routes.post("/engine/v1/streams", work(this::open))
			.get("/engine/v1/streams/{attempt}", work(this::attach))
			.get("/engine/v1/streams/{attempt}/cache", work(this::export))
			.delete("/engine/v1/streams/{attempt}", work(this::cancel))
			.post("/engine/v1/imports", work(this::importCache))
			.get("/engine/v1/load",
					work((_, response) -> this.driver.call((call) -> call.model().load(call.now()))
						.flatMap((load) -> StandInJson.answer(response, 200, EngineJson.write(load)))))
			.get("/engine/v1/cache-events", work(this::cacheEvents))
			.put("/engine/v1/order", work(this::order))
			.get("/engine/v1/state",
					work((_, response) -> this.driver.call((call) -> call.model().state(call.now()))
						.flatMap((state) -> StandInJson.answer(response, 200, EngineJson.write(state)))))
			.post("/standin/v1/boot",
					(request, response) -> StandInJson.body(request)
						.flatMap((body) -> boot(StandInJson.parse(body).path("vm").asText()))
						.then(StandInJson.answer(response, 200, "{}")))
			.post("/standin/v1/halt", this::halt)
			.post("/standin/v1/faults", this::fault)
			.delete("/standin/v1/faults", (_, response) -> {
				this.driver.clearFaults();
				return response.status(204).send();
			})
			.get("/standin/v1/stats", this::stats);
	}

	// A machine without a VM answers nothing.
	private BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> work(
			BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> handler) {
		return (request, response) -> this.driver.booted() ? handler.apply(request, response)
				: StandInServer.abort(response);
	}

	// -- streams

	private Publisher<Void> open(HttpServerRequest request, HttpServerResponse response) {
		return StandInJson.body(request)
			.flatMap((body) -> this.driver.open(EngineJson.readStreamOrder(body)))
			.flatMap((opening) -> opening.refusal()
				.map((refusal) -> refuse(response, 409, reason(refusal)))
				.orElseGet(() -> stream(response, opening.events())));
	}

	private Publisher<Void> attach(HttpServerRequest request, HttpServerResponse response) {
		int offset = (int) queryNumber(request, "offset");
		return this.driver.attach(attempt(request), offset)
			.flatMap((events) -> events.map((known) -> stream(response, known))
				.orElseGet(() -> refuse(response, 404, "unknown-stream")));
	}

	private Publisher<Void> cancel(HttpServerRequest request, HttpServerResponse response) {
		return this.driver.call((call) -> {
			call.model().cancel(call.now(), attempt(request));
			return true;
		}).then(response.status(204).send());
	}

	private Mono<Void> stream(HttpServerResponse response, Flux<EngineEvent> events) {
		Flux<ByteBuf> bytes = events
			.map((event) -> ByteBufUtil.writeUtf8(UnpooledByteBufAllocator.DEFAULT, EngineJson.writeEvent(event)));
		return response.header("Content-Type", "application/x-ndjson").send(bytes, (_) -> true).then();
	}

	private static Mono<Void> refuse(HttpServerResponse response, int status, String reason) {
		return StandInJson.answer(response, status, StandInJson.object().put("refused", reason));
	}

	private static String reason(Refusal refusal) {
		return switch (refusal) {
			case LEAVING -> "leaving";
			case FULL -> "full";
			case NOT_LOADED -> "not-loaded";
			case UNKNOWN_STREAM -> "unknown-stream";
		};
	}

	// -- KV cache

	private Publisher<Void> export(HttpServerRequest request, HttpServerResponse response) {
		return this.driver.call((call) -> call.model().export(call.now(), attempt(request)))
			.flatMap((exported) -> exported.map((context) -> transfer(response, context))
				.orElseGet(() -> refuse(response, 404, "unknown-stream")));
	}

	private Mono<Void> transfer(HttpServerResponse response, ExportedContext context) {
		ObjectNode document = StandInJson.object()
			.put("context", Long.toHexString(context.context()))
			.put("tokens", context.tokens());
		EngineJson.putBlocks(document.putArray("blocks"), context.blocks());
		return Mono.delay(Duration.ofNanos(Math.max(0, context.readyAt() - this.driver.now())))
			.then(Mono.defer(() -> StandInJson.answer(response, 200, document)));
	}

	private Publisher<Void> importCache(HttpServerRequest request, HttpServerResponse response) {
		return StandInJson.body(request)
			.map(StandInJson::parse)
			.flatMap((body) -> HttpClient.newConnection()
				.responseTimeout(TRANSFER_LIMIT)
				.get()
				.uri("http://" + body.path("source").asText() + "/engine/v1/streams/" + body.path("stream").asText()
						+ "/cache")
				.responseSingle((answer, bytes) -> bytes.asString()
					.filter((_) -> answer.status().code() == 200)
					.map(StandInJson::parse)))
			.flatMap(
					(exported) -> this.driver.call((call) -> call.model().importContext(call.now(), context(exported))))
			.map(Optional::of)
			.onErrorResume((_) -> Mono.just(Optional.empty()))
			.defaultIfEmpty(Optional.empty())
			.flatMap((tokens) -> tokens
				.map((count) -> StandInJson.answer(response, 200, StandInJson.object().put("tokens", count)))
				.orElseGet(() -> refuse(response, 502, "unknown-stream")));
	}

	private static ExportedContext context(JsonNode exported) {
		List<Long> blocks = EngineJson.blocks(exported.path("blocks"));
		return new ExportedContext(Long.parseUnsignedLong(exported.path("context").asText(), 16), blocks,
				exported.path("tokens").asInt(), 0);
	}

	// -- state and orders

	private Publisher<Void> cacheEvents(HttpServerRequest request, HttpServerResponse response) {
		long after = queryNumber(request, "after");
		return this.driver.call((call) -> call.model().cacheEvents(call.now(), after))
			.flatMap((events) -> StandInJson.answer(response, 200, EngineJson.write(events)));
	}

	private Publisher<Void> order(HttpServerRequest request, HttpServerResponse response) {
		return StandInJson.body(request).flatMap((body) -> {
			EngineOrder order = EngineJson.readOrder(body);
			return this.driver.call((call) -> {
				OrderOutcome outcome = call.model().order(call.now(), call.receivedAt(), order);
				return Map.entry(outcome, call.model().state(call.now()));
			});
		}).flatMap((outcome) -> switch (outcome.getKey()) {
			case TAKEN -> StandInJson.answer(response, 200, EngineJson.write(outcome.getValue()));
			case FENCED -> refuse(response, 412, "older-fence");
			case EXPIRED -> refuse(response, 410, "expired");
		});
	}

	private Mono<Void> fetchWeights(String name) {
		if (this.settings.platform().isEmpty()) {
			return Mono.empty();
		}
		String path = name.replace('@', '/');
		return HttpClient.create()
			.responseTimeout(TRANSFER_LIMIT)
			.get()
			.uri(this.settings.platform() + "/weights/v1/" + path)
			.responseSingle((answer, bytes) -> bytes.asByteArray()
				.defaultIfEmpty(new byte[0])
				.flatMap((_) -> (answer.status().code() == 200) ? Mono.<Void>empty()
						: Mono.error(new IllegalStateException("status " + answer.status().code()))))
			.doOnError((failure) -> EventLog.info(StandInEvents.WEIGHTS_LATE, "name", name, "cause", failure))
			.retryWhen(Retry.fixedDelay(Long.MAX_VALUE, WEIGHTS_PAUSE));
	}

	// -- extras of the stand-in

	private Mono<Void> boot(String newVm) {
		this.vm = newVm;
		this.boots++;
		EventLog.info(StandInEvents.VM_BOOTED, "vm", newVm, "address", address());
		return this.driver.boot();
	}

	private Publisher<Void> halt(HttpServerRequest request, HttpServerResponse response) {
		EventLog.info(StandInEvents.VM_HALTED, "vm", this.vm, "address", address());
		return this.driver.halt().then(StandInJson.answer(response, 200, "{}")).doFinally((_) -> this.server.cut());
	}

	private Publisher<Void> fault(HttpServerRequest request, HttpServerResponse response) {
		return StandInJson.body(request).map(StandInJson::parse).flatMap((fault) -> {
			String kind = fault.path("kind").asText();
			long millis = fault.path("millis").asLong(Duration.ofHours(1).toMillis());
			EventLog.info(StandInEvents.FAULT_BEGAN, "vm", this.vm, "kind", kind, "millis", millis);
			switch (kind) {
				case "silent" -> this.server.silenceOthers(response);
				case "cut" -> this.server.cutOthers(response);
				case "freeze" -> this.driver.freeze(millis);
				case "slow" -> this.driver.slow(millis, fault.path("factor").asDouble(10));
				case "refuse" -> this.driver.refuse(millis, refusal(fault.path("reason").asText("full")));
				case "late-cache-events" ->
					this.driver.delayCacheEvents(millis, fault.path("delayMillis").asLong(5_000));
				default -> {
					return StandInJson.answer(response, 400, "{}");
				}
			}
			return response.status(204).send();
		});
	}

	private Publisher<Void> stats(HttpServerRequest request, HttpServerResponse response) {
		return this.driver.counters().zipWith(this.driver.memoryUsed()).flatMap((both) -> {
			ObjectNode document = StandInJson.object()
				.put("vm", this.vm)
				.put("booted", this.driver.booted())
				.put("boots", this.boots)
				.put("connections", this.server.connections())
				.put("memoryUsed", both.getT2());
			document.set("counters", StandInJson.of(both.getT1()));
			return StandInJson.answer(response, 200, document);
		});
	}

	private static Refusal refusal(String reason) {
		return switch (reason) {
			case "leaving" -> Refusal.LEAVING;
			case "not-loaded" -> Refusal.NOT_LOADED;
			default -> Refusal.FULL;
		};
	}

	private static AttemptId attempt(HttpServerRequest request) {
		return new AttemptId(request.param("attempt"));
	}

	// The number of a query such as ?offset=3, 0 when there is none.
	private static long queryNumber(HttpServerRequest request, String name) {
		String query = request.uri();
		int at = query.indexOf(name + "=");
		return (at < 0) ? 0 : Long.parseLong(query.substring(at + name.length() + 1).split("&")[0]);
	}

}
