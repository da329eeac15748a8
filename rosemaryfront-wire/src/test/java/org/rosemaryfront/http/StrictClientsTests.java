package org.rosemaryfront.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class StrictClientsTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final int UPLOADS = 10;

	/** Together more than all buffers on the way to a server hold. */
	private static final int CHUNKS = 1_000;

	private static final int CHUNK_BYTES = 16_384;

	private static final String OK = "HTTP/1.1 200 OK\r\n";

	private static final String REST = "Content-Length: 4\r\n\r\nbody";

	// Guards against a number that is no status and is taken for one.
	@ParameterizedTest
	@ValueSource(
			strings = { "000", "001", "099", "600", "999", "0200", "00200", "2000", "20", "2", "+200", "-200", "20x" })
	void shouldFailCallWhenStatusIsInvalid(String status) {
		shouldFail("HTTP/1.1 " + status + " X\r\n" + REST);
	}

	// Guards against a response by the rules of another protocol.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/2.0", "HTTP/2", "HTTP/0.9", "HTTP/11.1", "HTTP/1.10", "ICY/1.0" })
	void shouldFailCallWhenProtocolIsAnother(String protocol) {
		shouldFail(protocol + " 200 OK\r\n" + REST);
	}

	// Guards against a body that is read as it was coded on the connection.
	@ParameterizedTest
	@ValueSource(strings = { "gzip, chunked", "chunked, gzip", "gzip", "xchunked", "chunked, chunked", "chunked;x=1" })
	void shouldFailCallWhenTransferCodingIsUnknown(String codings) {
		shouldFail(OK + "Transfer-Encoding: " + codings + "\r\n" + REST);
		shouldFail(OK + "Transfer-Encoding: " + codings + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
	}

	// Guards against valid codings that are refused because they are unusual.
	@ParameterizedTest
	@CsvSource({ "identity, body", "Chunked, 4_body_0__" })
	void shouldReadResponseWhenTransferCodingIsUnusual(String codings, String body) {
		assertThat(call(OK + "Transfer-Encoding: " + codings + "\r\n\r\n" + body.replace("_", "\r\n")))
			.isEqualTo("200 body");
	}

	// Guards against a body that ends elsewhere than its server says.
	@ParameterizedTest
	@ValueSource(strings = { "4 x_body_0__", "4\t1_body_0__", "4\0_body_0__", "4\r_body_0__", "4\r x_body_0__",
			" 4_body_0__", "4x_body_0__", "_body_0__", "0x4_body_0__", "+4_body_0__", "4_bodyx_0__", "4_body0__",
			"4_body_0 x__", "4_body_0_X Foo: 1__", "4_body_0_X-Foo__", "2_bo_2 x_dy_0__", "100000000_body_0__" })
	void shouldFailCallWhenChunksAreInvalid(String body) {
		shouldFail(OK + "Transfer-Encoding: chunked\r\n\r\n" + body.replace("_", "\r\n"));
	}

	// Guards against valid chunks that are refused because they are unusual.
	@ParameterizedTest
	@ValueSource(strings = { "4;x_body_0__", "4;x=y;z=\"a b\"_body_0__", "4 ;x_body_0__", "4; x_body_0__",
			"4 _body_0__", "0004_body_000__", "4_body_0;x__", "4_body_0_X-Foo: 1__", "4_body_0_X-Foo: 1_ 2_X-Bar : __",
			"1_b_1_o_0002;x_dy_0__" })
	void shouldReadResponseWhenChunksAreUnusual(String body) {
		assertThat(call(OK + "Transfer-Encoding: chunked\r\n\r\n" + body.replace("_", "\r\n"))).isEqualTo("200 body");
	}

	// Guards against a coding that is missed in a response without a body.
	@ParameterizedTest
	@ValueSource(strings = { "204 X", "304 X" })
	void shouldReadResponseWithoutBodyWhenItNamesCoding(String status) {
		assertThat(call("HTTP/1.1 " + status + "\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"))
			.isEqualTo(status.replace('X', ' ').trim() + " ");
	}

	// Guards against a line that is no header and is taken for one.
	@ParameterizedTest
	@MethodSource("invalidHeaders")
	void shouldFailCallWhenNameOfHeaderIsInvalid(String line) {
		shouldFail(OK + line + REST);
	}

	// Guards against a check of the first header only.
	@ParameterizedTest
	@ValueSource(strings = { "X Foo: 1", "X\tFoo: 1", "X-Foo", "Content-Length x: 2", "X\u0001Foo: 1" })
	void shouldFailCallWhenNameOfLaterHeaderIsInvalid(String line) {
		shouldFail(OK + "Before: 1\r\n folded\r\n" + line + "\r\n" + REST);
	}

	static Stream<String> invalidHeaders() {
		return Stream
			.of("X Foo: 1", "X\tFoo: 1", "X  \t Foo : 1", " X-Foo: 1", "\tX-Foo: 1", " : 1", ": 1", "X-Foo", "X-Foo ",
					"X Foo", "Content-Length x: 2", "Transfer-Encoding x: chunked", "Content-Length 2", "X\0Foo: 1",
					"X\u0001Foo: 1", "\u0001X-Foo: 1", "X-Foo\u0001: 1", "X\u000bFoo: 1", "X-Foo\f: 1", "X\rFoo: 1",
					"\rX-Foo: 1", "X-Foo\r: 1", "X-Foo \r: 1", "X\u007fFoo: 1")
			.map((line) -> line + "\r\n");
	}

	// Guards against interim responses that are skipped whatever they are.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 100 X\r\nX Foo: 1\r\n\r\n", "HTTP/1.1 099 X\r\n\r\n" })
	void shouldFailCallWhenInterimResponseIsInvalid(String interim) {
		shouldFail(interim + OK + REST);
	}

	// Guards against valid headers that are refused because they are unusual.
	@ParameterizedTest
	@ValueSource(strings = { "X-Foo:1", "X-Foo:", "X-Foo:   1  ", "X-Foo:\t1", "!#$%&'*+-.^_`|~09azAZ: 1",
			"X-Foo: a: b", "X-Foo: a\tb", "X-Foo: \u00e9\u0080", "X-Foo: 1\r\n 2", "X-Foo: 1\r\n\t2\r\n 3", "X-Foo : 1",
			"X-Foo\t: 1", "X-Foo \t : 1" })
	void shouldReadResponseWhenHeaderIsUnusual(String line) {
		assertThat(call(OK + line + "\r\n" + REST)).isEqualTo("200 body");
		assertThat(call(OK + "Before: 1\r\n" + line + "\r\n" + REST)).isEqualTo("200 body");
	}

	// Guards against a check that begins anew in the wrong place.
	@Test
	void shouldReadEachResponseOfConnection() {
		EmbeddedChannel channel = new EmbeddedChannel(
				new StrictResponseDecoder(new HttpDecoderConfig(), (_) -> false, () -> true) {
				});
		for (String body : List.of("a b\nc d: 1\n", "", "x y\n", "1 x\r\n\n", "z")) {
			String chunk = Integer.toHexString(body.length()) + "\r\n" + body + "\r\n";
			String response = body.contains("\r")
					? "Transfer-Encoding: chunked\r\n\r\n" + chunk + chunk + "0\r\nA: b\r\n\r\n"
					: "Content-Length: " + body.length() + "\r\n\r\n" + body;
			("HTTP/1.1 100 X\r\n\r\n" + OK + response).chars()
				.forEach((octet) -> channel.writeInbound(Unpooled.wrappedBuffer(new byte[] { (byte) octet })));
			assertThat(read(channel)).isEqualTo("100 200 " + (body.contains("\r") ? body + body : body));
		}
	}

	private static String read(EmbeddedChannel channel) {
		StringBuilder read = new StringBuilder();
		for (HttpObject part = channel.readInbound(); part != null; part = channel.readInbound()) {
			assertThat(part.decoderResult().isSuccess()).isTrue();
			if (part instanceof HttpResponse head) {
				read.append(head.status().code()).append(' ');
			}
			if (part instanceof HttpContent content) {
				read.append(content.content().toString(StandardCharsets.UTF_8));
			}
		}
		return read.toString();
	}

	// Guards against a valid response that is refused because it is unusual.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.2 200 OK", "http/1.1 200 OK",
			"HTTP/1.1 203 X", "HTTP/1.1 299 X", "HTTP/1.1 418 X", "HTTP/1.1 599 \u00fc",
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 X" })
	void shouldReadResponseWhenStatusLineIsUnusual(String statusLine) {
		int code = Integer
			.parseInt(statusLine.substring(statusLine.toUpperCase(Locale.ROOT).lastIndexOf("HTTP/")).split(" ")[1]);
		assertThat(call(statusLine + "\r\n" + REST)).isEqualTo(code + " body");
	}

	// Guards against a part of a response without length that seems whole, because its
	// server closed the connection while the request was being sent.
	@ParameterizedTest
	@MethodSource("paces")
	void shouldFailCallWhenServerClosesConnectionDuringUpload(Flux<?> pace) {
		Flux<String> chunks = pace.take(CHUNKS).map((_) -> "x".repeat(CHUNK_BYTES));
		for (int i = 0; i < UPLOADS; i++) {
			assertThatExceptionOfType(RuntimeException.class).isThrownBy(() -> upload(chunks, OK + "\r\nbo"))
				.withMessageNotContaining("Timeout");
		}
	}

	static Stream<Flux<?>> paces() {
		return Stream.of(Flux.range(0, CHUNKS), Flux.interval(Duration.ofMillis(1)).onBackpressureBuffer());
	}

	private static String upload(Flux<String> chunks, String response) {
		try (RespondingServer server = RespondingServer.start(response)) {
			return StrictClients.withoutReuse()
				.remoteAddress(server::address)
				.post()
				.uri("/")
				.send(ByteBufFlux.fromString(chunks))
				.responseSingle((head, body) -> body.asString())
				.block(TIMEOUT);
		}
	}

	// Guards against a body that is awaited behind the response to a HEAD request.
	@ParameterizedTest
	@MethodSource("clients")
	void shouldReadResponseWhenRequestIsHead(HttpClient client) {
		try (RespondingServer server = RespondingServer.start("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n")) {
			Integer status = client.remoteAddress(server::address)
				.head()
				.uri("/")
				.response()
				.map((response) -> response.status().code())
				.block(TIMEOUT);
			assertThat(status).isEqualTo(200);
		}
	}

	static Stream<Arguments> clients() {
		return Stream.of(StrictClients.withoutReuse(), StrictClients.pooled()).map(Arguments::of);
	}

	private static void shouldFail(String response) {
		assertThatExceptionOfType(RuntimeException.class).isThrownBy(() -> call(response))
			.withMessageNotContaining("Timeout");
	}

	private static String call(String response) {
		try (RespondingServer server = RespondingServer.start(response)) {
			return StrictClients.withoutReuse()
				.remoteAddress(server::address)
				.get()
				.uri("/")
				.responseSingle((head, body) -> body.asString()
					.switchIfEmpty(Mono.just(""))
					.map((text) -> head.status().code() + " " + text))
				.block(TIMEOUT);
		}
	}

}
