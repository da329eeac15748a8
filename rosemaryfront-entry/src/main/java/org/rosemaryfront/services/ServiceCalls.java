package org.rosemaryfront.services;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.Problem;
import org.rosemaryfront.model.ProblemCode;
import org.rosemaryfront.model.Resource;
import org.rosemaryfront.model.RosemaryException;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.platform.TableClient;

/**
 * Passes callers' calls on to plain services; a call that is not idempotent runs at most
 * once.
 *
 * <pre>
 * ServiceCalls calls = ServiceCalls.of(settings, tables, peers::configuration, servers::services);
 * return calls.handle("federation", "booking", "/bookings", request, response);
 * </pre>
 */
public final class ServiceCalls implements AutoCloseable {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private final ServiceCallSettings settings;

	private final TableClient tables;

	private final Supplier<Configuration> configuration;

	private final Supplier<List<ServiceServer>> servers;

	private final ServiceClient client;

	private final Map<VmId, AtomicInteger> inFlight = new ConcurrentHashMap<>();

	private final AtomicInteger open = new AtomicInteger();

	private ServiceCalls(ServiceCallSettings settings, TableClient tables, Supplier<Configuration> configuration,
			Supplier<List<ServiceServer>> servers) {
		this.settings = Objects.requireNonNull(settings, "settings is null");
		this.tables = Objects.requireNonNull(tables, "tables is null");
		this.configuration = Objects.requireNonNull(configuration, "configuration is null");
		this.servers = Objects.requireNonNull(servers, "servers is null");
		this.client = ServiceClient.of(Duration.ofMillis(settings.connectMillis()));
	}

	// -- factories

	/**
	 * Creates the calls of one entry.
	 * @param settings limits and times
	 * @param tables the platform's table service
	 * @param configuration the configuration in force here
	 * @param servers the backend servers of plain services as known now
	 * @return the calls
	 */
	public static ServiceCalls of(ServiceCallSettings settings, TableClient tables,
			Supplier<Configuration> configuration, Supplier<List<ServiceServer>> servers) {
		return new ServiceCalls(settings, tables, configuration, servers);
	}

	// -- calls

	/**
	 * Completes when no call is open.
	 * @return when the last open call has its answer
	 */
	public Mono<Void> drain() {
		return Mono.fromSupplier(this.open::get)
			.filter((count) -> count == 0)
			.repeatWhenEmpty((attempts) -> attempts.delayElements(Duration.ofMillis(20)))
			.then();
	}

	/**
	 * Passes a call on and answers it.
	 * @param organisation the organisation that calls, authenticated
	 * @param pool the name of the pool
	 * @param path the path at the service, with or without its leading slash
	 * @param request the call
	 * @param response where to answer
	 * @return when the answer is sent
	 */
	public Publisher<Void> handle(String organisation, String pool, String path, HttpServerRequest request,
			HttpServerResponse response) {
		String id = UUID.randomUUID().toString();
		response.header("X-Request-Id", id);
		Optional<Resource.Pool> service = this.configuration.get()
			.find(Resource.Pool.class, pool)
			.filter((found) -> found.serves() == Resource.Serves.SERVICE);
		if (service.isEmpty()) {
			return ProblemAnswer.send(response, Problem.notRun(ProblemCode.NOT_FOUND, "no such service"), id);
		}
		this.open.incrementAndGet();
		return request.receive().aggregate().asByteArray().defaultIfEmpty(new byte[0]).flatMap((body) -> {
			ServiceCall call = new ServiceCall(id, organisation, pool, request.method(), ServiceCall.slashed(path),
					ServiceCall.passedOn(request.requestHeaders()), body);
			return call.idempotent(service.get()) ? stream(call, response)
					: once(call, Optional.ofNullable(request.requestHeaders().get("Idempotency-Key")), response);
		})
			.onErrorResume(RosemaryException.class, (ex) -> ProblemAnswer.send(response, ex.problem(), id))
			.doFinally((_) -> this.open.decrementAndGet());
	}

	@Override
	public void close() {
		this.client.close();
	}

	private Mono<Void> stream(ServiceCall call, HttpServerResponse response) {
		return choose(call)
			.flatMap((server) -> track(server,
					this.client.stream(server, call, Duration.ofMillis(this.settings.callMillis()), response, true)))
			.onErrorMap(ServiceFailure.class, (ex) -> problem(ex.verdict()));
	}

	private Mono<Void> once(ServiceCall call, Optional<String> key, HttpServerResponse response) {
		if (key.isEmpty()) {
			return Mono.error(RosemaryException
				.of(Problem.notRun(ProblemCode.BAD_REQUEST, "this call needs the header Idempotency-Key")));
		}
		String row = call.claimKey(key.get());
		ObjectNode claim = MAPPER.createObjectNode().put("token", call.id()).put("fingerprint", call.fingerprint());
		return write(row, 0, claim).flatMap((outcome) -> switch (outcome) {
			case TableClient.Outcome.Committed done -> run(call, row, claim, done.versions().get(0));
			case TableClient.Outcome.Conflict _ -> repeat(row);
		}).flatMap((answer) -> reply(answer, response));
	}

	private Mono<ServiceAnswer> run(ServiceCall call, String row, ObjectNode claim, long version) {
		return choose(call)
			.flatMap((server) -> track(server,
					this.client.sendOnce(server, call, Duration.ofMillis(this.settings.callMillis()), Mono::empty,
							this.settings.answerLimit())))
			.onErrorMap(ServiceFailure.class, (ex) -> problem(ex.verdict()))
			.flatMap((answer) -> {
				ObjectNode stored = claim.put("status", answer.status());
				stored.put("body", Base64.getEncoder().encodeToString(answer.body().orElse(new byte[0])));
				return write(row, version, stored).thenReturn(answer);
			});
	}

	private Mono<ServiceAnswer> repeat(String row) {
		return this.tables.read("claims", row)
			.flatMap((found) -> found.filter((claimed) -> claimed.value().has("status"))
				.map((claimed) -> Mono.just(new ServiceAnswer(claimed.value().path("status").asInt(),
						Map.of("content-type", "application/json"),
						Optional.of(Base64.getDecoder().decode(claimed.value().path("body").asText())))))
				.orElseGet(() -> Mono.error(problem(Verdict.mayHaveRun()))));
	}

	private Mono<TableClient.Outcome> write(String row, long version, ObjectNode value) {
		return this.tables
			.commit(new TableClient.Transaction(List.of(new TableClient.Condition("claims", row, version)),
					List.of(new TableClient.Write("claims", row, Optional.of(value.deepCopy())))))
			.onErrorMap((ex) -> RosemaryException.of(Problem.notRun(ProblemCode.STORAGE_UNAVAILABLE,
					"the claim cannot be written", Duration.ofSeconds(1)), ex));
	}

	private Mono<ServiceServer> choose(ServiceCall call) {
		return Mono.defer(() -> {
			Optional<ServiceServer> server = this.servers.get()
				.stream()
				.filter((candidate) -> candidate.pool().equals(call.pool()) && !candidate.leaving())
				.min(Comparator.comparingInt((candidate) -> count(candidate).get()));
			server.ifPresent((chosen) -> EventLog.info(ServiceEvents.SERVICE_CALL_ROUTED, "request", call.id(), "pool",
					call.pool(), "server", chosen.vm()));
			return server.map(Mono::just)
				.orElseGet(() -> Mono.error(RosemaryException
					.of(Problem.notRun(ProblemCode.NO_SERVER, "no backend server takes work", Duration.ofSeconds(1)))));
		});
	}

	private <T> Mono<T> track(ServiceServer server, Mono<T> attempt) {
		return Mono.defer(() -> {
			count(server).incrementAndGet();
			return attempt.doFinally((_) -> count(server).decrementAndGet());
		});
	}

	private AtomicInteger count(ServiceServer server) {
		return this.inFlight.computeIfAbsent(server.vm(), (_) -> new AtomicInteger());
	}

	private static RosemaryException problem(Verdict verdict) {
		ProblemCode code = verdict.equals(Verdict.notRun()) ? ProblemCode.NO_SERVER : ProblemCode.OUTCOME_UNKNOWN;
		return RosemaryException.of(Problem.of(code, verdict, "the backend server gave no answer"));
	}

	private static Mono<Void> reply(ServiceAnswer answer, HttpServerResponse response) {
		response.status(answer.status());
		answer.headers().forEach(response::header);
		byte[] body = answer.body().orElseGet(() -> "".getBytes(StandardCharsets.UTF_8));
		response.header("Content-Length", Integer.toString(body.length));
		return response.sendByteArray(Mono.just(body)).then();
	}

}
