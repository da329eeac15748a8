package org.rosemaryfront.standin.service;

import java.time.Duration;
import java.util.Map;

import io.netty.handler.timeout.ReadTimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class ServiceServerTests {

	private static final Duration LIMIT = Duration.ofSeconds(10);

	private final ServiceServer service = ServiceServer.start(ServiceSettings.local(20));

	private final HttpClient client = HttpClient.newConnection().disableRetry(true);

	@AfterEach
	void stop() {
		this.service.close();
	}

	@Test
	void shouldCountEveryExecutionWhenCalled() {
		assertThat(book("k1").status().code()).isEqualTo(201);
		assertThat(book("k1").status().code()).isEqualTo(201);
		assertThat(book("k2").status().code()).isEqualTo(201);
		assertThat(this.service.executions()).isEqualTo(Map.of("k1", 2, "k2", 1));
	}

	@Test
	void shouldSayThatItDidNotRunWhenRefused() {
		fault("{\"kind\": \"refuse\", \"calls\": 1}");
		HttpClientResponse refused = book("k1");
		assertThat(refused.status().code()).isEqualTo(503);
		assertThat(refused.responseHeaders().get("X-Not-Run")).isEqualTo("true");
		assertThat(this.service.executions()).isEmpty();
		assertThat(book("k1").status().code()).isEqualTo(201);
	}

	@Test
	void shouldHaveRunWhenOnlyTheAnswerIsLost() {
		fault("{\"kind\": \"lost-answer\", \"calls\": 1}");
		assertThatThrownBy(() -> book("k1")).isNotNull();
		assertThat(this.service.executions()).isEqualTo(Map.of("k1", 1));
	}

	@Test
	void shouldNotHaveRunWhenItDiesMidCall() {
		fault("{\"kind\": \"die-mid-call\", \"calls\": 1}");
		assertThatThrownBy(() -> book("k1")).isNotNull();
		assertThat(this.service.executions()).isEmpty();
	}

	/**
	 * A VM whose connections went silent ends while a booking runs on it, and another VM
	 * boots on the machine at once. Nothing closes the silent connection, so nothing but
	 * the boot it was taken in ends the booking. It must not run on the new VM, or a test
	 * would see a call run that no VM was asked for.
	 */
	@Test
	void shouldNotRunOnTheNextVmWhenTheVmEndsMidCall() {
		fault("{\"kind\": \"slow\", \"delayMillis\": 400}");
		Mono<Integer> booking = call("k1").map((response) -> response.status().code()).onErrorReturn(-1).cache();
		booking.subscribe();
		awaitConnections(1);
		fault("{\"kind\": \"silent\"}");
		post("/standin/v1/halt", "");
		post("/standin/v1/boot", "{\"vm\": \"vm-2\"}");
		assertThat(booking.block(LIMIT)).isEqualTo(-1);
		fault("{\"kind\": \"slow\", \"delayMillis\": 600}");
		assertThat(book("k2").status().code()).isEqualTo(201);
		assertThat(this.service.executions()).isEqualTo(Map.of("k2", 1));
	}

	@Test
	void shouldAnswerNothingOnOldConnectionsWhenSilent() {
		ConnectionProvider pool = ConnectionProvider.create("test", 1);
		HttpClient pooled = HttpClient.create(pool).disableRetry(true).responseTimeout(Duration.ofMillis(500));
		String sheet = "http://" + this.service.address() + "/sheets/4";
		Mono<String> read = pooled.get().uri(sheet).responseContent().aggregate().asString();
		assertThat(read.block(LIMIT)).contains("\"round\":\"4\"");
		fault("{\"kind\": \"silent\"}");
		assertThatThrownBy(() -> read.block(LIMIT)).isInstanceOf(ReadTimeoutException.class);
		assertThat(read.block(LIMIT)).contains("\"round\":\"4\"");
		pool.dispose();
	}

	@Test
	void shouldAnswerAfterTheFreezeWhenFrozen() {
		long before = System.nanoTime();
		fault("{\"kind\": \"freeze\", \"millis\": 300}");
		assertThat(book("k1").status().code()).isEqualTo(201);
		assertThat(System.nanoTime() - before).isGreaterThanOrEqualTo(Duration.ofMillis(300).toNanos());
	}

	private HttpClientResponse book(String key) {
		return call(key).block(LIMIT);
	}

	private Mono<HttpClientResponse> call(String key) {
		return this.client.responseTimeout(Duration.ofSeconds(2))
			.headers((headers) -> headers.set("Idempotency-Key", key))
			.post()
			.uri("http://" + this.service.address() + "/bookings")
			.send(ByteBufMono.fromString(Mono.just("{\"household\": \"h\", \"slot\": \"s\"}")))
			.response();
	}

	private void fault(String body) {
		post("/standin/v1/faults", body);
	}

	private void post(String path, String body) {
		this.client.post()
			.uri("http://" + this.service.address() + path)
			.send(ByteBufMono.fromString(Mono.just(body)))
			.response()
			.block(LIMIT);
	}

	private void awaitConnections(int count) {
		long end = System.nanoTime() + LIMIT.toNanos();
		String stats;
		do {
			assertThat(System.nanoTime()).isLessThan(end);
			stats = this.client.get()
				.uri("http://" + this.service.address() + "/standin/v1/stats")
				.responseContent()
				.aggregate()
				.asString()
				.block(LIMIT);
		}
		while (!stats.contains("\"connections\":" + (count + 1)));
	}

}
