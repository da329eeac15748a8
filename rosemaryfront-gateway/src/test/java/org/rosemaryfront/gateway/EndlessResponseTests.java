package org.rosemaryfront.gateway;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rosemaryfront.gateway.RawCaller.Response;
import org.rosemaryfront.gateway.ScriptedServer.Exchange;

import static org.assertj.core.api.Assertions.assertThat;

// Guards against a server whose bytes never end: they took memory and processor time
// until the deadline of the call.
class EndlessResponseTests {

	/** The bound of one part of a response, with what sockets hold, in bytes. */
	private static final long MAX_READ_BYTES = 16_777_216;

	private static final int PIECES = 1_000;

	private static final int LONG_STREAM_EVENTS = 40;

	private static final String OK = "HTTP/1.1 200 OK\r\nCall: c1\r\nSignature: s\r\n";

	private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

	private static final String CHUNK = "10\r\n0123456789abcdef\r\n";

	private final AtomicLong written = new AtomicLong();

	private GatewayHarness gateway;

	@BeforeEach
	void start() {
		this.gateway = GatewayHarness.start();
	}

	@AfterEach
	void stop() {
		this.gateway.close();
	}

	@ParameterizedTest
	@EnumSource
	void shouldCloseConnectionWhenPartOfResponseNeverEnds(Part part) throws Exception {
		try (ScriptedServer server = this.gateway
			.startServer((request, exchange) -> writeEndlessly(exchange, part.beginning, part.repeated))) {
			Response response = this.gateway.send(RawCaller.post("c1", "/visits/", "x"));
			assertThat(response.status()).isEqualTo(part.status);
			assertThat(server.awaitDisconnect()).isTrue();
			assertThat(this.written.get()).isLessThan(MAX_READ_BYTES);
			assertThat(server.requests()).hasSize(1);
		}
	}

	// The caller has the head by then and sees that the stream is broken off.
	@ParameterizedTest
	@ValueSource(strings = { "/summaries/", "/drafts/" })
	void shouldBreakOffStreamWhenEventNeverEnds(String path) throws Exception {
		try (ScriptedServer server = this.gateway.startServer((request, exchange) -> writeEndlessly(exchange,
				OK + "Content-Type: text/event-stream\r\n" + CHUNKED, CHUNK));
				RawCaller caller = this.gateway.caller()) {
			caller.send(RawCaller.post("c1", path, "x")).readToEnd();
			assertThat(server.awaitDisconnect()).isTrue();
			assertThat(this.written.get()).isLessThan(MAX_READ_BYTES);
		}
	}

	// Guards against a bound that counts the whole stream.
	@Test
	void shouldNotBreakOffStreamWhenItIsLong() throws IOException {
		String event = "data: " + "x".repeat(100_000) + "\n\n";
		try (ScriptedServer _ = this.gateway.startServer((request, exchange) -> {
			exchange.write(OK + "Content-Type: text/event-stream\r\n\r\n");
			for (int i = 0; i < LONG_STREAM_EVENTS; i++) {
				exchange.write(event);
			}
			exchange.socket().close();
		})) {
			Response response = this.gateway.send(RawCaller.post("c1", "/summaries/", "x"));
			assertThat(response.body()).hasSize(LONG_STREAM_EVENTS * event.length());
		}
	}

	private void writeEndlessly(Exchange exchange, String beginning, String repeated) throws IOException {
		String pieces = repeated.repeat(PIECES);
		exchange.write(beginning);
		while (true) {
			exchange.write(pieces);
			this.written.addAndGet(pieces.length());
		}
	}

	/** Where the bytes never end. */
	private enum Part {

		BEFORE_STATUS_LINE(502, "", "\r\n"),

		STATUS_LINE(502, "HTTP/1.1 200 ", "OK"),

		HEADER(502, OK + "Long: ", "x"),

		HEADERS(502, OK, "More: x\r\n"),

		INTERIM_RESPONSES(502, "", "HTTP/1.1 102 Processing\r\n\r\n"),

		RESPONSE_TO_ANOTHER_CALL(502, "HTTP/1.1 200 OK\r\nCall: other\r\n" + CHUNKED, CHUNK),

		CHUNK_EXTENSION(502, OK + CHUNKED + "10;", "x"),

		TRAILERS(502, OK + CHUNKED + "0\r\n", "More: x\r\n"),

		ERROR_BODY(502, "HTTP/1.1 500 X\r\nCall: c1\r\n" + CHUNKED, CHUNK),

		BODY_OF_REJECTION(502, "HTTP/1.1 503 X\r\nCall: c1\r\nNot-Run: 1\r\n" + CHUNKED, CHUNK),

		AFTER_BODY(200, OK + "Content-Length: 1\r\n\r\n", "x");

		private final int status;

		private final String beginning;

		private final String repeated;

		Part(int status, String beginning, String repeated) {
			this.status = status;
			this.beginning = beginning;
			this.repeated = repeated;
		}

	}

}
