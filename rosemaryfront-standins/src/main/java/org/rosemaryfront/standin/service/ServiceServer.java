package org.rosemaryfront.standin.service;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.reactivestreams.Publisher;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.program.Program;
import org.rosemaryfront.standin.http.SlotRegistration;
import org.rosemaryfront.standin.http.StandInEvents;
import org.rosemaryfront.standin.http.StandInJson;
import org.rosemaryfront.standin.http.StandInServer;

/**
 * A stand-in booking service, which counts how often each call ran. The counts outlast a
 * halt, since they are what tests check at-most-once by.
 *
 * <pre>
 * try (ServiceServer service = ServiceServer.start(ServiceSettings.local(5))) {
 *     book(service.address());
 *     service.executions(); // {"the idempotency key": 1}
 * }
 * </pre>
 */
public final class ServiceServer implements Program.Running {

	private final Map<String, Integer> byKey = new ConcurrentHashMap<>();

	private final Map<String, Integer> byBooking = new ConcurrentHashMap<>();

	private final AtomicLong bookings = new AtomicLong();

	private final ServiceFaults faults = new ServiceFaults();

	private final ServiceSettings settings;

	private final StandInServer server;

	private final Disposable registration;

	private volatile String vm = "";

	private volatile boolean booted;

	private volatile int boot;

	private ServiceServer(ServiceSettings settings) {
		this.settings = settings;
		this.server = StandInServer.start(settings.listen(), this::routes);
		if (settings.platform().isEmpty()) {
			this.registration = Disposables.disposed();
			boot("local");
		}
		else {
			this.registration = SlotRegistration.offer(settings.platform(), address(), "service", settings.zone(),
					settings.machineClass());
		}
	}

	// -- factories

	/**
	 * Starts a service.
	 * @param settings its settings
	 * @return the running service
	 */
	public static ServiceServer start(ServiceSettings settings) {
		return new ServiceServer(Objects.requireNonNull(settings, "settings is null"));
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
	 * How often each call ran.
	 * @return the count by the value of {@code Idempotency-Key}
	 */
	public Map<String, Integer> executions() {
		return new TreeMap<>(this.byKey);
	}

	@Override
	public Map<String, String> listeners() {
		return Map.of("http", address());
	}

	@Override
	public void close() {
		this.registration.dispose();
		this.server.close();
	}

	// -- routes

	private void routes(HttpServerRoutes routes) {
		routes.post("/bookings", (request, response) -> change(request, response, "booking"))
			.post("/holds", (request, response) -> change(request, response, "hold"))
			.get("/sheets/{round}", this::sheet)
			.get("/standin/v1/executions",
					(_, response) -> StandInJson.answer(response, 200, StandInJson.of(executions())))
			.get("/standin/v1/bookings",
					(_, response) -> StandInJson.answer(response, 200, StandInJson.of(new TreeMap<>(this.byBooking))))
			.get("/standin/v1/stats", this::stats)
			.post("/standin/v1/faults", this::fault)
			.delete("/standin/v1/faults", (_, response) -> {
				this.faults.clear();
				return response.status(204).send();
			})
			.post("/standin/v1/boot", (request, response) -> StandInJson.body(request).flatMap((body) -> {
				boot(StandInJson.parse(body).path("vm").asText());
				return StandInJson.answer(response, 200, "{}");
			}))
			.post("/standin/v1/halt", this::halt);
	}

	// -- calls

	private Publisher<Void> change(HttpServerRequest request, HttpServerResponse response, String kind) {
		if (!this.booted) {
			return StandInServer.abort(response);
		}
		String key = request.requestHeaders().get("Idempotency-Key", "");
		int taken = this.boot;
		return StandInJson.body(request).flatMap((body) -> whileBooted(taken, response, () -> {
			if (this.faults.hits("refuse")) {
				response.header("X-Not-Run", "true");
				return StandInJson.answer(response, 503, StandInJson.object().put("refused", "before running"));
			}
			return run(taken, response, kind, key, StandInJson.parse(body));
		}));
	}

	private Mono<Void> run(int taken, HttpServerResponse response, String kind, String key, JsonNode body) {
		if (this.faults.hits("die-mid-call")) {
			return StandInServer.abort(response);
		}
		long delay = this.settings.delayMillis() + this.faults.delayMillis();
		return Mono.delay(Duration.ofMillis(delay)).then(Mono.defer(() -> whileBooted(taken, response, () -> {
			String household = body.path("household").asText();
			String slot = body.path("slot").asText();
			long number = count(kind, key, household, slot);
			if (this.faults.hits("lost-answer")) {
				return StandInServer.abort(response);
			}
			return StandInJson.answer(response, 201,
					StandInJson.object().put(kind, number).put("household", household).put("slot", slot));
		})));
	}

	private long count(String kind, String key, String household, String slot) {
		if (!key.isEmpty()) {
			this.byKey.merge(key, 1, Integer::sum);
		}
		this.byBooking.merge(kind + " " + household + " " + slot, 1, Integer::sum);
		return this.bookings.incrementAndGet();
	}

	private Publisher<Void> sheet(HttpServerRequest request, HttpServerResponse response) {
		String round = request.param("round");
		return whileBooted(this.boot, response, () -> {
			if (this.faults.hits("refuse")) {
				response.header("X-Not-Run", "true");
				return StandInJson.answer(response, 503, StandInJson.object().put("refused", "before running"));
			}
			return StandInJson.answer(response, 200,
					StandInJson.object().put("round", round).put("bookings", this.bookings.get()));
		});
	}

	// A call does nothing more once the VM that took it has ended.
	private Mono<Void> whileBooted(int taken, HttpServerResponse response, Supplier<Mono<Void>> work) {
		return this.faults.thawed()
			.then(Mono.defer(() -> (this.booted && this.boot == taken) ? work.get() : StandInServer.abort(response)));
	}

	// -- extras of the stand-in

	private void boot(String newVm) {
		this.vm = newVm;
		this.boot++;
		this.booted = true;
		EventLog.info(StandInEvents.VM_BOOTED, "vm", newVm, "address", address());
	}

	private Publisher<Void> halt(HttpServerRequest request, HttpServerResponse response) {
		this.booted = false;
		this.faults.clear();
		EventLog.info(StandInEvents.VM_HALTED, "vm", this.vm, "address", address());
		this.server.cutOthers(response);
		return StandInJson.answer(response, 200, "{}");
	}

	private Publisher<Void> fault(HttpServerRequest request, HttpServerResponse response) {
		return StandInJson.body(request).map(StandInJson::parse).flatMap((fault) -> {
			String kind = fault.path("kind").asText();
			EventLog.info(StandInEvents.FAULT_BEGAN, "vm", this.vm, "kind", kind);
			switch (kind) {
				case "silent" -> this.server.silenceOthers(response);
				case "cut" -> this.server.cutOthers(response);
				case "die-mid-call", "lost-answer", "refuse", "slow", "freeze" -> this.faults.begin(kind, fault);
				default -> {
					return StandInJson.answer(response, 400, "{}");
				}
			}
			return response.status(204).send().then();
		});
	}

	private Publisher<Void> stats(HttpServerRequest request, HttpServerResponse response) {
		ObjectNode document = StandInJson.object()
			.put("vm", this.vm)
			.put("booted", this.booted)
			.put("boots", this.boot)
			.put("bookings", this.bookings.get())
			.put("connections", this.server.connections());
		return StandInJson.answer(response, 200, document);
	}

}
