package org.rosemaryfront.gateway;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rosemaryfront.gateway.RawCaller.Response;
import org.rosemaryfront.gateway.ScriptedServer.Request;
import org.rosemaryfront.routes.CallerLimits;

import static org.assertj.core.api.Assertions.assertThat;

class ForwardingTests {

	private static final String EVENTS = "HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n";

	private GatewayHarness gateway;

	@BeforeEach
	void start() {
		this.gateway = GatewayHarness.start();
	}

	@AfterEach
	void stop() {
		this.gateway.close();
	}

	// -- successful calls

	@Test
	void shouldForwardMethodPathBodyAndResponseUnchanged() throws IOException {
		try (ScriptedServer server = this.gateway.startServer((request, exchange) -> exchange.ok(request, "booked"))) {
			Response response = this.gateway.send(RawCaller.post("c1", "/visits/7?when=now", "visit"));
			assertThat(response.status()).isEqualTo(200);
			assertThat(response.body()).isEqualTo("booked");
			assertThat(response.hasHeader("signature")).isTrue();
			Request sent = server.requests().getFirst();
			assertThat(sent.line()).isEqualTo("POST /visits/7?when=now HTTP/1.1");
			assertThat(sent.body()).isEqualTo("visit");
			assertThat(sent.header("organisation")).isEqualTo("sfax");
			assertThat(sent.header("server")).isEqualTo("s1");
			assertThat(sent.header("key")).isEmpty();
			assertThat(Long.parseLong(sent.header("remaining"))).isBetween(1L, 3_000L);
		}
	}

	// Guards against a path with bytes above 127 that reaches the server in another
	// encoding.
	@ParameterizedTest
	@ValueSource(strings = { "/sheets/caf\u00e9", "/sheets/?name=\u20ac", "/sheets/\ud83c\udf3f", "/sheets/%C3%A9" })
	void shouldForwardPathUnchangedWhenItIsNotAscii(String path) throws IOException {
		try (ScriptedServer server = this.gateway.startServer((request, exchange) -> exchange.ok(request, "x"))) {
			assertThat(this.gateway.send(RawCaller.get("c1", path)).status()).isEqualTo(200);
			byte[] line = server.requests().getFirst().line().getBytes(StandardCharsets.ISO_8859_1);
			assertThat(line).isEqualTo(("GET " + path + " HTTP/1.1").getBytes(StandardCharsets.UTF_8));
		}
	}

	// Guards against a path that reaches the server with other bytes, since they are not
	// valid UTF-8.
	@ParameterizedTest
	@ValueSource(strings = { "/sheets/\u00e9", "/sheets/\u00c3", "/sheets/?name=\u00ff", "/sheets/\u00c0\u00af" })
	void shouldRefuseRequestWhenBytesOfPathAreNotUtf8(String path) throws IOException {
		try (ScriptedServer server = this.gateway.startServer((request, exchange) -> exchange.ok(request, "x"));
				RawCaller caller = this.gateway.caller()) {
			byte[] request = RawCaller.get("c1", path).getBytes(StandardCharsets.ISO_8859_1);
			assertThat(caller.send(request).read().status()).isEqualTo(400);
			assertThat(server.requests()).isEmpty();
		}
	}

	// Guards against sending a request to a server although its caller disconnected while
	// the request was unread at a busy gateway.
	@Test
	void shouldNotSendRequestWhenCallerDisconnectedBeforeItWasRead() throws Exception {
		try (ScriptedServer server = this.gateway.startServer((request, exchange) -> exchange.ok(request, "x"));
				RawCaller caller = this.gateway.caller()) {
			assertThat(caller.send(RawCaller.get("c1", "/sheets/")).read().status()).isEqualTo(200);
			CountDownLatch begun = new CountDownLatch(1);
			CountDownLatch until = new CountDownLatch(1);
			this.gateway.stall(begun, until);
			begun.await();
			caller.send(RawCaller.get("c2", "/sheets/"));
			caller.close();
			until.countDown();
			assertThat(this.gateway.send(RawCaller.get("c3", "/sheets/")).status()).isEqualTo(200);
			assertThat(server.requests()).extracting((request) -> request.header("call")).containsExactly("c1", "c3");
		}
	}

	@Test
	void shouldNotForwardMoreTimeThanRemains() throws IOException {
		try (ScriptedServer server = this.gateway.startServer((request, exchange) -> exchange.ok(request, "x"))) {
			this.gateway.send(RawCaller.get("c1", "/sheets/").replace("Key:", "Remaining: 700\r\nKey:"));
			assertThat(Long.parseLong(server.requests().getFirst().header("remaining"))).isBetween(1L, 700L);
		}
	}

	@Test
	void shouldAcceptLongChunkedBody() throws IOException {
		try (ScriptedServer server = this.gateway.startServer((request, exchange) -> exchange.ok(request, "x"))) {
			String chunk = "x".repeat(10_000);
			StringBuilder body = new StringBuilder();
			for (int i = 0; i < 10; i++) {
				body.append(Integer.toHexString(chunk.length())).append("\r\n").append(chunk).append("\r\n");
			}
			Response response = this.gateway
				.send("POST /visits/ HTTP/1.1\r\nHost: a.example\r\nCall: c1\r\nKey: key-1\r\n"
						+ "Transfer-Encoding: chunked\r\n\r\n" + body + "0\r\n\r\n");
			assertThat(response.status()).isEqualTo(200);
			assertThat(server.requests().getFirst().body()).isEqualTo(chunk.repeat(10));
		}
	}

	@Test
	void shouldReuseConnections() throws IOException {
		try (ScriptedServer server = this.gateway.startServer((request, exchange) -> exchange.ok(request, "x"));
				RawCaller caller = this.gateway.caller()) {
			for (int i = 0; i < 5; i++) {
				assertThat(caller.send(RawCaller.get("c" + i, "/sheets/")).read().status()).isEqualTo(200);
			}
			assertThat(server.connections()).isEqualTo(1);
		}
	}

	@Test
	void shouldRespondInOrderWhenRequestsArePipelined() throws IOException {
		try (ScriptedServer _ = this.gateway.startServer((request, exchange) -> exchange.ok(request, request.call()));
				RawCaller caller = this.gateway.caller()) {
			caller.send(RawCaller.get("c1", "/sheets/") + RawCaller.post("c2", "/visits/", "x")
					+ RawCaller.get("c3", "/sheets/"));
			for (int i = 1; i <= 3; i++) {
				assertThat(caller.read().body()).isEqualTo("c" + i);
			}
		}
	}

	// -- refusals

	// The first calls arrive before the configuration is read. A 404 would say that their
	// route does not exist, and the callers would not retry.
	@Test
	void shouldRespondRetryAfterWhenNoConfigurationIsLoaded() throws IOException {
		Response response = this.gateway.send(RawCaller.get("c1", "/sheets/"));
		assertThat(response.status()).isEqualTo(503);
		assertThat(response.hasHeader("retry-after")).isTrue();
		assertThat(this.gateway.readiness()).isEqualTo(503);
	}

	// The timeout of a request queued behind another one on the same connection runs from
	// its arrival. If the server were given the full timeout, it would go on working
	// after the caller left.
	@Test
	void shouldCountQueueingTimeWhenRequestsArePipelined() throws IOException {
		try (ScriptedServer server = this.gateway.startServer((request, exchange) -> {
			pause(300);
			exchange.ok(request, "x");
		}); RawCaller caller = this.gateway.caller()) {
			caller.send(RawCaller.get("c1", "/sheets/"))
				.send(RawCaller.get("c2", "/sheets/").replace("Key:", "Remaining: 2000\r\nKey:"));
			caller.read();
			caller.read();
			assertThat(Long.parseLong(server.requests().get(1).header("remaining"))).isLessThanOrEqualTo(1_700L);
		}
	}

	private static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new AssertionError(ex);
		}
	}

	@ParameterizedTest
	@CsvSource({ "/nowhere/, key-1, 404", "/sheets/, key-2, 401", "/sheets/, key-1, 503" })
	void shouldRefuseCallWhenRouteKeyOrServerIsMissing(String path, String key, int status) throws IOException {
		this.gateway.declare().ready();
		Response response = this.gateway.send(RawCaller.get("c1", path).replace("key-1", key));
		assertThat(response.status()).isEqualTo(status);
	}

	@Test
	void shouldRefuseWithRetryAfterWhenQuotaIsExceeded() throws IOException {
		this.gateway.declare(GatewayHarness.configuration(1, CallerLimits.INITIAL, GatewayHarness.organisation(0.001)));
		try (ScriptedServer server = ScriptedServer.start((request, exchange) -> exchange.ok(request, "x"))) {
			this.gateway.register("s1", server).ready();
			Response over = this.gateway.send(RawCaller.get("c1", "/sheets/"));
			while (over.status() == 200) {
				over = this.gateway.send(RawCaller.get("c1", "/sheets/"));
			}
			assertThat(over.status()).isEqualTo(429);
			assertThat(over.hasHeader("retry-after")).isTrue();
			assertThat(server.requests()).hasSizeLessThanOrEqualTo(1);
		}
	}

	@Test
	void shouldCountOutcomesByOrganisationWhenCallsAreNotServedInTime() throws IOException {
		this.gateway.declare();
		try (ScriptedServer server = ScriptedServer.start((request, exchange) -> exchange.write(
				"HTTP/1.1 500 Failed\r\nCall: " + request.call() + "\r\nSignature: s\r\nContent-Length: 1\r\n\r\nx"))) {
			this.gateway.ready();
			assertThat(this.gateway.send(RawCaller.get("c1", "/sheets/")).status()).isEqualTo(503);
			this.gateway.register("s1", server).ready();
			assertThat(this.gateway.send(RawCaller.get("c2", "/sheets/")).status()).isEqualTo(500);
			assertThat(this.gateway.metric("counters", "organisations.refused.sfax")).isOne();
			assertThat(this.gateway.metric("counters", "organisations.failed.sfax")).isOne();
		}
	}

	// Guards against request smuggling: the gateway reads one request, the server two,
	// and the second runs without a check of its key.
	@ParameterizedTest
	@ValueSource(strings = { "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "Content-Length: 5, 6\r\n",
			"Content-Length: 5\r\nContent-Length: 6\r\n", "Transfer-Encoding: gzip, chunked\r\n",
			"Transfer-Encoding : chunked\r\n", "Transfer-Encoding: xchunked\r\n", "Content-Length: +5\r\n",
			"Content-Length: 5\n" })
	void shouldRefuseRequestWhenFramingIsAmbiguous(String framing) throws IOException {
		try (ScriptedServer server = this.gateway.startServer((request, exchange) -> exchange.ok(request, "x"));
				RawCaller caller = this.gateway.caller()) {
			caller.send("POST /visits/ HTTP/1.1\r\nHost: a.example\r\nCall: c1\r\nKey: key-1\r\n" + framing
					+ "\r\n0\r\n\r\nGET /sheets/ HTTP/1.1\r\nHost: a.example\r\nCall: c2\r\nKey: key-1\r\n\r\n");
			assertThat(caller.read().status()).isEqualTo(400);
			assertThat(caller.isClosed()).isTrue();
			assertThat(server.requests()).isEmpty();
		}
	}

	@Test
	void shouldRefuseRequestWhenItHasTwoHosts() throws IOException {
		this.gateway.declare().ready();
		assertThat(this.gateway.send("GET /sheets/ HTTP/1.1\r\nHost: a.example\r\nHost: b.example\r\n\r\n").status())
			.isEqualTo(400);
	}

	@Test
	void shouldRefuseRequestWhenHeadersOrBodyAreTooLong() throws IOException {
		this.gateway
			.declare(GatewayHarness.configuration(1, new CallerLimits(2_000, 1_000, 3_000, 15_000),
					GatewayHarness.organisation(0)))
			.ready();
		assertThat(this.gateway
			.send(RawCaller.get("c1", "/sheets/").replace("Key:", "X: " + "y".repeat(3_000) + "\r\nKey:"))
			.status()).isEqualTo(431);
		assertThat(this.gateway.send(RawCaller.post("c2", "/visits/", "x".repeat(1_001))).status()).isEqualTo(413);
	}

	@Test
	void shouldCloseConnectionWhenRequestStaysIncomplete() throws IOException {
		this.gateway
			.declare(GatewayHarness.configuration(1, new CallerLimits(2_000, 1_000, 300, 15_000),
					GatewayHarness.organisation(0)))
			.ready();
		try (RawCaller caller = this.gateway.caller()) {
			assertThat(caller.send("GET /sheets/ HTTP/1.1\r\nHost: a.exam").read().status()).isEqualTo(408);
			assertThat(caller.isClosed()).isTrue();
		}
	}

	// -- streams

	@Test
	void shouldForwardEventsAsTheyArrive() throws IOException {
		try (ScriptedServer server = this.gateway.startServer((request, exchange) -> {
			exchange.write(EVENTS + "Call: " + request.call() + "\r\n\r\n");
			exchange.write(chunk("id: 1\ndata: a\n\n"));
			exchange.hold();
		}); RawCaller caller = this.gateway.caller()) {
			caller.send(RawCaller.post("c1", "/drafts/", "x"));
			GatewayHarness.await(() -> !server.requests().isEmpty());
			assertThat(caller.readEvent()).contains("id: 1");
		}
	}

	// A server fails in the middle of an event and the response is resumed at another
	// server. The caller must receive each event exactly once and whole.
	@Test
	void shouldResumeStreamAtAnotherServerWhenServerFails() throws IOException {
		AtomicInteger runs = new AtomicInteger();
		ScriptedServer.Script script = (request, exchange) -> {
			exchange.write(EVENTS + "Call: " + request.call() + "\r\n\r\n");
			if (runs.getAndIncrement() == 0) {
				exchange.write(chunk("id: 1\ndata: a\n\nid: 2\nda"));
				exchange.reset();
			}
			else {
				exchange.write(chunk("id: 2\ndata: b\n\n") + chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
			}
		};
		try (ScriptedServer first = this.gateway.startServer(script);
				ScriptedServer second = ScriptedServer.start(script)) {
			this.gateway.register("s2", second);
			GatewayHarness.await(() -> this.gateway.knowsServer("s2"));
			Response response = this.gateway.send(RawCaller.post("c1", "/summaries/", "x"));
			assertThat(response.complete()).isTrue();
			assertThat(response.body()).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
			assertThat(Stream.of(first, second).flatMap((server) -> server.requests().stream()))
				.extracting((sent) -> sent.header("resume-after"))
				.containsExactlyInAnyOrder("", "1");
		}
	}

	// A stream that must not be resumed breaks. The caller must not mistake the partial
	// response for a complete one.
	@Test
	void shouldEndResponseIncompleteWhenStreamBreaks() throws IOException {
		try (ScriptedServer server = this.gateway.startServer((request, exchange) -> {
			exchange.write(EVENTS + "Call: " + request.call() + "\r\n\r\n" + chunk("id: 1\ndata: a\n\n"));
			exchange.reset();
		})) {
			Response response = this.gateway.send(RawCaller.post("c1", "/drafts/", "x"));
			assertThat(response.complete()).isFalse();
			assertThat(server.requests()).hasSize(1);
		}
	}

	// -- callers that disconnect

	// Guards against calls that go on at a server after the caller disconnected and hold
	// a slot that other calls wait for.
	@ParameterizedTest
	@ValueSource(strings = { "/sheets/", "/visits/", "/drafts/" })
	void shouldEndCallAtServerWhenCallerDisconnects(String path) throws Exception {
		try (ScriptedServer server = this.gateway.startServer((request, exchange) -> exchange.hold())) {
			try (RawCaller caller = this.gateway.caller()) {
				caller.send(RawCaller.post("c1", path, "x"));
				GatewayHarness.await(() -> !server.requests().isEmpty());
			}
			assertThat(server.awaitDisconnect()).isTrue();
		}
	}

	@Test
	void shouldRespondAndFreeServerWhenRouteTimesOut() throws Exception {
		try (ScriptedServer server = this.gateway.startServer((request, exchange) -> exchange.hold())) {
			assertThat(this.gateway.send(RawCaller.get("c1", "/short/")).status()).isEqualTo(504);
			assertThat(server.awaitDisconnect()).isTrue();
		}
	}

	// -- helpers

	private static String chunk(String text) {
		return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
	}

}
