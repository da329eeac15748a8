package org.rosemaryfront.services;

import java.io.ByteArrayOutputStream;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaders;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientRequest;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.ConnectionProvider;

import org.rosemaryfront.http.StrictClients;

/**
 * Sends calls to backend servers of plain services.
 */
final class ServiceClient implements AutoCloseable {

	private static final Duration IDLE_LIMIT = Duration.ofSeconds(5);

	private static final int UNAVAILABLE = 503;

	private final ConnectionProvider pool = ConnectionProvider.builder("services")
		.maxConnections(1_000)
		.maxIdleTime(IDLE_LIMIT)
		.build();

	private final HttpClient pooled;

	private final HttpClient fresh;

	private ServiceClient(Duration connectTimeout) {
		this.pooled = configured(StrictClients.pooled(this.pool), connectTimeout);
		this.fresh = configured(StrictClients.withoutReuse(), connectTimeout).keepAlive(false);
	}

	// -- factories

	/**
	 * Creates a client.
	 * @param connectTimeout the time to open a connection
	 * @return the client
	 */
	static ServiceClient of(Duration connectTimeout) {
		return new ServiceClient(connectTimeout);
	}

	// Reactor Netty sends a request again when a pooled connection breaks under it; that
	// would run a call twice without anyone knowing, so it is off and retries are decided
	// by the verdict alone.
	private static HttpClient configured(HttpClient client, Duration connectTimeout) {
		return client.disableRetry(true)
			.followRedirect(false)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis())
			.option(ChannelOption.TCP_NODELAY, true);
	}

	// -- calls

	/**
	 * Sends a call over a connection of its own and collects the answer. A pooled
	 * connection may have gone silent: its answer would never come and nobody could tell
	 * whether the call ran.
	 * @param server where to
	 * @param call the call
	 * @param remaining the time until its deadline
	 * @param permit asked on the connection's thread right before the first byte; an
	 * error keeps the call from being sent
	 * @param limit the largest answer, in bytes
	 * @return the answer; an error of {@link ServiceFailure}
	 */
	Mono<ServiceAnswer> sendOnce(ServiceServer server, ServiceCall call, Duration remaining,
			Supplier<Mono<Void>> permit, int limit) {
		AtomicBoolean sent = new AtomicBoolean();
		return this.fresh.request(call.method()).uri(uri(server, call)).send((request, outbound) -> {
			head(request, call, remaining);
			return permit.get().then(Mono.defer(() -> {
				sent.set(true);
				return outbound.send(Mono.just(Unpooled.wrappedBuffer(call.body()))).then();
			}));
		})
			.response((head, content) -> collect(head, content, limit))
			.next()
			.onErrorMap((ex) -> failure(ex, sent.get()));
	}

	/**
	 * Sends an idempotent call and passes its answer on as it comes.
	 * @param server where to
	 * @param call the call
	 * @param remaining the time until its deadline
	 * @param response where the answer goes
	 * @param reuse whether a pooled connection may be used
	 * @return when the answer is passed on; an error of {@link ServiceFailure} when no
	 * byte of it was
	 */
	Mono<Void> stream(ServiceServer server, ServiceCall call, Duration remaining, HttpServerResponse response,
			boolean reuse) {
		AtomicBoolean sent = new AtomicBoolean();
		AtomicBoolean started = new AtomicBoolean();
		HttpClient client = reuse ? this.pooled : this.fresh;
		return client.responseTimeout(remaining)
			.request(call.method())
			.uri(uri(server, call))
			.send((request, outbound) -> {
				head(request, call, remaining);
				sent.set(true);
				return outbound.send(Mono.just(Unpooled.wrappedBuffer(call.body())));
			})
			.responseConnection((head, connection) -> passOn(head, connection, response, started))
			.then()
			.onErrorMap((ex) -> !started.get(), (ex) -> failure(ex, sent.get()));
	}

	@Override
	public void close() {
		this.pool.dispose();
	}

	private static Publisher<Void> passOn(HttpClientResponse head, Connection connection, HttpServerResponse response,
			AtomicBoolean started) {
		if (refused(head)) {
			return Mono.error(ServiceFailure.notRun("refused by the backend server"));
		}
		started.set(true);
		response.status(head.status());
		HttpHeaders passed = ServiceCall.passedOn(head.responseHeaders());
		passed.forEach((header) -> response.addHeader(header.getKey(), header.getValue()));
		String length = head.responseHeaders().get("Content-Length");
		if (length != null) {
			response.header("Content-Length", length);
		}
		// Copies instead of passing the backend connection's pooled buffers on: a caller
		// that breaks off may have them released twice, a pooled buffer released twice
		// goes to two connections, and one caller reads bytes of another's answer. A
		// copy belongs to this response alone.
		return response.sendByteArray(connection.inbound().receive().asByteArray()).then();
	}

	private static void head(HttpClientRequest request, ServiceCall call, Duration remaining) {
		call.headers().forEach((header) -> request.addHeader(header.getKey(), header.getValue()));
		request.header("Content-Length", Integer.toString(call.body().length));
		request.header("X-Request-Id", call.id());
		request.header("X-Organisation", call.organisation());
		request.header("X-Deadline-Millis", Long.toString(remaining.toMillis()));
	}

	private static Mono<ServiceAnswer> collect(HttpClientResponse head, Flux<ByteBuf> content, int limit) {
		if (refused(head)) {
			return Mono.error(ServiceFailure.notRun("refused by the backend server"));
		}
		return content.collect(ByteArrayOutputStream::new, (body, part) -> append(body, part, limit))
			.map((body) -> ServiceAnswer.of(head, body.toByteArray(), limit));
	}

	// Keeps one byte more than the limit, by which the answer shows as too large.
	private static void append(ByteArrayOutputStream body, ByteBuf part, int limit) {
		int length = Math.min(part.readableBytes(), limit + 1 - body.size());
		if (length > 0) {
			byte[] bytes = new byte[length];
			part.readBytes(bytes);
			body.writeBytes(bytes);
		}
	}

	private static boolean refused(HttpClientResponse head) {
		return head.status().code() == UNAVAILABLE && "true".equals(head.responseHeaders().get("X-Not-Run"));
	}

	private static ServiceFailure failure(Throwable cause, boolean sent) {
		if (cause instanceof ServiceFailure failure) {
			return failure;
		}
		return sent ? ServiceFailure.mayHaveRun(cause) : ServiceFailure.notRun(cause);
	}

	private static String uri(ServiceServer server, ServiceCall call) {
		return URI.create("http://" + server.address()) + call.path();
	}

}
