package org.rosemaryfront.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiFunction;

import com.fasterxml.jackson.databind.node.LongNode;
import io.netty.channel.ChannelId;
import io.netty.channel.ChannelOption;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.platform.TableClient.Condition;
import org.rosemaryfront.platform.TableClient.Outcome;
import org.rosemaryfront.platform.TableClient.Transaction;
import org.rosemaryfront.platform.TableClient.Write;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

class HttpPlatformTests {

	private static final Duration LIMIT = Duration.ofSeconds(20);

	private static final long TIMEOUT_MILLIS = 1500;

	private static final Transaction TRANSACTION = new Transaction(List.of(new Condition("t", "k", 0)),
			List.of(new Write("t", "k", Optional.of(LongNode.valueOf(1)))));

	private static final String COMMITTED = "{\"versions\": [7]}";

	private final AtomicInteger calls = new AtomicInteger();

	private DisposableServer server;

	// The first call of a JVM can take longer than the time-out of the tests.
	@BeforeAll
	static void warmUp() {
		DisposableServer server = HttpServer.create()
			.host("127.0.0.1")
			.port(0)
			.handle((_, response) -> response.sendString(Mono.just(COMMITTED)))
			.bindNow();
		try (HttpPlatform platform = HttpPlatform
			.of(new PlatformSettings("http://127.0.0.1:" + server.port(), LIMIT.toMillis()))) {
			platform.commit(TRANSACTION).block(LIMIT);
		}
		server.disposeNow();
	}

	@AfterEach
	void stop() {
		if (this.server != null) {
			this.server.disposeNow();
		}
	}

	// -- verdicts

	@ParameterizedTest(name = "{0} {1}: {2}")
	@CsvSource(delimiter = ';', textBlock = """
			429; {"applied": false}; not-run
			503; {"applied": false}; not-run
			400; {"applied": false}; not-run
			503; {"applied": true}; may-have-run
			503; {"applied": "false"}; may-have-run
			503; {}; may-have-run
			503; busy; may-have-run
			502; ''; may-have-run
			500; {"detail": "lost"}; may-have-run
			429; {}; may-have-run
			200; no JSON; may-have-run
			200; {"version": 7}; may-have-run
			409; {"applied": 0}; may-have-run
			""")
	void shouldDecideVerdictFromAnswerWhenCommitFails(int status, String body, String verdict) {
		serve((_, response) -> response.status(status).sendString(Mono.just(body)));
		assertThat(failedCommit().verdict().code()).isEqualTo(verdict);
		assertThat(this.calls).hasValue(1);
	}

	@Test
	void shouldSayNotRunWhenNothingListens() {
		serve((_, response) -> response.send());
		this.server.disposeNow();
		assertThat(failedCommit().verdict()).isEqualTo(Verdict.notRun());
		assertThat(this.calls).hasValue(0);
	}

	@Test
	void shouldSayMayHaveRunWhenAnswerDoesNotCome() {
		serve((_, _) -> Mono.never());
		assertThat(failedCommit().verdict()).isEqualTo(Verdict.mayHaveRun());
		assertThat(this.calls).hasValue(1);
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void shouldSayMayHaveRunWhenConnectionBreaks(boolean headersSent) {
		serve((_, response) -> headersSent ? halfAnswer(response) : hangUp(response));
		assertThat(failedCommit().verdict()).isEqualTo(Verdict.mayHaveRun());
		assertThat(this.calls).hasValue(1);
	}

	@Test
	void shouldSayRefusedStartWhenCloudHasNoCapacity() {
		serve((_, response) -> response.status(409).sendString(Mono.just("{\"code\": \"no-capacity\"}")));
		try (HttpPlatform platform = platform()) {
			PlatformException failure = catchThrowableOfType(PlatformException.class,
					() -> platform
						.buy(new CloudClient.Purchase("token", "pool", "a", "gpu", CloudClient.Market.ON_DEMAND))
						.block(LIMIT));
			assertThat(failure.isRefusedStart()).isTrue();
			assertThat(failure.verdict()).isEqualTo(Verdict.notRun());
		}
	}

	// -- connections

	// A caller is told that another call has its key. A pooled connection is reset
	// after the claim was committed and before the answer. Were the commit sent once
	// more unseen, it would conflict with itself and the client would report that as
	// the outcome.
	@Test
	void shouldSendCommitOnceWhenPooledConnectionIsReset() {
		serve((_, response) -> (this.calls.get() == 2) ? reset(response) : response.sendString(Mono.just(COMMITTED)));
		try (HttpPlatform platform = platform()) {
			platform.commit(TRANSACTION).block(LIMIT);
			PlatformException failure = catchThrowableOfType(PlatformException.class,
					() -> platform.commit(TRANSACTION).block(LIMIT));
			assertThat(failure.verdict()).isEqualTo(Verdict.mayHaveRun());
			assertThat(this.calls).hasValue(2);
		}
	}

	// Every call of an entry to the store fails although the store is well. A connection
	// to it has gone silent: what is sent into it vanishes. The call on it times out; if
	// the connection went back to the pool, the next call would take it and time out too.
	@Test
	void shouldNotUseConnectionAgainWhenItWentSilent() {
		ChannelId[] silent = new ChannelId[1];
		serve((_, response) -> {
			ChannelId connection = connection(response);
			if (this.calls.get() == 1) {
				silent[0] = connection;
			}
			boolean answers = this.calls.get() == 1 || !connection.equals(silent[0]);
			return answers ? response.sendString(Mono.just(COMMITTED)) : Mono.never();
		});
		try (HttpPlatform platform = platform()) {
			platform.commit(TRANSACTION).block(LIMIT);
			PlatformException failure = catchThrowableOfType(PlatformException.class,
					() -> platform.commit(TRANSACTION).block(LIMIT));
			assertThat(failure.verdict()).isEqualTo(Verdict.mayHaveRun());
			assertThat(platform.commit(TRANSACTION).block(LIMIT)).isEqualTo(new Outcome.Committed(List.of(7L)));
			assertThat(this.calls).hasValue(3);
		}
	}

	// An entry reads the row of another call. The answer to its first read comes after
	// its time-out; were the connection used again, the late answer would be taken as
	// the answer to the second read.
	@Test
	void shouldNotTakeLateAnswerAsAnswerToNextCall() throws InterruptedException {
		CountDownLatch closed = new CountDownLatch(1);
		serve((request, response) -> {
			String row = row(request.uri());
			if (!request.uri().endsWith("slow")) {
				return response.sendString(Mono.just(row));
			}
			response.withConnection((connection) -> connection.onDispose(closed::countDown));
			return response.sendString(Mono.delay(Duration.ofMillis(3 * TIMEOUT_MILLIS)).map((_) -> row));
		});
		try (HttpPlatform platform = platform()) {
			PlatformException failure = catchThrowableOfType(PlatformException.class,
					() -> platform.read("t", "slow").block(LIMIT));
			assertThat(failure).isNotNull();
			for (int i = 0; i < 20; i++) {
				assertThat(platform.read("t", "k" + i).block(LIMIT).orElseThrow().key()).isEqualTo("k" + i);
			}
			assertThat(closed.await(LIMIT.toSeconds(), TimeUnit.SECONDS)).isTrue();
			assertThat(platform.read("t", "last").block(LIMIT).orElseThrow().key()).isEqualTo("last");
		}
	}

	// The first call after a quiet time fails. Servers and address translators forget
	// idle connections without telling the client, whose connection then only looks
	// open.
	@Test
	void shouldCloseConnectionWhenItWasIdleForLimit() throws InterruptedException {
		CountDownLatch closed = new CountDownLatch(1);
		serve((_, response) -> {
			response.withConnection((connection) -> connection.onDispose(closed::countDown));
			return response.sendString(Mono.just(COMMITTED));
		});
		try (HttpPlatform platform = HttpPlatform.of(settings(), Duration.ofMillis(100), 1)) {
			platform.commit(TRANSACTION).block(LIMIT);
			assertThat(closed.await(LIMIT.toSeconds(), TimeUnit.SECONDS)).isTrue();
		}
	}

	@Test
	void shouldUseConnectionAgainWhenCallWasAnswered() {
		List<ChannelId> connections = new CopyOnWriteArrayList<>();
		serve((_, response) -> {
			connections.add(connection(response));
			return response.sendString(Mono.just(COMMITTED));
		});
		try (HttpPlatform platform = platform()) {
			Flux.range(0, 5).concatMap((_) -> platform.commit(TRANSACTION)).blockLast(LIMIT);
		}
		assertThat(connections).hasSize(5).containsOnly(connections.getFirst());
	}

	// -- help

	private PlatformException failedCommit() {
		try (HttpPlatform platform = platform()) {
			PlatformException failure = catchThrowableOfType(PlatformException.class,
					() -> platform.commit(TRANSACTION).block(LIMIT));
			assertThat(failure).isNotNull();
			return failure;
		}
	}

	// With one connection at most, a call gets a new one only when the last is closed.
	private HttpPlatform platform() {
		return HttpPlatform.of(settings(), Duration.ofMinutes(1), 1);
	}

	private PlatformSettings settings() {
		return new PlatformSettings("http://127.0.0.1:" + this.server.port(), TIMEOUT_MILLIS);
	}

	private void serve(BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> handler) {
		this.server = HttpServer.create()
			.host("127.0.0.1")
			.port(0)
			.handle((request, response) -> request.receive().then(Mono.defer(() -> {
				this.calls.incrementAndGet();
				return Mono.from(handler.apply(request, response));
			})))
			.bindNow();
	}

	private static ChannelId connection(HttpServerResponse response) {
		ChannelId[] id = new ChannelId[1];
		response.withConnection((connection) -> {
			var channel = connection.channel();
			id[0] = (channel.parent() instanceof io.netty.channel.socket.SocketChannel parent) ? parent.id()
					: channel.id();
		});
		return id[0];
	}

	private static Publisher<Void> halfAnswer(HttpServerResponse response) {
		response.header("Content-Length", "100");
		return response
			.sendString(Flux.just("{\"versions\": ").concatWith(Mono.delay(Duration.ofMillis(50)).map((_) -> {
				response.withConnection((connection) -> connection.channel().close());
				return "";
			})));
	}

	private static Publisher<Void> hangUp(HttpServerResponse response) {
		response.withConnection((connection) -> connection.channel().close());
		return Mono.never();
	}

	// The HTTP library's own retry looks for a reset, which a linger time of 0 brings
	// about.
	private static Publisher<Void> reset(HttpServerResponse response) {
		response.withConnection((connection) -> {
			connection.channel().config().setOption(ChannelOption.SO_LINGER, 0);
			connection.channel().close();
		});
		return Mono.never();
	}

	private static String row(String uri) {
		return "{\"table\": \"t\", \"key\": \"" + uri.substring(uri.lastIndexOf('/') + 1)
				+ "\", \"value\": 1, \"version\": 1}";
	}

}
