package org.rosemaryfront.services;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
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
		this.calls = ServiceCalls.of(settings(), this.tables, ServiceCallsTests::configuration, () -> this.servers);
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

	private Answer call(HttpMethod method, String path, String key, String body) {
		return HttpClient.newConnection()
			.headers((headers) -> headersOf(headers, key))
			.request(method)
			.uri("http://127.0.0.1:" + this.entry.port() + "/services/booking" + path)
			.send(ByteBufFlux.fromString(Mono.just(body)))
			.responseSingle((head, content) -> content.asString()
				.defaultIfEmpty("")
				.map((text) -> new Answer(head.status().code(), text)))
			.block(LIMIT);
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
		return ServiceCallSettings.standard(new VmId("entry-1"), "tunis-a");
	}

	private record Answer(int status, String body) {
	}

}
