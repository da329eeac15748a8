package org.rosemaryfront.standin.engine;

import java.io.IOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufMono;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;

import org.rosemaryfront.engine.EngineClient.EngineOrder;
import org.rosemaryfront.engine.EngineClient.StreamOrder;
import org.rosemaryfront.engine.EngineClientSettings;
import org.rosemaryfront.engine.EngineEvent;
import org.rosemaryfront.engine.EngineException;
import org.rosemaryfront.engine.HttpEngineClient;
import org.rosemaryfront.model.AttemptId;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.serving.ServingEvent.ConnectionFailure;
import org.rosemaryfront.serving.ServingEvent.Refusal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

class HttpEngineClientTests {

	private static final Duration LIMIT = Duration.ofSeconds(20);

	private static final String PROMPT = "tell me something length=60";

	private final EngineServer engine = EngineServer
		.start(EngineSettings.local(EngineParameters.fast(), List.of("m@1")));

	private final HttpEngineClient client = HttpEngineClient.of(new EngineClientSettings(500, 800));

	@AfterEach
	void stop() {
		this.client.close();
		this.engine.close();
	}

	// -- streams

	@Test
	void shouldGiveTheWholeAnswerWhenNothingFails() {
		List<EngineEvent> events = this.client.open(this.engine.address(), order("a", List.of()))
			.collectList()
			.block(LIMIT);
		assertThat(events).first().isEqualTo(new EngineEvent.Accepted(id("a"), 0));
		assertThat(texts(events)).isEqualTo(answer());
		assertThat(events).last().isEqualTo(new EngineEvent.Done(id("a"), "stop", 60));
	}

	/**
	 * A caller reads half of an answer; the connection to the engine closes. The engine
	 * goes on, and the rest must come over a new connection without a token twice.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 30, 59 })
	void shouldGiveTheRestWhenAttachedAgain(int offset) {
		List<EngineEvent> first = this.client.open(this.engine.address(), order("a", List.of()))
			.takeUntil((event) -> event instanceof EngineEvent.Token token && token.index() >= offset)
			.collectList()
			.block(LIMIT);
		List<String> whole = new ArrayList<>(texts(first));
		List<EngineEvent> rest = this.client.attach(this.engine.address(), id("a"), whole.size())
			.collectList()
			.block(LIMIT);
		whole.addAll(texts(rest));
		assertThat(whole).isEqualTo(answer());
		assertThat(this.engine.counters().generated()).isEqualTo(60);
		assertThat(this.engine.counters().recomputed()).isZero();
	}

	@Test
	void shouldContinueWhenSomeTokensExistAlready() {
		List<EngineEvent> events = this.client.open(this.engine.address(), order("a", answer().subList(0, 50)))
			.collectList()
			.block(LIMIT);
		assertThat(texts(events)).isEqualTo(answer().subList(50, 60));
		assertThat(this.engine.counters().recomputed()).isEqualTo(50);
	}

	@Test
	void shouldEndTheStreamWhenCancelled() {
		Flux<EngineEvent> stream = this.client.open(this.engine.address(), longOrder("a"));
		stream.takeUntil(EngineEvent.Token.class::isInstance).blockLast(LIMIT);
		this.client.cancel(this.engine.address(), id("a")).block(LIMIT);
		this.client.cancel(this.engine.address(), id("a")).block(LIMIT);
		EngineException failure = failure(this.client.attach(this.engine.address(), id("a"), 0));
		assertThat(failure.refusal()).contains(Refusal.UNKNOWN_STREAM);
		assertThat(this.engine.counters().wasted()).isPositive();
	}

	@Test
	void shouldSendHeartbeatsWhenNoTokenComes() {
		fault("{\"kind\": \"slow\", \"factor\": 2000, \"millis\": 1200}");
		List<EngineEvent> events = this.client.open(this.engine.address(), longOrder("a"))
			.takeUntil(EngineEvent.Heartbeat.class::isInstance)
			.collectList()
			.block(LIMIT);
		assertThat(events).last().isEqualTo(new EngineEvent.Heartbeat(id("a")));
	}

	// -- failures

	@Test
	void shouldSayNotRunWhenNoConnectionIsMade() throws IOException {
		int port;
		try (ServerSocket free = new ServerSocket(0)) {
			port = free.getLocalPort();
		}
		EngineException failure = failure(this.client.open("127.0.0.1:" + port, order("a", List.of())));
		assertThat(failure.breakage()).contains(ConnectionFailure.CONNECT_FAILED);
		assertThat(failure.verdict()).isEqualTo(Verdict.notRun());
	}

	@ParameterizedTest
	@CsvSource({ "full,FULL", "leaving,LEAVING", "not-loaded,NOT_LOADED" })
	void shouldGiveTheReasonWhenRefused(String reason, Refusal refusal) {
		fault("{\"kind\": \"refuse\", \"reason\": \"" + reason + "\"}");
		EngineException failure = failure(this.client.open(this.engine.address(), order("a", List.of())));
		assertThat(failure.refusal()).contains(refusal);
		assertThat(failure.verdict()).isEqualTo(Verdict.notRun());
	}

	/**
	 * A middlebox forgets a connection: the stream stops in the middle with no word,
	 * while the engine is well. The client must notice by the missing heartbeats, and the
	 * rest must come over a new connection with nothing computed again.
	 */
	@Test
	void shouldNoticeSilenceAndAttachAgainWhenTheEngineIsWell() {
		List<EngineEvent> events = new ArrayList<>();
		CountDownLatch tokens = new CountDownLatch(1);
		Mono<EngineException> broken = this.client.open(this.engine.address(), longOrder("a")).doOnNext((event) -> {
			events.add(event);
			if (event instanceof EngineEvent.Token) {
				tokens.countDown();
			}
		}).ignoreElements().cast(EngineException.class).onErrorResume(EngineException.class, Mono::just).cache();
		broken.subscribe();
		await(tokens);
		fault("{\"kind\": \"silent\"}");
		EngineException failure = broken.block(LIMIT);
		assertThat(failure.breakage()).contains(ConnectionFailure.SILENT);
		assertThat(failure.verdict()).isEqualTo(Verdict.mayHaveRun());
		List<String> whole = new ArrayList<>(texts(events));
		assertThat(whole.size()).isLessThan(3_000);
		List<EngineEvent> rest = this.client.attach(this.engine.address(), id("a"), whole.size())
			.collectList()
			.block(LIMIT);
		whole.addAll(texts(rest));
		assertThat(whole).isEqualTo(longAnswer());
		assertThat(this.engine.counters().recomputed()).isZero();
	}

	@Test
	void shouldNoticeSilenceWhenTheEngineIsFrozen() {
		fault("{\"kind\": \"freeze\", \"millis\": 60000}");
		EngineException failure = failure(this.client.open(this.engine.address(), order("a", List.of())));
		assertThat(failure.breakage()).contains(ConnectionFailure.SILENT);
		assertThat(failure.verdict()).isEqualTo(Verdict.mayHaveRun());
	}

	@Test
	void shouldNoticeWhenTheVmEnds() {
		CountDownLatch tokens = new CountDownLatch(1);
		Mono<EngineException> broken = this.client.open(this.engine.address(), longOrder("a"))
			.doOnNext((_) -> tokens.countDown())
			.ignoreElements()
			.cast(EngineException.class)
			.onErrorResume(EngineException.class, Mono::just)
			.cache();
		broken.subscribe();
		await(tokens);
		post("/standin/v1/halt", "");
		assertThat(broken.block(LIMIT).breakage()).contains(ConnectionFailure.CONNECTION_LOST);
		assertThat(failure(this.client.open(this.engine.address(), order("b", List.of()))).breakage())
			.contains(ConnectionFailure.CONNECTION_LOST);
		post("/standin/v1/boot", "{\"vm\": \"vm-2\"}");
		assertThat(failure(this.client.attach(this.engine.address(), id("a"), 0)).refusal())
			.contains(Refusal.UNKNOWN_STREAM);
	}

	@ParameterizedTest
	@ValueSource(strings = { "{\"t\":\"accepted\",\"attempt\":\"a\",\"cached\":0}\n",
			"{\"t\":\"token\",\"attempt\":\"a\",\"i\":0,\"text\":\" x\"}\n{\"t\":\"token\",\"attempt\":\"a\",\"i\":2,\"text\":\" z\"}\n",
			"{\"t\":\"token\",\"attempt\":\"a\",\"i\":0,\"text\":\" x\"}\n{\"t\":\"token\",\"attempt\":\"a\",\"i\":2,\"text\":\" z\"}\n{\"t\":\"done\",\"attempt\":\"a\",\"reason\":\"stop\",\"tokens\":2}\n",
			"{\"t\":\"token\",\"attempt\":\"a\",\"i\":0,\"text\":\" x\"}\n{\"t\":\"done\",\"attempt\":\"a\",\"reason\":\"stop\",\"tokens\":2}\n",
			"no event\n", "{\"t\":\"done\",\"attempt\":\"a\",\"reason\":\"stop\",\"tokens\":0}" })
	void shouldSayThatTheConnectionWasLostWhenTheStreamIsNotWhole(String body) {
		DisposableServer server = answering(body);
		EngineException failure = failure(this.client.open(address(server), order("a", List.of())));
		assertThat(failure.breakage()).contains(ConnectionFailure.CONNECTION_LOST);
		assertThat(failure.verdict()).isEqualTo(Verdict.mayHaveRun());
		server.disposeNow();
	}

	/**
	 * An engine mixes two streams up: between a caller's own words come words of another
	 * caller's answer. None of them may pass, and none of the own words may be missing.
	 */
	@Test
	void shouldDropAndCountEventsWhenTheyBelongToAnotherAttempt() {
		DisposableServer server = answering("""
				{"t":"accepted","attempt":"a","cached":0}
				{"t":"token","attempt":"b","i":0,"text":" foreign"}
				{"t":"token","attempt":"a","i":0,"text":" own"}
				{"t":"token","attempt":"a","i":0,"text":" own"}
				{"t":"done","attempt":"b","reason":"stop","tokens":1}
				{"t":"token","attempt":"a","i":1,"text":" own too"}
				{"t":"done","attempt":"a","reason":"stop","tokens":2}
				""");
		List<EngineEvent> events = this.client.open(address(server), order("a", List.of())).collectList().block(LIMIT);
		assertThat(texts(events)).containsExactly(" own", " own too");
		assertThat(this.client.droppedEvents()).isEqualTo(3);
		server.disposeNow();
	}

	@Test
	void shouldCloseTheConnectionWhenTheStreamIsCancelled() {
		this.client.open(this.engine.address(), longOrder("a"))
			.takeUntil(EngineEvent.Token.class::isInstance)
			.blockLast(LIMIT);
		awaitTrue(() -> stat("connections") == 1);
	}

	/**
	 * A pooled connection goes silent between two short calls. The call that finds it
	 * must time out, and the next one must not get the same connection again.
	 */
	@Test
	void shouldNotUseAPooledConnectionAgainWhenItWentSilent() {
		assertThat(this.client.state(this.engine.address()).block(LIMIT).role()).isEqualTo("serve");
		fault("{\"kind\": \"silent\"}");
		EngineException failure = catchThrowableOfType(EngineException.class,
				() -> this.client.state(this.engine.address()).block(LIMIT));
		assertThat(failure.breakage()).contains(ConnectionFailure.SILENT);
		assertThat(this.client.state(this.engine.address()).block(LIMIT).role()).isEqualTo("serve");
	}

	// -- KV cache

	@Test
	void shouldMoveTheCacheWhenImported() {
		try (EngineServer target = EngineServer.start(EngineSettings.local(EngineParameters.fast(), List.of("m@1")))) {
			List<EngineEvent> events = new ArrayList<>();
			CountDownLatch tokens = new CountDownLatch(5);
			CountDownLatch ended = new CountDownLatch(1);
			this.client.open(this.engine.address(), longOrder("a"))
				.doFinally((_) -> ended.countDown())
				.subscribe((event) -> {
					events.add(event);
					tokens.countDown();
				});
			await(tokens);
			int moved = this.client.importCache(target.address(), this.engine.address(), id("a")).block(LIMIT);
			await(ended);
			assertThat(events).last().isEqualTo(new EngineEvent.Stopped(id("a"), "moved"));
			List<String> whole = new ArrayList<>(texts(events));
			assertThat(moved).isEqualTo(whole.size() + StandInAnswer.countTokens(longPrompt()));
			StreamOrder order = longOrder("b");
			whole.addAll(texts(
					this.client.open(target.address(), with(order, List.copyOf(whole))).collectList().block(LIMIT)));
			assertThat(whole).isEqualTo(longAnswer());
			assertThat(target.counters().prefilled()).isZero();
			EngineException failure = catchThrowableOfType(EngineException.class,
					() -> this.client.importCache(target.address(), this.engine.address(), id("a")).block(LIMIT));
			assertThat(failure.refusal()).contains(Refusal.UNKNOWN_STREAM);
		}
	}

	// -- orders

	@Test
	void shouldTellAnOlderFenceFromOtherFailures() {
		EngineOrder order = new EngineOrder(5, 1_000, List.of("m@1"), List.of(), "drain");
		assertThat(this.client.order(this.engine.address(), order).block(LIMIT).role()).isEqualTo("drain");
		EngineException failure = catchThrowableOfType(EngineException.class,
				() -> this.client
					.order(this.engine.address(), new EngineOrder(4, 1_000, List.of("m@1"), List.of(), "serve"))
					.block(LIMIT));
		assertThat(failure.isFenced()).isTrue();
		assertThat(failure.verdict()).isEqualTo(Verdict.notRun());
		assertThat(this.client.state(this.engine.address()).block(LIMIT).fence()).isEqualTo(5);
	}

	/**
	 * An order waits in a frozen engine until it is past its validity. When the engine
	 * goes on, another holder of the lease may have given orders, so it must not be
	 * taken.
	 */
	@Test
	void shouldNotTakeTheOrderWhenTheEngineThawsAfterItsValidity() {
		fault("{\"kind\": \"freeze\", \"millis\": 500}");
		EngineException failure = catchThrowableOfType(EngineException.class,
				() -> this.client
					.order(this.engine.address(), new EngineOrder(5, 100, List.of("m@1"), List.of(), "drain"))
					.block(LIMIT));
		assertThat(failure.breakage()).isEmpty();
		assertThat(failure.isFenced()).isFalse();
		assertThat(this.client.state(this.engine.address()).block(LIMIT).role()).isEqualTo("serve");
	}

	@Test
	void shouldReadLoadAndCacheEvents() {
		String prompt = "word ".repeat(64);
		StreamOrder order = new StreamOrder(id("a"), "m", "", prompt, List.of(-1L, 17L), List.of(), 4, 0,
				Duration.ofMinutes(1));
		this.client.open(this.engine.address(), order).blockLast(LIMIT);
		awaitTrue(() -> this.client.cacheEvents(this.engine.address(), 0).block(LIMIT).last() == 2);
		assertThat(this.client.cacheEvents(this.engine.address(), 0).block(LIMIT).added()).containsExactly(-1L, 17L);
		assertThat(this.client.load(this.engine.address()).block(LIMIT).running()).isZero();
	}

	// -- helpers

	private EngineException failure(Flux<EngineEvent> stream) {
		return catchThrowableOfType(EngineException.class, () -> stream.blockLast(LIMIT));
	}

	private void fault(String body) {
		post("/standin/v1/faults", body);
	}

	private void post(String path, String body) {
		HttpClient.newConnection()
			.post()
			.uri("http://" + this.engine.address() + path)
			.send(ByteBufMono.fromString(Mono.just(body)))
			.response()
			.block(LIMIT);
	}

	private int stat(String name) {
		String body = HttpClient.newConnection()
			.get()
			.uri("http://" + this.engine.address() + "/standin/v1/stats")
			.responseContent()
			.aggregate()
			.asString()
			.block(LIMIT);
		return org.rosemaryfront.engine.EngineJson.tree(body).path(name).asInt();
	}

	private static DisposableServer answering(String body) {
		return HttpServer.create()
			.host("127.0.0.1")
			.port(0)
			.handle((_, response) -> response.sendString(Mono.just(body)))
			.bindNow();
	}

	private static String address(DisposableServer server) {
		return "127.0.0.1:" + server.port();
	}

	private static void await(CountDownLatch latch) {
		try {
			assertThat(latch.await(LIMIT.toSeconds(), TimeUnit.SECONDS)).isTrue();
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static void awaitTrue(BooleanSupplier condition) {
		long end = System.nanoTime() + LIMIT.toNanos();
		while (!condition.getAsBoolean()) {
			assertThat(System.nanoTime()).isLessThan(end);
			Thread.onSpinWait();
		}
	}

	private static List<String> texts(List<EngineEvent> events) {
		return events.stream()
			.filter(EngineEvent.Token.class::isInstance)
			.map((event) -> ((EngineEvent.Token) event).text())
			.toList();
	}

	private static AttemptId id(String value) {
		return new AttemptId(value);
	}

	private static List<String> answer() {
		return StandInAnswer.tokens(PROMPT, "m", "", 256);
	}

	private static String longPrompt() {
		return "say it all " + IntStream.range(0, 100).boxed().toList() + " length=3000";
	}

	private static List<String> longAnswer() {
		return StandInAnswer.tokens(longPrompt(), "m", "", 3_000);
	}

	private static StreamOrder order(String attempt, List<String> emitted) {
		return new StreamOrder(id(attempt), "m", "", PROMPT, List.of(), emitted, 256, 0, Duration.ofMinutes(1));
	}

	private static StreamOrder longOrder(String attempt) {
		return new StreamOrder(id(attempt), "m", "", longPrompt(), List.of(), List.of(), 3_000, 0,
				Duration.ofMinutes(1));
	}

	private static StreamOrder with(StreamOrder order, List<String> emitted) {
		return new StreamOrder(order.attempt(), order.model(), order.adapter(), order.prompt(), order.blocks(), emitted,
				order.maxTokens(), order.priority(), order.expiresAfter());
	}

}
