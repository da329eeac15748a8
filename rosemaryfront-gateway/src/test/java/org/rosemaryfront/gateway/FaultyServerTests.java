package org.rosemaryfront.gateway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rosemaryfront.gateway.RawCaller.Response;
import org.rosemaryfront.standin.net.Relay;

import static org.assertj.core.api.Assertions.assertThat;

class FaultyServerTests {

	private GatewayHarness gateway;

	@BeforeEach
	void start() {
		this.gateway = GatewayHarness.start();
	}

	@AfterEach
	void stop() {
		this.gateway.close();
	}

	// -- connections

	// Guards against pooled connections that stay open but carry no data: each of them
	// cost one call its timeout.
	@Test
	void shouldFailOneCallOnlyWhenConnectionsToServerCarryNoData() throws Exception {
		CountDownLatch bothReceived = new CountDownLatch(2);
		try (ScriptedServer server = ScriptedServer.start((request, exchange) -> {
			bothReceived.countDown();
			awaitZero(bothReceived);
			exchange.ok(request, "x");
		}); Relay relay = Relay.start(server.address())) {
			this.gateway.declare();
			this.gateway.store.put(GatewayHarness.SERVERS, "s1", "app " + relay.address() + " ready");
			this.gateway.ready(List.of("s1"));
			CompletableFuture<Integer> other = CompletableFuture.supplyAsync(() -> shortCall("c1"));
			assertThat(shortCall("c2")).isEqualTo(200);
			assertThat(other.get()).isEqualTo(200);
			assertThat(server.connections()).isEqualTo(2);
			relay.silence();
			assertThat(shortCall("c3")).isEqualTo(504);
			assertThat(shortCall("c4")).isEqualTo(200);
		}
	}

	private int shortCall(String id) {
		try {
			return this.gateway.send(RawCaller.get(id, "/short/")).status();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static void awaitZero(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// -- retries

	// A booking was sent and its response lost. A retry would send two crews; a "not run"
	// response would make the caller book again, with the same effect.
	@ParameterizedTest
	@ValueSource(strings = { "reset", "close", "half" })
	void shouldNotRetryNonRepeatableCallWhenItMayHaveRun(String end) throws IOException {
		try (ScriptedServer server = this.gateway.startServer((request, exchange) -> {
			if (end.equals("half")) {
				exchange.write("HTTP/1.1 200 OK\r\nCall: c1\r\nSignature: s\r\nContent-Length: 100\r\n\r\nhalf");
			}
			if (end.equals("reset")) {
				exchange.reset();
			}
			else {
				exchange.socket().close();
			}
		})) {
			Response response = this.gateway.send(RawCaller.post("c1", "/visits/", "x"));
			assertThat(response.status()).isEqualTo(502);
			assertThat(server.requests()).hasSize(1);
		}
	}

	@ParameterizedTest
	@CsvSource({ "/sheets/, reset", "/sheets/, half", "/sheets/, error", "/visits/, refused" })
	void shouldRetryOnceWhenCallMayBeRepeated(String path, String fault) throws IOException {
		AtomicInteger runs = new AtomicInteger();
		ScriptedServer.Script script = (request, exchange) -> {
			if (runs.getAndIncrement() > 0) {
				exchange.ok(request, "good");
				return;
			}
			switch (fault) {
				case "error" -> exchange.status(request, 500, "Signature: s\r\n");
				case "refused" -> exchange.status(request, 503, "Not-Run: 1\r\n");
				case "half" -> {
					exchange.write("HTTP/1.1 200 OK\r\nCall: c1\r\nSignature: s\r\nContent-Length: 100\r\n\r\nhalf");
					exchange.socket().close();
				}
				default -> exchange.reset();
			}
		};
		try (ScriptedServer _ = this.gateway.startServer(script);
				ScriptedServer second = ScriptedServer.start(script)) {
			this.gateway.register("s2", second);
			this.gateway.ready();
			Response response = this.gateway.send(RawCaller.post("c1", path, "x"));
			assertThat(response.status()).isEqualTo(200);
			assertThat(response.body()).isEqualTo("good");
			assertThat(runs.get()).isEqualTo(2);
		}
	}

	@Test
	void shouldRespondNotRunWhenNoServerRanCall() throws IOException {
		try (ScriptedServer server = this.gateway
			.startServer((request, exchange) -> exchange.status(request, 503, "Not-Run: 1\r\n"))) {
			Response response = this.gateway.send(RawCaller.post("c1", "/visits/", "x"));
			assertThat(response.status()).isEqualTo(503);
			assertThat(response.hasHeader("retry-after")).isTrue();
			assertThat(server.requests()).hasSize(1);
		}
	}

	@Test
	void shouldForwardServerErrorWhenNoRetryIsPossible() throws IOException {
		try (ScriptedServer _ = this.gateway
			.startServer((request, exchange) -> exchange.status(request, 500, "Signature: s\r\n"))) {
			Response response = this.gateway.send(RawCaller.post("c1", "/visits/", "x"));
			assertThat(response.status()).isEqualTo(500);
			assertThat(response.hasHeader("signature")).isTrue();
		}
	}

	// Guards against a status that promises that a call has not run and never will, while
	// its server did not say so.
	@ParameterizedTest
	@ValueSource(ints = { 408, 421, 429, 503 })
	void shouldNotPromiseNotRunWhenServerDoesNotStateIt(int status) throws IOException {
		try (ScriptedServer server = this.gateway
			.startServer((request, exchange) -> exchange.status(request, status, "Signature: s\r\n"))) {
			for (String path : List.of("/visits/", "/drafts/")) {
				Response response = this.gateway.send(RawCaller.post("c1", path, "x"));
				assertThat(response.status()).isEqualTo(502);
				assertThat(response.hasHeader("signature")).isFalse();
			}
			assertThat(server.requests()).hasSize(2);
		}
	}

	// A call that may run twice loses nothing by the promise.
	@ParameterizedTest
	@ValueSource(ints = { 408, 421, 429, 503 })
	void shouldForwardStatusWhenCallMayBeRepeated(int status) throws IOException {
		try (ScriptedServer _ = this.gateway
			.startServer((request, exchange) -> exchange.status(request, status, "Signature: s\r\n"))) {
			Response response = this.gateway.send(RawCaller.post("c1", "/sheets/", "x"));
			assertThat(response.status()).isEqualTo(status);
		}
	}

	// A repeatable call fails at the only server of its service, so there is no server
	// for the retry. If the gateway responded "not run", the caller would wrongly assume
	// that the call had no effect.
	@Test
	void shouldNotRespondNotRunWhenCallRanAndNoOtherServerIsLeft() throws IOException {
		try (ScriptedServer server = this.gateway
			.startServer((request, exchange) -> exchange.status(request, 500, "Signature: s\r\n"))) {
			assertThat(this.gateway.send(RawCaller.post("c1", "/sheets/", "x")).status()).isEqualTo(500);
			assertThat(server.requests()).hasSize(1);
		}
	}

	// Guards against "not run" about a call that an earlier server may have run, because
	// the
	// last one rejected it.
	@ParameterizedTest
	@ValueSource(strings = { "/sheets/", "/summaries/" })
	void shouldNotRespondNotRunWhenEarlierServerMayHaveRunCall(String path) throws IOException {
		AtomicInteger attempts = new AtomicInteger();
		ScriptedServer.Script script = (request, exchange) -> {
			if (attempts.getAndIncrement() == 0) {
				exchange.reset();
			}
			else {
				exchange.status(request, 503, "Not-Run: 1\r\n");
			}
		};
		try (ScriptedServer _ = this.gateway.startServer(script);
				ScriptedServer second = ScriptedServer.start(script)) {
			this.gateway.register("s2", second);
			this.gateway.ready();
			assertThat(this.gateway.send(RawCaller.post("c1", path, "x")).status()).isEqualTo(502);
			assertThat(attempts.get()).isEqualTo(2);
		}
	}

	@Test
	void shouldTryNextServerWhenOneIsUnreachable() throws IOException {
		try (ScriptedServer dead = ScriptedServer.start((_, _) -> {
		}); ScriptedServer server = this.gateway.startServer((request, exchange) -> exchange.ok(request, "good"))) {
			String address = dead.address();
			dead.close();
			this.gateway.store.put(GatewayHarness.SERVERS, "s0", "app " + address + " ready");
			for (int i = 0; i < 6; i++) {
				assertThat(this.gateway.send(RawCaller.post("c" + i, "/visits/", "x")).status()).isEqualTo(200);
			}
			assertThat(server.requests()).hasSize(6);
		}
	}

	// An unresponsive server accepts calls on open connections and never responds. If
	// missing responses were not counted, every second call would wait there until its
	// timeout.
	@Test
	void shouldAvoidServerWhenItDoesNotRespond() throws IOException {
		try (ScriptedServer _ = this.gateway.startServer((_, exchange) -> exchange.hold());
				ScriptedServer good = ScriptedServer.start((request, exchange) -> exchange.ok(request, "good"))) {
			this.gateway.register("s2", good);
			this.gateway.ready();
			int unanswered = 0;
			for (int i = 0; i < 12; i++) {
				unanswered += (this.gateway.send(RawCaller.get("c" + i, "/short/")).status() == 504) ? 1 : 0;
			}
			assertThat(unanswered).isBetween(1, 4);
		}
	}

	// -- matching responses to calls

	// A faulty server sends an extra response after a valid one. Treated as the response
	// to the next call, it would show one household the booking of another.
	@Test
	void shouldDiscardExtraResponseWhenNextCallIsSent() throws Exception {
		try (ScriptedServer _ = this.gateway.startServer((request, exchange) -> {
			exchange.ok(request, request.call());
			exchange.ok(request, "extra");
		}); RawCaller caller = this.gateway.caller()) {
			for (int i = 0; i < 10; i++) {
				Response response = caller.send(RawCaller.get("c" + i, "/sheets/")).read();
				assertThat(response.body()).isEqualTo("c" + i);
			}
		}
	}

	// The extra response arrives late, while the next one is awaited.
	@Test
	void shouldSkipResponseWhenItNamesAnotherCall() throws IOException {
		try (ScriptedServer _ = this.gateway.startServer((request, exchange) -> {
			exchange.write("HTTP/1.1 200 OK\r\nCall: other\r\nSignature: s\r\nContent-Length: 5\r\n\r\nwrong");
			exchange.ok(request, "right");
		})) {
			assertThat(this.gateway.send(RawCaller.post("c1", "/visits/", "x")).body()).isEqualTo("right");
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "this is no answer\r\n\r\n",
			"HTTP/1.1 200 OK\r\nCall: c1\r\nContent-Length: 8\r\n\r\nunsigned" })
	void shouldNotForwardResponseWhenItIsInvalid(String bytes) throws IOException {
		try (ScriptedServer _ = this.gateway.startServer((_, exchange) -> exchange.write(bytes))) {
			Response response = this.gateway.send(RawCaller.post("c1", "/visits/", "x"));
			assertThat(response.status()).isEqualTo(502);
			assertThat(response.body()).doesNotContain("unsigned");
		}
	}

	// A response without a length ends when its connection is closed. After a reset bytes
	// may be missing although the response looks complete.
	@ParameterizedTest
	@CsvSource({ "close, 200", "reset, 502" })
	void shouldAcceptResponseWithoutLengthOnlyWhenConnectionClosesCleanly(String end, int status) throws IOException {
		try (ScriptedServer _ = this.gateway.startServer((request, exchange) -> {
			exchange.write("HTTP/1.1 200 OK\r\nCall: " + request.call() + "\r\nSignature: s\r\n\r\nall of it");
			if (end.equals("reset")) {
				sleep(200);
				exchange.reset();
			}
			else {
				exchange.socket().close();
			}
		})) {
			assertThat(this.gateway.send(RawCaller.post("c1", "/visits/", "x")).status()).isEqualTo(status);
		}
	}

	// -- helpers

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
