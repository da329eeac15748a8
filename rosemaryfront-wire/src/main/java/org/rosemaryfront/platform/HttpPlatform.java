package org.rosemaryfront.platform;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.resolver.DefaultAddressResolverGroup;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.http.StrictClients;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.model.VmId;

/**
 * The platform over HTTP.
 *
 * <p>
 * Every call ends within the time-out of the settings. A failed call carries a verdict
 * from facts: not-run when no byte was handed to a connection or the platform answered
 * {@code "applied": false}; may-have-run for everything else, since a time-out, a broken
 * connection or a bare 5xx leave open whether the platform did the work.
 *
 * <pre>
 * try (HttpPlatform platform = HttpPlatform.of(new PlatformSettings(url, 1000))) {
 *     platform.read("configuration", "head").subscribe(this::accept);
 * }
 * </pre>
 */
public final class HttpPlatform implements TableClient, CloudClient, ObjectClient, AutoCloseable {

	private static final int CONNECTIONS = 32;

	private static final int PENDING_CALLS = 1024;

	/**
	 * Idle connections are dropped after this time: well before the idle limits of
	 * servers and address translators, half a minute and more, after which a connection
	 * can be dead while it looks open.
	 */
	private static final Duration IDLE_LIMIT = Duration.ofSeconds(10);

	private static final int THREADS = 2;

	private static final Body NO_BODY = new Body("", new byte[0]);

	private final PlatformSettings settings;

	private final HttpClient http;

	private final ConnectionProvider connections;

	private final LoopResources loops;

	private final AtomicBoolean failing = new AtomicBoolean();

	private HttpPlatform(PlatformSettings settings, Duration idleLimit, int connections) {
		this.settings = settings;
		this.loops = LoopResources.create("platform", THREADS, true);
		this.connections = ConnectionProvider.builder("platform")
			.maxConnections(connections)
			.pendingAcquireMaxCount(PENDING_CALLS)
			.maxIdleTime(idleLimit)
			.evictInBackground(idleLimit)
			.lifo()
			.build();
		// Whether a call is sent again is decided from its verdict, by the caller: a
		// commit sent twice would conflict with itself. So Reactor Netty's own retry is
		// off.
		this.http = StrictClients.pooled(this.connections)
			.runOn(this.loops)
			.baseUrl(settings.url())
			.resolver(DefaultAddressResolverGroup.INSTANCE)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.min(Integer.MAX_VALUE, settings.timeoutMillis()))
			.disableRetry(true);
	}

	// -- factories

	/**
	 * A client of one platform; connects when the first call is made.
	 * @param settings where the platform is
	 * @return the client
	 */
	public static HttpPlatform of(PlatformSettings settings) {
		return of(settings, IDLE_LIMIT, CONNECTIONS);
	}

	static HttpPlatform of(PlatformSettings settings, Duration idleLimit, int connections) {
		return new HttpPlatform(Objects.requireNonNull(settings, "settings is null"), idleLimit, connections);
	}

	// -- tables

	@Override
	public Mono<Outcome> commit(Transaction transaction) {
		Objects.requireNonNull(transaction, "transaction is null");
		return call(HttpMethod.POST, "/tables/v1/commit", json(PlatformCodec.transaction(transaction)),
				(answer) -> switch (answer.status()) {
					case 200 -> new Outcome.Committed(PlatformCodec.versions(answer.document()));
					case 409 ->
						new Outcome.Conflict(PlatformCodec.list(answer.document(), "failed", PlatformCodec::condition));
					default -> throw answer.failure();
				});
	}

	@Override
	public Mono<Optional<Row>> read(String table, String key) {
		return call(HttpMethod.GET, "/tables/v1/rows/" + encode(table) + "/" + encode(key), NO_BODY,
				(answer) -> switch (answer.status()) {
					case 200 -> Optional.of(PlatformCodec.row(answer.document()));
					case 404 -> Optional.empty();
					default -> throw answer.failure();
				});
	}

	@Override
	public Mono<List<Row>> scan(String table, String prefix, String after, int limit) {
		String query = "?prefix=" + encode(prefix) + "&after=" + encode(after) + "&limit=" + limit;
		return list("/tables/v1/rows/" + encode(table) + query, "rows", PlatformCodec::row);
	}

	// -- cloud

	@Override
	public Mono<Vm> buy(Purchase purchase) {
		Objects.requireNonNull(purchase, "purchase is null");
		return call(HttpMethod.POST, "/cloud/v1/vms", json(PlatformCodec.purchase(purchase)),
				(answer) -> switch (answer.status()) {
					case 200, 201 -> PlatformCodec.vm(answer.document());
					case 409 -> throw PlatformException.refusedStart(answer.text());
					default -> throw answer.failure();
				});
	}

	@Override
	public Mono<List<Notice>> notices(long after) {
		return list("/cloud/v1/notices?after=" + after, "notices", PlatformCodec::notice);
	}

	@Override
	public Mono<List<Offer>> offers() {
		return list("/cloud/v1/offers", "offers", PlatformCodec::offer);
	}

	@Override
	public Mono<Void> release(VmId vm) {
		return call(HttpMethod.DELETE, "/cloud/v1/vms/" + encode(vm.value()), NO_BODY, HttpPlatform::done).then();
	}

	@Override
	public Mono<List<Listed>> vmList() {
		return list("/vmlist/v1/vms", "vms", PlatformCodec::listed);
	}

	@Override
	public Mono<List<Vm>> vms() {
		return list("/cloud/v1/vms", "vms", PlatformCodec::vm);
	}

	// -- objects

	@Override
	public Mono<Void> deleteObject(String bucket, String key) {
		return call(HttpMethod.DELETE, object(bucket, key), NO_BODY, HttpPlatform::done).then();
	}

	@Override
	public Mono<Optional<byte[]>> getObject(String bucket, String key) {
		return call(HttpMethod.GET, object(bucket, key), NO_BODY, (answer) -> switch (answer.status()) {
			case 200 -> Optional.of(answer.body());
			case 404 -> Optional.empty();
			default -> throw answer.failure();
		});
	}

	@Override
	public Mono<Void> putObject(String bucket, String key, byte[] content) {
		Objects.requireNonNull(content, "content is null");
		return call(HttpMethod.PUT, object(bucket, key), new Body("application/octet-stream", content),
				HttpPlatform::done)
			.then();
	}

	// -- closing

	@Override
	public void close() {
		this.connections.dispose();
		this.loops.dispose();
	}

	// -- calls

	private <T> Mono<T> call(HttpMethod method, String path, Body body, Function<Answer, T> reader) {
		return Mono.defer(() -> {
			AtomicBoolean sent = new AtomicBoolean();
			return send(method, path, body, sent).timeout(Duration.ofMillis(this.settings.timeoutMillis()), noAnswer())
				.onErrorMap((failure) -> failure(method, path, sent.get(), failure))
				.map((answer) -> read(method, path, answer, reader))
				.doOnSuccess((_) -> answered())
				.doOnError((failure) -> failed(method, path, failure));
		});
	}

	// Reactor Netty closes a connection whose call is cancelled, as the time-out does,
	// and never pools it: a connection gone silent would otherwise take the next call
	// too, and a late answer would be read as the answer to that call.
	private Mono<Answer> send(HttpMethod method, String path, Body body, AtomicBoolean sent) {
		return this.http.request(method).uri(path).send((request, out) -> {
			sent.set(true);
			request.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.content().length));
			if (!body.type().isEmpty()) {
				request.header(HttpHeaderNames.CONTENT_TYPE, body.type());
			}
			return out.send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body.content())));
		})
			.responseSingle((response, content) -> content.asByteArray()
				.defaultIfEmpty(NO_BODY.content())
				.map((bytes) -> new Answer(response.status().code(), bytes)));
	}

	private <T> Mono<List<T>> list(String path, String field, Function<JsonNode, T> item) {
		return call(HttpMethod.GET, path, NO_BODY, (answer) -> {
			if (answer.status() != 200) {
				throw answer.failure();
			}
			return PlatformCodec.list(answer.document(), field, item);
		});
	}

	private static <T> T read(HttpMethod method, String path, Answer answer, Function<Answer, T> reader) {
		try {
			return reader.apply(answer);
		}
		catch (IllegalArgumentException ex) {
			throw PlatformException.of(Verdict.mayHaveRun(),
					method + " " + path + " got an answer that is not in the protocol", ex);
		}
	}

	private Mono<Answer> noAnswer() {
		return Mono.error(() -> new TimeoutException("no answer within " + this.settings.timeoutMillis() + " ms"));
	}

	private static Boolean done(Answer answer) {
		if (answer.status() / 100 != 2) {
			throw answer.failure();
		}
		return true;
	}

	private static PlatformException failure(HttpMethod method, String path, boolean sent, Throwable cause) {
		Verdict verdict = sent ? Verdict.mayHaveRun() : Verdict.notRun();
		return PlatformException.of(verdict, method + " " + path + " failed: " + cause.getMessage(), cause);
	}

	// -- log

	private void answered() {
		if (this.failing.compareAndSet(true, false)) {
			EventLog.info(PlatformClientEvents.PLATFORM_ANSWERS_AGAIN, "url", this.settings.url());
		}
	}

	private void failed(HttpMethod method, String path, Throwable failure) {
		if (failure instanceof PlatformException platform && platform.isRefusedStart()) {
			answered();
		}
		else if (this.failing.compareAndSet(false, true)) {
			EventLog.warn(PlatformClientEvents.PLATFORM_CALLS_FAIL, "url", this.settings.url(), "call",
					method + " " + path, "cause", failure.getMessage());
		}
	}

	// -- forms

	private static String encode(String text) {
		return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
	}

	private static Body json(JsonNode document) {
		return new Body("application/json", PlatformCodec.bytes(document));
	}

	private static String object(String bucket, String key) {
		return "/objects/v1/" + encode(bucket) + "/" + encode(key);
	}

	private record Body(String type, byte[] content) {
	}

	private record Answer(int status, byte[] body) {

		JsonNode document() {
			return PlatformCodec.tree(this.body);
		}

		PlatformException failure() {
			return PlatformException.of(saysNotApplied() ? Verdict.notRun() : Verdict.mayHaveRun(),
					"the platform answered " + this.status + ": " + text(), null);
		}

		private boolean saysNotApplied() {
			try {
				JsonNode applied = document().path("applied");
				return applied.isBoolean() && !applied.asBoolean();
			}
			catch (IllegalArgumentException ex) {
				return false;
			}
		}

		String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

}
