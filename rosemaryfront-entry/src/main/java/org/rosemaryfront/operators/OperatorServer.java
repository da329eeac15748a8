package org.rosemaryfront.operators;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

import org.rosemaryfront.configuration.ApplyOutcome;
import org.rosemaryfront.configuration.Change;
import org.rosemaryfront.configuration.ConfigurationStore;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.Kind;
import org.rosemaryfront.model.Problem;
import org.rosemaryfront.model.ProblemCode;
import org.rosemaryfront.model.Resource;
import org.rosemaryfront.model.ResourceKey;
import org.rosemaryfront.model.RosemaryException;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.problems.ProblemDocument;
import org.rosemaryfront.tls.TlsContexts;

/**
 * The operators' listener of an entry; docs/INTERFACES.md gives the protocol.
 *
 * <pre>
 * try (OperatorServer server = OperatorServer.start(settings, store, view)) {
 *     System.out.println(server.address());
 * }
 * </pre>
 */
public final class OperatorServer implements AutoCloseable {

	/** The greatest body of an apply request, in bytes. */
	public static final int GREATEST_BODY = 4 * 1024 * 1024;

	/** How long a body may take to arrive. */
	private static final Duration BODY_TIMEOUT = Duration.ofSeconds(10);

	/** How long a stop waits for open requests. */
	private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);

	private static final String PREFIX = "/apis/v1/";

	private final ConfigurationStore store;

	private final OperatorView view;

	private final OperatorKeys keys;

	private final Sinks.Empty<Void> closing = Sinks.empty();

	private Optional<TlsContexts> tls = Optional.empty();

	private DisposableServer server;

	private OperatorServer(OperatorSettings settings, ConfigurationStore store, OperatorView view) {
		this.store = store;
		this.view = view;
		this.keys = OperatorKeys.of(settings.keyHashes());
	}

	// -- factories

	/**
	 * Starts the listener.
	 * @param settings its settings
	 * @param store the declared configuration
	 * @param view what it shows of the entry
	 * @return the running listener
	 */
	public static OperatorServer start(OperatorSettings settings, ConfigurationStore store, OperatorView view) {
		Objects.requireNonNull(settings, "settings is null");
		Objects.requireNonNull(store, "store is null");
		Objects.requireNonNull(view, "view is null");
		OperatorServer server = new OperatorServer(settings, store, view);
		HttpServer listener = HttpServer.create()
			.host(settings.host())
			.port(settings.port())
			.channelGroup(new DefaultChannelGroup(GlobalEventExecutor.INSTANCE))
			.handle(server::handle);
		if (settings.tls().enabled()) {
			server.tls = Optional.of(TlsContexts.start(settings.tls()));
		}
		server.server = server.tls.map((tls) -> tls.secure(listener)).orElse(listener).bindNow();
		return server;
	}

	// -- state

	/**
	 * The address it listens on.
	 * @return {@code host:port}
	 */
	public String address() {
		InetSocketAddress address = (InetSocketAddress) this.server.address();
		return address.getAddress().getHostAddress() + ":" + address.getPort();
	}

	/**
	 * Ends the watches, waits for open requests and stops listening.
	 */
	@Override
	public void close() {
		this.closing.tryEmitEmpty();
		this.server.disposeNow(STOP_TIMEOUT);
		this.tls.ifPresent(TlsContexts::close);
	}

	// -- requests

	private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
		Optional<String> operator = this.keys.operator(request.requestHeaders().get(HttpHeaderNames.AUTHORIZATION));
		if (operator.isEmpty()) {
			EventLog.warn(OperatorEvents.OPERATOR_REFUSED, "remote", request.remoteAddress());
			return send(response,
					Problem.notRun(ProblemCode.UNAUTHENTICATED, "the request needs the bearer key of an operator"));
		}
		return Mono.defer(() -> route(operator.get(), request, response))
			.onErrorResume((failure) -> sendFailure(request, response, failure));
	}

	private Mono<Void> route(String operator, HttpServerRequest request, HttpServerResponse response) {
		QueryStringDecoder uri = new QueryStringDecoder(request.uri());
		String path = uri.path();
		String[] parts = path.startsWith(PREFIX) ? path.substring(PREFIX.length()).split("/", -1) : new String[0];
		String resource = (parts.length > 0) ? parts[0] : "";
		return switch (resource + ":" + parts.length) {
			case "resources:1" -> only(request, HttpMethod.GET, () -> resources(uri, response));
			case "resources:3" -> only(request, HttpMethod.GET, () -> resource(parts[1], parts[2], response));
			case "apply:1" -> only(request, HttpMethod.POST, () -> apply(operator, uri, request, response));
			case "watch:1" -> only(request, HttpMethod.GET, () -> watch(operator, uri, response));
			case "status:1" -> only(request, HttpMethod.GET, () -> status(response));
			case "explain:2" -> only(request, HttpMethod.GET, () -> explain(parts[1], response));
			case "drain:2" -> only(request, HttpMethod.POST, () -> drain(operator, parts[1], response));
			default -> throw problem(ProblemCode.NOT_FOUND, "there is no path " + path);
		};
	}

	private static Mono<Void> only(HttpServerRequest request, HttpMethod method, Supplier<Mono<Void>> handler) {
		if (!request.method().equals(method)) {
			throw problem(ProblemCode.METHOD_NOT_ALLOWED, "allowed is " + method);
		}
		return handler.get();
	}

	private Mono<Void> apply(String operator, QueryStringDecoder uri, HttpServerRequest request,
			HttpServerResponse response) {
		boolean dryRun = flag(uri, "dryRun");
		return body(request).map(ChangeReader::read)
			.flatMap((change) -> (dryRun ? this.store.preview(change) : this.store.apply(change)).flatMap((outcome) -> {
				logApplied(operator, dryRun, change, outcome);
				return sendOutcome(response, outcome);
			}));
	}

	private static void logApplied(String operator, boolean dryRun, Change change, ApplyOutcome outcome) {
		EventLog.info(OperatorEvents.OPERATOR_APPLIED, "operator", operator, "transaction", change.transaction(),
				"dryRun", dryRun, "outcome", outcome.getClass().getSimpleName().toLowerCase(Locale.ROOT));
	}

	private Mono<Void> drain(String operator, String vm, HttpServerResponse response) {
		if (this.view.servers().stream().noneMatch((server) -> server.vm().value().equals(vm))) {
			throw problem(ProblemCode.NOT_FOUND, "this entry knows no backend server on VM " + vm);
		}
		EventLog.info(OperatorEvents.OPERATOR_DRAINED, "operator", operator, "vm", vm);
		this.view.drain(new VmId(vm));
		return send(response, 200, OperatorDocuments.drained(vm));
	}

	private Mono<Void> explain(String request, HttpServerResponse response) {
		List<String> decisions = this.view.explain(request);
		if (decisions.isEmpty()) {
			throw problem(ProblemCode.NOT_FOUND, "this entry made no decision on request " + request);
		}
		return send(response, 200, OperatorDocuments.explanation(request, decisions));
	}

	private Mono<Void> resource(String label, String name, HttpServerResponse response) {
		ResourceKey key = new ResourceKey(kind(label), name);
		return declared().flatMap((read) -> {
			Resource.Versioned versioned = read.configuration().resources().get(key);
			if (versioned == null) {
				throw problem(ProblemCode.NOT_FOUND, key + " is not declared");
			}
			response.header(HttpHeaderNames.ETAG, "\"" + versioned.version() + "\"");
			return send(response, 200, OperatorDocuments.resource(versioned));
		});
	}

	private Mono<Void> resources(QueryStringDecoder uri, HttpServerResponse response) {
		Optional<Kind> kind = parameter(uri, "kind").map(OperatorServer::kind);
		return declared().flatMap(
				(read) -> send(response, 200, OperatorDocuments.resources(read.configuration(), read.source(), kind)));
	}

	private Mono<Void> status(HttpServerResponse response) {
		Mono<Optional<Long>> declared = this.store.headRevision()
			.map(Optional::of)
			.onErrorResume(RosemaryException.class, (_) -> Mono.just(Optional.empty()));
		return Mono.zip(declared, this.view.lease())
			.flatMap((both) -> send(response, 200, OperatorDocuments.status(both.getT1(), this.view, both.getT2())));
	}

	private Mono<Void> watch(String operator, QueryStringDecoder uri, HttpServerResponse response) {
		OptionalLong since = parameter(uri, "since").map(OperatorServer::revision)
			.map(OptionalLong::of)
			.orElse(OptionalLong.empty());
		return ResourceWatch.start(this.store, this.view, since).flatMap((events) -> {
			EventLog.info(OperatorEvents.WATCH_STARTED, "operator", operator, "since", since);
			Flux<ByteBuf> lines = events.takeUntilOther(this.closing.asMono())
				.map((event) -> Unpooled.copiedBuffer(OperatorDocuments.text(event) + "\n", StandardCharsets.UTF_8))
				.doFinally((end) -> EventLog.info(OperatorEvents.WATCH_ENDED, "operator", operator, "end", end));
			return response.header(HttpHeaderNames.CONTENT_TYPE, "application/x-ndjson")
				.send(lines, (_) -> true)
				.then();
		});
	}

	// -- reading

	// In an outage of the store the configuration in force is what operators need most.
	private Mono<Read> declared() {
		return this.store.read()
			.map((configuration) -> new Read(configuration, "declared"))
			.onErrorResume(RosemaryException.class, (_) -> Mono.just(new Read(this.view.inForce(), "in-force")));
	}

	private static Mono<byte[]> body(HttpServerRequest request) {
		return request.receive()
			.asByteArray()
			.reduceWith(ByteArrayOutputStream::new, OperatorServer::append)
			.map(ByteArrayOutputStream::toByteArray)
			.timeout(BODY_TIMEOUT, Mono.error(() -> problem(ProblemCode.BAD_REQUEST,
					"the body did not arrive within " + BODY_TIMEOUT.toSeconds() + " seconds")));
	}

	private static ByteArrayOutputStream append(ByteArrayOutputStream body, byte[] part) {
		if (body.size() + part.length > GREATEST_BODY) {
			throw problem(ProblemCode.TOO_LARGE, "allowed are " + GREATEST_BODY + " bytes");
		}
		body.writeBytes(part);
		return body;
	}

	private static boolean flag(QueryStringDecoder uri, String name) {
		return parameter(uri, name).map((value) -> switch (value) {
			case "true", "" -> true;
			case "false" -> false;
			default -> throw problem(ProblemCode.BAD_REQUEST, name + ": allowed are true and false");
		}).orElse(false);
	}

	private static Kind kind(String label) {
		return Kind.ofLabel(label)
			.orElseThrow(() -> problem(ProblemCode.NOT_FOUND, "kind '" + label + "' is unknown; allowed are "
					+ String.join(", ", Arrays.stream(Kind.values()).map(Kind::label).toList())));
	}

	private static Optional<String> parameter(QueryStringDecoder uri, String name) {
		return Optional.ofNullable(uri.parameters().get(name)).map(List::getFirst);
	}

	private static long revision(String text) {
		try {
			return Long.parseUnsignedLong(text);
		}
		catch (NumberFormatException ex) {
			throw problem(ProblemCode.BAD_REQUEST, "since: allowed is a whole number from 0");
		}
	}

	private static RosemaryException problem(ProblemCode code, String detail) {
		return RosemaryException.of(Problem.notRun(code, detail));
	}

	// -- answers

	private static Mono<Void> send(HttpServerResponse response, int status, ObjectNode document) {
		return response.status(status)
			.header(HttpHeaderNames.CONTENT_TYPE, "application/json")
			.sendString(Mono.just(OperatorDocuments.text(document)))
			.then();
	}

	private static Mono<Void> send(HttpServerResponse response, Problem problem) {
		return ProblemDocument.send(response, problem, "");
	}

	private static Mono<Void> sendFailure(HttpServerRequest request, HttpServerResponse response, Throwable failure) {
		if (failure instanceof RosemaryException known) {
			return send(response, known.problem());
		}
		EventLog.error(failure, OperatorEvents.OPERATOR_REQUEST_FAILED, "path", request.path(), "cause", failure);
		return send(response, Problem.of(ProblemCode.INTERNAL, Verdict.mayHaveRun(),
				"a defect of this program; its log has the details"));
	}

	private static Mono<Void> sendOutcome(HttpServerResponse response, ApplyOutcome outcome) {
		return switch (outcome) {
			case ApplyOutcome.Applied applied -> send(response, 200, OperatorDocuments.applied(applied));
			case ApplyOutcome.Conflict conflict -> {
				Problem problem = Problem.notRun(ProblemCode.CONFLICT, "another change came first: "
						+ String.join(", ", conflict.changed().stream().map((one) -> one.key().toString()).toList()));
				yield ProblemDocument.send(response, problem, OperatorDocuments.conflict(conflict, problem));
			}
			case ApplyOutcome.Invalid invalid -> {
				Problem problem = Problem.notRun(ProblemCode.INVALID_DECLARATION, String.join("; ", invalid.errors()));
				yield ProblemDocument.send(response, problem, OperatorDocuments.invalid(invalid.errors(), problem));
			}
		};
	}

	/**
	 * A configuration and where it came from.
	 *
	 * @param configuration the configuration
	 * @param source {@code declared} or {@code in-force}
	 */
	private record Read(Configuration configuration, String source) {
	}

}
