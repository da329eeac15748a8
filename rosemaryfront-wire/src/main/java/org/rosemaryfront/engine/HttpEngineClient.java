package org.rosemaryfront.engine;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Function;

import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.timeout.TimeoutException;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.http.StrictClients;
import org.rosemaryfront.model.AttemptId;
import org.rosemaryfront.serving.ServingEvent.ConnectionFailure;
import org.rosemaryfront.serving.ServingEvent.Refusal;

/**
 * Talks to engines over HTTP/1.1.
 *
 * <p>
 * Every stream has a connection of its own, which is closed with it: a connection can go
 * silent for good while its stream runs, and one that was cancelled or timed out would
 * give its next user nothing or another caller's answer. Short calls share pooled
 * connections; one that times out is closed by the time-out.
 *
 * <pre>
 * try (EngineClient engines = HttpEngineClient.of(EngineClientSettings.standard())) {
 *     engines.open("127.0.0.1:7000", order).subscribe(this::accept);
 * }
 * </pre>
 */
public final class HttpEngineClient implements EngineClient {

	private static final int POOLED_PER_ENGINE = 4;

	private static final Duration POOLED_IDLE = Duration.ofSeconds(10);

	private static final Duration IMPORT_LIMIT = Duration.ofSeconds(10);

	private final LongAdder dropped = new LongAdder();

	private final ConnectionProvider pool;

	private final HttpClient pooled;

	private final HttpClient single;

	private HttpEngineClient(EngineClientSettings settings) {
		this.pool = ConnectionProvider.builder("engines")
			.maxConnections(POOLED_PER_ENGINE)
			.maxIdleTime(POOLED_IDLE)
			.build();
		this.pooled = configured(StrictClients.pooled(this.pool), settings);
		this.single = configured(StrictClients.withoutReuse(), settings);
	}

	// -- factories

	/**
	 * A client.
	 * @param settings the time limits
	 * @return the client
	 */
	public static HttpEngineClient of(EngineClientSettings settings) {
		return new HttpEngineClient(Objects.requireNonNull(settings, "settings is null"));
	}

	// A retry inside the HTTP library would send a call twice without anybody knowing.
	private static HttpClient configured(HttpClient client, EngineClientSettings settings) {
		return client.disableRetry(true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMillis())
			.option(ChannelOption.TCP_NODELAY, true)
			.responseTimeout(Duration.ofMillis(settings.silenceMillis()));
	}

	// -- streams

	@Override
	public Flux<EngineEvent> attach(String address, AttemptId stream, int offset) {
		String path = streamPath(stream) + "?offset=" + offset;
		return stream(address, stream, offset, (client) -> client.get().uri(uri(address, path)));
	}

	@Override
	public Mono<Void> cancel(String address, AttemptId stream) {
		return call(this.pooled, HttpMethod.DELETE, address, streamPath(stream), "").then();
	}

	@Override
	public Mono<Integer> importCache(String address, String source, AttemptId stream) {
		String body = EngineJson.write(new ImportBody(source, stream.value()));
		return call(this.single.responseTimeout(IMPORT_LIMIT), HttpMethod.POST, address, "/engine/v1/imports", body)
			.map((json) -> EngineJson.tree(json).path("tokens").asInt());
	}

	@Override
	public Flux<EngineEvent> open(String address, StreamOrder order) {
		Objects.requireNonNull(order, "order is null");
		return stream(address, order.attempt(), order.emitted().size(),
				(client) -> client.headers((headers) -> headers.set("Content-Type", "application/json"))
					.post()
					.uri(uri(address, "/engine/v1/streams"))
					.send(body(EngineJson.write(order))));
	}

	private Flux<EngineEvent> stream(String address, AttemptId attempt, int first,
			Function<HttpClient, HttpClient.ResponseReceiver<?>> request) {
		return Flux.defer(() -> {
			AtomicBoolean sent = new AtomicBoolean();
			StreamGuard guard = new StreamGuard(attempt, first, this.dropped);
			HttpClient client = this.single.doOnRequest((_, _) -> sent.set(true));
			return request.apply(client)
				.response((response, bytes) -> events(response, bytes, guard))
				.onErrorMap((failure) -> failure(address, attempt.value(), sent.get(), failure))
				// An answer is bounded, so the buffer is. Without it a slow reader would
				// stop the reading of the socket, which would look like silence.
				.onBackpressureBuffer();
		});
	}

	private static Flux<EngineEvent> events(HttpClientResponse response, ByteBufFlux bytes, StreamGuard guard) {
		if (!response.status().equals(HttpResponseStatus.OK)) {
			return bytes.aggregate()
				.asString()
				.defaultIfEmpty("")
				.flatMapMany((body) -> Flux.error(refusal(response, body)));
		}
		return bytes.concatMapIterable((chunk) -> {
			try {
				return guard.feed(chunk);
			}
			catch (IOException ex) {
				throw EngineException.broken(ConnectionFailure.CONNECTION_LOST, ex);
			}
		})
			.takeUntil((event) -> event instanceof EngineEvent.Done || event instanceof EngineEvent.Stopped)
			.concatWith(Flux.defer(() -> guard.ended() ? Flux.empty() : Flux.error(EngineException
				.broken(ConnectionFailure.CONNECTION_LOST, new IOException("closed before the end")))));
	}

	// -- state

	@Override
	public Mono<CacheEvents> cacheEvents(String address, long after) {
		return call(this.pooled, HttpMethod.GET, address, "/engine/v1/cache-events?after=" + after, "")
			.map(EngineJson::readCacheEvents);
	}

	@Override
	public Mono<Load> load(String address) {
		return call(this.pooled, HttpMethod.GET, address, "/engine/v1/load", "").map(EngineJson::readLoad);
	}

	@Override
	public Mono<ActualState> state(String address) {
		return call(this.pooled, HttpMethod.GET, address, "/engine/v1/state", "").map(EngineJson::readState);
	}

	// -- orders

	@Override
	public Mono<ActualState> order(String address, EngineOrder order) {
		return call(this.pooled, HttpMethod.PUT, address, "/engine/v1/order", EngineJson.write(order))
			.map(EngineJson::readState);
	}

	// -- queries

	/**
	 * How many events were dropped since they belonged to another attempt or had come
	 * before.
	 * @return the count since the client was made
	 */
	public long droppedEvents() {
		return this.dropped.sum();
	}

	@Override
	public void close() {
		this.pool.dispose();
	}

	// -- calls

	private Mono<String> call(HttpClient client, HttpMethod method, String address, String path, String body) {
		return Mono.defer(() -> {
			AtomicBoolean sent = new AtomicBoolean();
			return client.doOnRequest((_, _) -> sent.set(true))
				.headers((headers) -> headers.set("Content-Type", "application/json"))
				.request(method)
				.uri(uri(address, path))
				.send(body(body))
				.responseSingle((response, bytes) -> bytes.asString().defaultIfEmpty("").flatMap((text) -> {
					int status = response.status().code();
					return (status / 100 == 2) ? Mono.just(text) : Mono.error(refusal(response, text));
				}))
				.onErrorMap((failure) -> failure(address, path, sent.get(), failure));
		});
	}

	private static Throwable failure(String address, String call, boolean sent, Throwable failure) {
		EngineException known = (failure instanceof EngineException already) ? already
				: EngineException.broken(breakage(sent, failure), failure);
		EngineClientEvents code = known.breakage()
			.map(HttpEngineClient::event)
			.orElse(EngineClientEvents.ENGINE_STREAM_REFUSED);
		EventLog.info(code, "engine", address, "call", call, "cause", known.getMessage());
		return known;
	}

	private static ConnectionFailure breakage(boolean sent, Throwable failure) {
		if (!sent) {
			return ConnectionFailure.CONNECT_FAILED;
		}
		return (failure instanceof TimeoutException) ? ConnectionFailure.SILENT : ConnectionFailure.CONNECTION_LOST;
	}

	private static EngineClientEvents event(ConnectionFailure breakage) {
		return switch (breakage) {
			case CONNECT_FAILED -> EngineClientEvents.ENGINE_CONNECT_FAILED;
			case CONNECTION_LOST -> EngineClientEvents.ENGINE_STREAM_LOST;
			case SILENT -> EngineClientEvents.ENGINE_STREAM_SILENT;
		};
	}

	private static EngineException refusal(HttpClientResponse response, String body) {
		String said = response.status().code() + " " + body;
		int at = body.indexOf("\"refused\"");
		String reason = (at >= 0) ? EngineJson.tree(body).path("refused").asText() : "";
		return switch (reason) {
			case "leaving" -> EngineException.refused(Refusal.LEAVING, said);
			case "full" -> EngineException.refused(Refusal.FULL, said);
			case "not-loaded" -> EngineException.refused(Refusal.NOT_LOADED, said);
			case "unknown-stream" -> EngineException.refused(Refusal.UNKNOWN_STREAM, said);
			case "older-fence", "expired" -> EngineException.rejectedOrder(reason.equals("older-fence"), said);
			default -> EngineException.broken(ConnectionFailure.CONNECTION_LOST, new IOException(said));
		};
	}

	private static ByteBufMono body(String text) {
		return ByteBufMono.fromString(Mono.just(text));
	}

	private static String streamPath(AttemptId stream) {
		return "/engine/v1/streams/" + URLEncoder.encode(stream.value(), StandardCharsets.UTF_8);
	}

	private static String uri(String address, String path) {
		return "http://" + Objects.requireNonNull(address, "address is null") + path;
	}

	private record ImportBody(String source, String stream) {
	}

}
