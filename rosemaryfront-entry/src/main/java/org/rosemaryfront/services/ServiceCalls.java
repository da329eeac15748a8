package org.rosemaryfront.services;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

import org.rosemaryfront.claims.ClaimOutcome;
import org.rosemaryfront.claims.ClaimReply;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.Problem;
import org.rosemaryfront.model.ProblemCode;
import org.rosemaryfront.model.Resource;
import org.rosemaryfront.model.RosemaryException;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.platform.TableClient;
import org.rosemaryfront.problems.ProblemDocument;

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

	private static final int MOST_KEY_CHARACTERS = 200;

	private static final char DELETE = 127;

	private final ServiceCallSettings settings;

	private final Supplier<Configuration> configuration;

	private final ServiceClient client;

	private final Scheduler control = Schedulers.newSingle("claims");

	private final ServerChoice choice;

	private final ClaimedCalls claimed;

	private final AtomicInteger open = new AtomicInteger();

	private ServiceCalls(ServiceCallSettings settings, TableClient tables, Supplier<Configuration> configuration,
			Supplier<List<ServiceServer>> servers, Predicate<VmId> entryGone) {
		this.settings = Objects.requireNonNull(settings, "settings is null");
		this.configuration = Objects.requireNonNull(configuration, "configuration is null");
		this.client = ServiceClient.of(Duration.ofMillis(settings.connectMillis()));
		this.choice = ServerChoice.of(settings.zone(), configuration,
				Objects.requireNonNull(servers, "servers is null"));
		this.claimed = ClaimedCalls.of(settings, Objects.requireNonNull(tables, "tables is null"), this.client,
				this.choice, this.control, Objects.requireNonNull(entryGone, "entryGone is null"));
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
		return of(settings, tables, configuration, servers, (_) -> false);
	}

	/**
	 * Creates the calls of one entry that knows which other entries are gone. A repeat of
	 * a call whose entry is gone then has its final answer at once; without that
	 * knowledge it waits as for a running call. Nothing runs again either way.
	 * @param settings limits and times
	 * @param tables the platform's table service
	 * @param configuration the configuration in force here
	 * @param servers the backend servers of plain services as known now
	 * @param entryGone whether the entry on a VM is gone
	 * @return the calls
	 */
	public static ServiceCalls of(ServiceCallSettings settings, TableClient tables,
			Supplier<Configuration> configuration, Supplier<List<ServiceServer>> servers, Predicate<VmId> entryGone) {
		return new ServiceCalls(settings, tables, configuration, servers, entryGone);
	}

	// -- calls

	/**
	 * Completes when no call is open and each claim is settled, so that a planned stop
	 * leaves no key that a repeat has to take for may-have-run.
	 * @return when the last open call has its answer and is settled
	 */
	public Mono<Void> drain() {
		return Mono.fromSupplier(() -> this.open.get() + this.claimed.unsettled())
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
			return ProblemDocument.send(response, Problem.notRun(ProblemCode.NOT_FOUND, "no such service"), id);
		}
		this.open.incrementAndGet();
		return body(request).flatMap((body) -> {
			ServiceCall call = new ServiceCall(id, organisation, pool, request.method(), ServiceCall.slashed(path),
					ServiceCall.passedOn(request.requestHeaders()), body);
			return call.idempotent(service.get()) ? stream(call, response)
					: once(call, Optional.ofNullable(request.requestHeaders().get("Idempotency-Key")), response);
		})
			.onErrorResume(RosemaryException.class, (ex) -> ProblemDocument.send(response, ex.problem(), id))
			.doFinally((_) -> this.open.decrementAndGet());
	}

	@Override
	public void close() {
		this.client.close();
		this.control.dispose();
	}

	private Mono<Void> stream(ServiceCall call, HttpServerResponse response) {
		long deadline = System.nanoTime() + Duration.ofMillis(this.settings.callMillis()).toNanos();
		return Mono.defer(() -> attempt(call, response, deadline, 1, new HashSet<>()));
	}

	// An idempotent call may run again, so each failure before the first byte of the
	// answer may be tried elsewhere; only the first attempt uses a pooled connection,
	// since the next one would time out as well when the pool went silent.
	private Mono<Void> attempt(ServiceCall call, HttpServerResponse response, long deadline, int number,
			Set<VmId> tried) {
		Duration remaining = Duration.ofNanos(deadline - System.nanoTime());
		if (remaining.isNegative()) {
			return Mono.error(RosemaryException.of(Problem.of(ProblemCode.DEADLINE_EXCEEDED, Verdict.mayHaveRun(),
					"the backend servers did not answer in time")));
		}
		Optional<ServiceServer> server = this.choice.choose(call, tried, number);
		if (server.isEmpty()) {
			return Mono.error(RosemaryException
				.of(Problem.notRun(ProblemCode.NO_SERVER, "no backend server takes the call", Duration.ofSeconds(1))));
		}
		tried.add(server.get().vm());
		Duration limit = (number <= this.settings.retriesPerCall()) ? remaining.dividedBy(2) : remaining;
		return this.choice.track(server.get(), this.client.stream(server.get(), call, limit, response, number == 1))
			.onErrorResume(ServiceFailure.class, (failure) -> {
				EventLog.warn(ServiceEvents.SERVICE_ATTEMPT_FAILED, "request", call.id(), "attempt", number, "cause",
						failure.getMessage());
				boolean again = number <= this.settings.retriesPerCall() && this.choice.spendRetry();
				return again ? attempt(call, response, deadline, number + 1, tried)
						: Mono.error(problem(failure.verdict()));
			});
	}

	private Mono<Void> once(ServiceCall call, Optional<String> key, HttpServerResponse response) {
		if (key.filter(ServiceCalls::validKey).isEmpty()) {
			return Mono.error(RosemaryException.of(Problem.notRun(ProblemCode.BAD_REQUEST,
					"this call needs the header Idempotency-Key of 1 to 200 visible characters")));
		}
		return this.claimed.run(call, key.get()).flatMap((answer) -> switch (answer.reply()) {
			case ClaimReply.Failed failed -> Mono.error(RosemaryException.of(failed.problem()));
			case ClaimReply.Ran ran -> answer.direct()
				.filter((direct) -> direct.body().isPresent())
				.map((direct) -> reply(direct, response))
				.orElseGet(() -> reply(ran.outcome(), response));
			case ClaimReply.Repeated repeated -> reply(repeated.outcome(), response);
		});
	}

	private static boolean validKey(String key) {
		return !key.isEmpty() && key.length() <= MOST_KEY_CHARACTERS
				&& key.chars().allMatch((character) -> character > ' ' && character < DELETE);
	}

	private static RosemaryException problem(Verdict verdict) {
		ProblemCode code = verdict.equals(Verdict.notRun()) ? ProblemCode.NO_SERVER : ProblemCode.OUTCOME_UNKNOWN;
		return RosemaryException.of(Problem.of(code, verdict, "the backend server gave no answer"));
	}

	private Mono<byte[]> body(HttpServerRequest request) {
		int limit = this.settings.requestLimit();
		return request.receive().collect(ByteArrayOutputStream::new, (body, part) -> {
			if (body.size() + part.readableBytes() > limit) {
				throw RosemaryException
					.of(Problem.notRun(ProblemCode.TOO_LARGE, "the body exceeds " + limit + " bytes"));
			}
			byte[] bytes = new byte[part.readableBytes()];
			part.readBytes(bytes);
			body.writeBytes(bytes);
		}).map(ByteArrayOutputStream::toByteArray);
	}

	private static Mono<Void> reply(ClaimOutcome outcome, HttpServerResponse response) {
		if (!outcome.bodyKept()) {
			return Mono.error(RosemaryException.of(Problem.of(ProblemCode.OUTCOME_TOO_LARGE, Verdict.ran(),
					"the call ran with status " + outcome.status() + " and its answer is too large to be kept")));
		}
		return reply(new ServiceAnswer(outcome.status(), outcome.headers(),
				Optional.of(Base64.getDecoder().decode(outcome.body()))), response);
	}

	private static Mono<Void> reply(ServiceAnswer answer, HttpServerResponse response) {
		response.status(answer.status());
		answer.headers().forEach(response::header);
		byte[] body = answer.body().orElseGet(() -> new byte[0]);
		response.header("Content-Length", Integer.toString(body.length));
		return response.sendByteArray(Mono.just(body)).then();
	}

}
