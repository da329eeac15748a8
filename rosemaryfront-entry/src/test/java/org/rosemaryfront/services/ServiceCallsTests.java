package org.rosemaryfront.services;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;

import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.Resource;
import org.rosemaryfront.model.VmId;

import static org.assertj.core.api.Assertions.assertThat;

class ServiceCallsTests {

	private static final Duration LIMIT = Duration.ofSeconds(20);

	private final FaultyTables tables = new FaultyTables();

	private final List<ServiceServer> servers = new ArrayList<>();

	private final BookingService booking = BookingService.start("vm-a");

	private ServiceCalls calls;

	private DisposableServer entry;

	@BeforeEach
	void startEntry() {
		this.servers.add(this.booking.server("tunis-a"));
		this.calls = ServiceCalls.of(settings(), this.tables, ServiceCallsTests::configuration, () -> this.servers,
				(vm) -> vm.value().equals("gone"));
		this.entry = HttpServer.create()
			.host("127.0.0.1")
			.port(0)
			.handle((request, response) -> this.calls.handle("federation", "booking",
					request.uri().replaceFirst("^/services/booking", ""), request, response))
			.bindNow();
	}

	@AfterEach
	void stopEntry() {
		this.entry.disposeNow(Duration.ofSeconds(5));
		this.calls.close();
		this.booking.close();
	}

	@Test
	void shouldStreamAnswerWhenCallIsIdempotent() {
		Answer answer = call(HttpMethod.GET, "/sheets/round-7", "", "");
		assertThat(answer.status()).isEqualTo(201);
		assertThat(answer.body()).contains("\"run\":1");
		assertThat(this.tables.commits()).isZero();
	}

	@Test
	void shouldRefuseWhenKeyIsMissing() {
		Answer answer = call(HttpMethod.POST, "/bookings", "", "villa-1");
		assertThat(answer.status()).isEqualTo(400);
		assertThat(answer.body()).contains("\"verdict\":\"not-run\"");
		assertThat(this.booking.runs("villa-1")).isZero();
	}

	@Test
	void shouldGiveStoredOutcomeWhenCallIsRepeated() {
		Answer first = call(HttpMethod.POST, "/bookings", "key-1", "villa-1");
		Answer second = call(HttpMethod.POST, "/bookings", "key-1", "villa-1");
		assertThat(first.status()).isEqualTo(201);
		assertThat(second).isEqualTo(first);
		assertThat(this.booking.runs("villa-1")).isOne();
	}

	@Test
	void shouldKeepOrganisationsKeyBackWhenPassingOn() {
		call(HttpMethod.POST, "/bookings", "key-1", "villa-1");
		assertThat(this.booking.headersOf("villa-1")).doesNotContainKeys("authorization", "x-hop")
			.containsKeys("x-deadline-millis", "x-request-id", "x-kept");
	}

	// A homeowner confirms twice while the first confirmation is still running. The
	// second must wait for the first one's outcome; run again, it sends two crews.
	@Test
	void shouldWaitForRunningCallWhenRepeatedMeanwhile() {
		this.booking.behave(BookingService.Behaviour.SLOW);
		List<Answer> answers = Flux.range(0, 4)
			.flatMap((_) -> exchange(HttpMethod.POST, "/bookings", "key-2", "villa-2"))
			.collectList()
			.block(LIMIT);
		assertThat(answers).hasSize(4).allSatisfy((answer) -> assertThat(answer.status()).isEqualTo(201));
		assertThat(answers.stream().distinct()).hasSize(1);
		assertThat(this.booking.runs("villa-2")).isOne();
	}

	@Test
	void shouldRefuseWhenKeyIsReusedWithAnotherCall() {
		call(HttpMethod.POST, "/bookings", "key-3", "villa-3");
		Answer answer = call(HttpMethod.POST, "/bookings", "key-3", "villa-4");
		assertThat(answer.status()).isEqualTo(422);
		assertThat(answer.body()).contains("key-reused", "\"verdict\":\"not-run\"");
		assertThat(this.booking.runs("villa-4")).isZero();
	}

	@Test
	void shouldRefuseAtOnceWhenStoreIsDown() {
		this.tables.refuse((_) -> true);
		Answer answer = call(HttpMethod.POST, "/bookings", "key-5", "villa-5");
		assertThat(answer.body()).contains("storage-unavailable", "\"retryAfterSeconds\":1", "\"verdict\":\"not-run\"");
		assertThat(this.booking.runs("villa-5")).isZero();
	}

	// The table service took the claim and its answer got lost. Taken for a failure, the
	// caller would read not-run and its repeat would wait for a call that nobody makes.
	@Test
	void shouldRunOnceWhenAnswerToClaimIsLost() {
		AtomicInteger commits = new AtomicInteger();
		this.tables.loseAnswerOf((_) -> commits.incrementAndGet() == 1);
		Answer first = call(HttpMethod.POST, "/bookings", "key-6", "villa-6");
		assertThat(first.status()).isEqualTo(201);
		assertThat(call(HttpMethod.POST, "/bookings", "key-6", "villa-6")).isEqualTo(first);
		assertThat(this.booking.runs("villa-6")).isOne();
	}

	// The claim's fate is unknown, the store cannot be read, and the caller is refused.
	// The claim must be voided when the store is back, else the household's next try
	// waits for a booking that nobody makes.
	@Test
	void shouldRunRepeatWhenRefusedAfterUncertainClaim() {
		this.tables.loseAnswerOf((_) -> true);
		this.tables.failReads(true);
		Answer refused = call(HttpMethod.POST, "/bookings", "key-7", "villa-7");
		assertThat(refused.body()).contains("\"verdict\":\"not-run\"");
		assertThat(this.booking.runs("villa-7")).isZero();
		this.tables.loseAnswerOf((_) -> false);
		this.tables.failReads(false);
		this.calls.drain().block(LIMIT);
		assertThat(call(HttpMethod.POST, "/bookings", "key-7", "villa-7").status()).isEqualTo(201);
		assertThat(this.booking.runs("villa-7")).isOne();
	}

	@Test
	void shouldRunRepeatWhenServiceRefusedFirst() {
		this.booking.behave(BookingService.Behaviour.REFUSE);
		Answer refused = call(HttpMethod.POST, "/bookings", "key-8", "villa-8");
		assertThat(refused.body()).contains("no-server", "\"verdict\":\"not-run\"");
		this.booking.behave(BookingService.Behaviour.ANSWER);
		assertThat(call(HttpMethod.POST, "/bookings", "key-8", "villa-8").status()).isEqualTo(201);
		assertThat(this.booking.runs("villa-8")).isOne();
	}

	@Test
	void shouldTryOtherServerWhenOneRefuses() {
		try (BookingService other = BookingService.start("vm-b")) {
			this.servers.add(other.server("tunis-b"));
			this.booking.behave(BookingService.Behaviour.REFUSE);
			assertThat(call(HttpMethod.POST, "/bookings", "key-9", "villa-9").status()).isEqualTo(201);
			assertThat(other.runs("villa-9")).isOne();
		}
	}

	// The service books the visit and its connection breaks or falls silent before the
	// answer. Sent to another backend server, the villa gets two cleaners.
	@ParameterizedTest
	@EnumSource(value = BookingService.Behaviour.class, names = { "BREAK", "SILENT" })
	void shouldNeverRunAgainWhenAnswerIsMissing(BookingService.Behaviour behaviour) {
		try (BookingService other = BookingService.start("vm-b")) {
			this.servers.add(other.server("tunis-b"));
			this.booking.behave(behaviour);
			Answer first = call(HttpMethod.POST, "/bookings", "key-10", "villa-10");
			assertThat(first.body()).contains("outcome-unknown", "\"verdict\":\"may-have-run\"");
			this.booking.behave(BookingService.Behaviour.ANSWER);
			Answer repeat = call(HttpMethod.POST, "/bookings", "key-10", "villa-10");
			assertThat(repeat.body()).contains("\"verdict\":\"may-have-run\"");
			assertThat(this.booking.runs("villa-10") + other.runs("villa-10")).isOne();
		}
	}

	// The booking ran and the store cannot keep its outcome in time: the caller still
	// reads its confirmation, and the outcome is stored when the store is back.
	@Test
	void shouldAnswerWhatRanWhenOutcomeCannotBeStored() {
		AtomicInteger commits = new AtomicInteger();
		this.tables.refuse((_) -> commits.incrementAndGet() > 1);
		Answer first = call(HttpMethod.POST, "/bookings", "key-11", "villa-11");
		assertThat(first.status()).isEqualTo(201);
		this.tables.refuse((_) -> false);
		this.calls.drain().block(LIMIT);
		assertThat(call(HttpMethod.POST, "/bookings", "key-11", "villa-11")).isEqualTo(first);
		assertThat(this.booking.runs("villa-11")).isOne();
	}

	@Test
	void shouldSayThatItRanWhenOutcomeIsTooLargeToKeep() {
		this.booking.answerBytes(100_000);
		Answer first = call(HttpMethod.POST, "/bookings", "key-12", "villa-12");
		assertThat(first.body()).hasSizeGreaterThan(100_000);
		Answer repeat = call(HttpMethod.POST, "/bookings", "key-12", "villa-12");
		assertThat(repeat.body()).contains("outcome-too-large", "\"verdict\":\"ran\"");
		assertThat(this.booking.runs("villa-12")).isOne();
	}

	// An entry claimed the key and died; nobody knows whether it sent the booking. Run
	// by the repeat, the booking could be doubled. An entry known to be gone, or an
	// earlier process of this VM, is answered for at once; for any other the repeat
	// waits as for a running call.
	@ParameterizedTest
	@CsvSource({ "gone, its outcome is unknown", "entry-1, its outcome is unknown", "entry-2, has no outcome yet" })
	void shouldNotRunWhenHolderDied(String holder, String detail) {
		HeldClaim.write(this.tables, holder, "key-14", "villa-14");
		Answer repeat = call(HttpMethod.POST, "/bookings", "key-14", "villa-14");
		assertThat(repeat.body()).contains("\"verdict\":\"may-have-run\"", detail);
		assertThat(this.booking.runs("villa-14")).isZero();
	}

	@Test
	void shouldRefuseWhenBodyIsTooLarge() {
		Answer answer = call(HttpMethod.POST, "/bookings", "key-13", "x".repeat(2 << 20));
		assertThat(answer.status()).isEqualTo(413);
	}

	private Answer call(HttpMethod method, String path, String key, String body) {
		return exchange(method, path, key, body).block(LIMIT);
	}

	private Mono<Answer> exchange(HttpMethod method, String path, String key, String body) {
		return HttpClient.newConnection()
			.headers((headers) -> headersOf(headers, key))
			.request(method)
			.uri("http://127.0.0.1:" + this.entry.port() + "/services/booking" + path)
			.send(ByteBufFlux.fromString(Mono.just(body)))
			.responseSingle((head, content) -> content.asString()
				.defaultIfEmpty("")
				.map((text) -> new Answer(head.status().code(), text)));
	}

	private static void headersOf(HttpHeaders headers, String key) {
		headers.set("Authorization", "Bearer secret").set("X-Kept", "yes").set("X-Hop", "no");
		headers.set("Connection", "X-Hop");
		if (!key.isEmpty()) {
			headers.set("Idempotency-Key", key);
		}
	}

	static Configuration configuration() {
		Resource.Pool pool = new Resource.Pool("booking", Resource.Serves.SERVICE, List.of(), List.of("tunis-a"),
				List.of("small"), 1, 3, Resource.Fencing.IGNORED, 8, 1, 1, List.of("/quotes"));
		return Configuration.empty().with(1, List.of(pool), List.of());
	}

	private static ServiceCallSettings settings() {
		return new ServiceCallSettings(new VmId("entry-1"), "tunis-a", 3_000, 1_000, 1_000, 2_500, 3, 1 << 20, 4 << 20,
				64 << 10, 100, 2);
	}

	private record Answer(int status, String body) {
	}

}
