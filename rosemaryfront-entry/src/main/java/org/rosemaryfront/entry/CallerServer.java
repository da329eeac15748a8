package org.rosemaryfront.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

import org.rosemaryfront.entry.CompletionCall.Form;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.Problem;
import org.rosemaryfront.model.ProblemCode;
import org.rosemaryfront.model.Resource.Organisation;
import org.rosemaryfront.model.RosemaryException;
import org.rosemaryfront.model.Verdict;

/**
 * The callers' listener; docs/INTERFACES.md gives the protocol.
 */
final class CallerServer implements AutoCloseable {

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private static final Duration IDLE = Duration.ofSeconds(60);

	private static final String SERVICES = "/services/";

	private static final String RESULTS = "/v1/results/";

	private static final String MODELS = "/v1/models";

	private static final JsonMapper METRICS = JsonMapper.builder()
		.addModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false))
		.build();

	private final AtomicInteger openRequests = new AtomicInteger();

	private final AtomicInteger connections = new AtomicInteger();

	private final EntrySettings settings;

	private final RequestIntake intake;

	private final ResultReader results;

	private final EntryMetrics metrics;

	private final Context context;

	private final DisposableServer server;

	private volatile KeysOfRevision keys = new KeysOfRevision(Configuration.empty(),
			CallerKeys.of(Configuration.empty()));

	private CallerServer(EntrySettings settings, RequestIntake intake, ResultReader results, EntryMetrics metrics,
			Context context) {
		this.settings = settings;
		this.intake = intake;
		this.results = results;
		this.metrics = metrics;
		this.context = context;
		metrics.gauge("callers.openRequests", this.openRequests::get);
		metrics.gauge("callers.connections", this.connections::get);
		this.server = context.secured(listener()).bindNow();
	}

	/**
	 * Starts listening.
	 * @param settings the settings
	 * @param intake accepts requests
	 * @param results reads answers held here or by peers
	 * @param metrics what is counted
	 * @param context the rest of the process
	 * @return the running server
	 */
	static CallerServer start(EntrySettings settings, RequestIntake intake, ResultReader results, EntryMetrics metrics,
			Context context) {
		return new CallerServer(settings, intake, results, metrics, context);
	}

	/**
	 * The address of the listener.
	 * @return {@code host:port}
	 */
	String address() {
		InetSocketAddress address = (InetSocketAddress) this.server.address();
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

	/**
	 * The number of requests that have not got their whole response.
	 * @return the number
	 */
	int openRequests() {
		return this.openRequests.get();
	}

	@Override
	public void close() {
		this.server.disposeNow(Duration.ofSeconds(1));
	}

	private HttpServer listener() {
		return HttpServer.create()
			.host(this.settings.callers().host())
			.port(this.settings.callers().port())
			.idleTimeout(IDLE)
			.httpRequestDecoder((decoder) -> decoder.maxHeaderSize(this.settings.limits().headerBytes())
				.maxInitialLineLength(this.settings.limits().headerBytes()))
			.doOnConnection((connection) -> {
				connection.onDispose(this.connections::decrementAndGet);
				if (this.connections.incrementAndGet() > this.settings.limits().connections()) {
					connection.dispose();
				}
			})
			.handle(this::handle);
	}

	// -- routing

	private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
		return Mono.defer(() -> Mono.from(route(request, response)))
			.onErrorResume(RosemaryException.class, (ex) -> failed(response, ex.problem()))
			.onErrorResume((failure) -> !response.hasSentHeaders() && !AbortedRequests.isAborted(failure),
					(failure) -> {
						EventLog.error(failure, ServingEvents.CALLER_REQUEST_FAILED, "path", request.fullPath());
						return failed(response, Problem.of(ProblemCode.INTERNAL, Verdict.mayHaveRun(),
								"the request failed by a defect"));
					});
	}

	private static Mono<Void> failed(HttpServerResponse response, Problem problem) {
		if (problem.code() == ProblemCode.TOO_LARGE || problem.code() == ProblemCode.BAD_REQUEST) {
			response.keepAlive(false);
		}
		return AnswerWriter.problem(response, problem, "");
	}

	private Publisher<Void> route(HttpServerRequest request, HttpServerResponse response) {
		if (this.context.phase() != ProcessPhase.SERVING) {
			response.keepAlive(false);
		}
		String path = request.fullPath();
		return switch (path) {
			case "/healthz" -> AnswerWriter.document(response, 200, "{\"status\":\"ok\"}");
			case "/readyz" -> readiness(response);
			case "/metrics" -> AnswerWriter.document(response, 200, metricsDocument());
			case "/v1/chat/completions", "/v1/completions" -> completion(Form.ofPath(path), request, response);
			case MODELS -> models(request, response);
			default -> routeBelow(path, request, response);
		};
	}

	private Publisher<Void> routeBelow(String path, HttpServerRequest request, HttpServerResponse response) {
		if (path.startsWith(RESULTS)) {
			return result(path.substring(RESULTS.length()), request, response);
		}
		if (path.startsWith(SERVICES)) {
			return service(path.substring(SERVICES.length()), request, response);
		}
		if (path.startsWith(MODELS + "/")) {
			return model(path.substring(MODELS.length() + 1), request, response);
		}
		authenticate(request);
		throw problem(ProblemCode.NOT_FOUND, "the path does not exist");
	}

	// -- state of the process

	private Mono<Void> readiness(HttpServerResponse response) {
		boolean ready = this.context.phase() == ProcessPhase.SERVING && this.context.fresh();
		return AnswerWriter.document(response, ready ? 200 : 503, "{\"ready\":" + ready + "}");
	}

	private String metricsDocument() {
		try {
			return METRICS.writeValueAsString(this.metrics.registry());
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

	// -- models

	private Mono<Void> models(HttpServerRequest request, HttpServerResponse response) {
		require(request, HttpMethod.GET);
		Organisation organisation = authenticate(request);
		return AnswerWriter.document(response, 200, CompletionDocuments.models(this.intake.models(organisation)));
	}

	private Mono<Void> model(String name, HttpServerRequest request, HttpServerResponse response) {
		require(request, HttpMethod.GET);
		Organisation organisation = authenticate(request);
		if (!this.intake.models(organisation).contains(name)) {
			throw problem(ProblemCode.NOT_FOUND, "the model does not exist for this organisation");
		}
		return AnswerWriter.document(response, 200, CompletionDocuments.model(name));
	}

	// -- completions and results

	private Mono<Void> completion(Form form, HttpServerRequest request, HttpServerResponse response) {
		require(request, HttpMethod.POST);
		Organisation organisation = authenticate(request);
		requireReady();
		return counted(() -> RequestBody.read(request, this.settings.limits()).flatMap((body) -> {
			// The body may have taken long, and the hand-off of a stop takes only what
			// was accepted before it.
			requireReady();
			return answer(this.intake.accept(organisation, CompletionParser.parse(form, body)), response);
		}));
	}

	private Mono<Void> answer(AnswerStream stream, HttpServerResponse response) {
		AnswerSource source = AnswerSource.of(stream, 0);
		if (stream.request().call().streamed()) {
			stream.callerToldId();
			return AnswerWriter.stream(response, source);
		}
		Duration wait = Duration.ofNanos(stream.request().spec().answerDeadlineNanos() - System.nanoTime()).plus(IDLE);
		return AnswerWriter.whole(response, source, wait);
	}

	private Mono<Void> result(String id, HttpServerRequest request, HttpServerResponse response) {
		require(request, HttpMethod.GET);
		Organisation organisation = authenticate(request);
		ResultQuery query = ResultQuery.of(id, request);
		return counted(() -> this.results.find(id, organisation.name(), query.offset())
			.switchIfEmpty(Mono.error(() -> problem(ProblemCode.NOT_FOUND, "no such request")))
			.flatMap((source) -> query.streamed() ? AnswerWriter.stream(response, source)
					: AnswerWriter.whole(response, source, query.patience())));
	}

	// -- services

	private Publisher<Void> service(String rest, HttpServerRequest request, HttpServerResponse response) {
		Organisation organisation = authenticate(request);
		int slash = rest.indexOf('/');
		String pool = (slash < 0) ? rest : rest.substring(0, slash);
		if (!organisation.pools().contains(pool)) {
			throw problem(ProblemCode.NOT_FOUND, "the service does not exist for this organisation");
		}
		requireReady();
		int start = request.uri().indexOf(SERVICES) + SERVICES.length() + pool.length();
		String path = request.uri().substring(Math.min(start, request.uri().length()));
		return counted(() -> Mono.from(this.context.call(organisation.name(), pool, path, request, response)));
	}

	// -- checks

	private Organisation authenticate(HttpServerRequest request) {
		Configuration current = this.context.configuration();
		KeysOfRevision known = this.keys;
		if (known.configuration() != current) {
			known = new KeysOfRevision(current, CallerKeys.of(current));
			this.keys = known;
		}
		return known.keys()
			.organisation(request.requestHeaders().get(HttpHeaderNames.AUTHORIZATION))
			.orElseThrow(this::unknownKey);
	}

	// Guards against an entry that has no current configuration yet and therefore knows
	// no key: callers would read that their key is wrong, which is final to them, and
	// give up answers that they were coming back for.
	private RosemaryException unknownKey() {
		return this.context.fresh() ? problem(ProblemCode.UNAUTHENTICATED, "the bearer key is absent or unknown")
				: unfresh();
	}

	private static RosemaryException unfresh() {
		return RosemaryException
			.of(Problem.notRun(ProblemCode.NOT_READY, "this entry knows no current configuration", RETRY_AFTER));
	}

	private void requireReady() {
		if (this.context.phase() == ProcessPhase.DRAINING) {
			throw RosemaryException
				.of(Problem.notRun(ProblemCode.NOT_READY, "this entry is stopping; ask another one", RETRY_AFTER));
		}
		if (!this.context.fresh()) {
			throw unfresh();
		}
	}

	private Mono<Void> counted(Supplier<Mono<Void>> work) {
		return Mono.using(this.openRequests::incrementAndGet, (open) -> {
			if (open > this.settings.limits().openRequests()) {
				throw RosemaryException
					.of(Problem.notRun(ProblemCode.OVERLOADED, "too many requests are open here", RETRY_AFTER));
			}
			return work.get();
		}, (_) -> this.openRequests.decrementAndGet());
	}

	private static void require(HttpServerRequest request, HttpMethod method) {
		if (!request.method().equals(method)) {
			throw problem(ProblemCode.METHOD_NOT_ALLOWED, "the path takes " + method + " only");
		}
	}

	private static RosemaryException problem(ProblemCode code, String detail) {
		return RosemaryException.of(Problem.notRun(code, detail));
	}

	private record KeysOfRevision(Configuration configuration, CallerKeys keys) {
	}

	/** What the server needs from the rest of the process. */
	interface Context {

		/**
		 * Passes a call on to a plain service.
		 * @param organisation the name of the organisation
		 * @param pool the name of the pool
		 * @param path the path at the service, with its query
		 * @param request the call
		 * @param response where to answer
		 * @return when the answer is written
		 */
		Publisher<Void> call(String organisation, String pool, String path, HttpServerRequest request,
				HttpServerResponse response);

		/**
		 * The configuration in force.
		 * @return the configuration
		 */
		Configuration configuration();

		/**
		 * Whether the configuration in force is not past the staleness limit.
		 * @return whether new work may be accepted
		 */
		boolean fresh();

		/**
		 * How far the process is in its life.
		 * @return the phase
		 */
		ProcessPhase phase();

		/**
		 * Adds TLS when the settings ask for it.
		 * @param listener the listener
		 * @return the listener, secured
		 */
		HttpServer secured(HttpServer listener);

	}

	/**
	 * How a caller asks for a result.
	 *
	 * @param offset the first token wanted
	 * @param streamed whether as server-sent events
	 * @param patience how long to wait for the end of a whole answer
	 */
	private record ResultQuery(int offset, boolean streamed, Duration patience) {

		private static final int GREATEST_WAIT_MILLIS = 60_000;

		private static final int STANDARD_WAIT_MILLIS = 30_000;

		static ResultQuery of(String id, HttpServerRequest request) {
			String last = request.requestHeaders().get("Last-Event-ID");
			String accept = request.requestHeaders().get(HttpHeaderNames.ACCEPT, "");
			return new ResultQuery((last != null) ? offset(id, last) : 0,
					last != null || accept.contains("text/event-stream"), wait(request.uri()));
		}

		private static int offset(String id, String last) {
			try {
				if (last.startsWith(id + ":")) {
					return Math.max(0, Integer.parseInt(last.substring(id.length() + 1)));
				}
			}
			catch (NumberFormatException ex) {
				// told below
			}
			throw problem(ProblemCode.BAD_REQUEST, "Last-Event-ID is no event of this request");
		}

		private static Duration wait(String uri) {
			Optional<String> value = new QueryStringDecoder(uri).parameters()
				.getOrDefault("wait", List.of())
				.stream()
				.findFirst();
			try {
				int millis = value.map(Integer::parseInt).orElse(STANDARD_WAIT_MILLIS);
				return Duration.ofMillis(Math.clamp(millis, 1, GREATEST_WAIT_MILLIS));
			}
			catch (NumberFormatException ex) {
				throw problem(ProblemCode.BAD_REQUEST, "wait is no whole number of milliseconds");
			}
		}

	}

}
