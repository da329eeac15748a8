package org.rosemaryfront.gateway;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rosemaryfront.gateway.RawCaller.Response;

import static org.assertj.core.api.Assertions.assertThat;

/** Answers that are not valid HTTP, and valid ones that are unusual. */
class BrokenAnswerTests {

	/** An address at which nothing listens. */
	private static final String NO_SERVER = "127.0.0.1:1";

	private static final List<String> REPEATABLE = List.of("/sheets/", "/summaries/");

	private static final List<String> STREAMS = List.of("/drafts/", "/summaries/");

	private static final List<String> PATHS = List.of("/sheets/", "/visits/", "/drafts/", "/summaries/");

	private static final String BODY = "data: body\n\n";

	private static final String GOOD = "data: good\n\n";

	private static final String STREAM = "text/event-stream";

	private static final String HEADERS = "Call: c1\r\nSignature: s\r\nContent-Type: " + STREAM + "\r\n";

	private static final String LENGTH = "Content-Length: " + BODY.length() + "\r\n";

	private static final String CHUNKED_BODY = chunks("c");

	private GatewayHarness gateway;

	@BeforeEach
	void start() {
		this.gateway = GatewayHarness.start();
	}

	@AfterEach
	void stop() {
		this.gateway.close();
	}

	// Guards against a number that is no status and that callers are given as that of
	// their answer.
	@ParameterizedTest
	@MethodSource("invalidStatuses")
	void shouldNotForwardAnswerWhenStatusIsInvalid(String path, String status) throws IOException {
		shouldFail(path, statusLine(status) + HEADERS + LENGTH + "\r\n" + BODY);
	}

	static Stream<Arguments> invalidStatuses() {
		return onAllPaths("000", "001", "099", "600", "999", "0200", "00200", "2000", "20", "2", "+200", "-200", "20x");
	}

	// Guards against answers that are checked on the own links only.
	@ParameterizedTest
	@ValueSource(strings = { "000", "0200" })
	void shouldNotForwardAnswerWhenStatusIsInvalidAndAnotherGatewayCarriesCall(String status) throws IOException {
		assertThat(callThroughOther("/visits/", statusLine(status) + HEADERS + LENGTH + "\r\n" + BODY).status())
			.isEqualTo(502);
	}

	// Guards against a line that is no header and is passed on or taken for the header
	// that it begins like, so that the body, the signature or the call are not the
	// server's.
	@ParameterizedTest
	@MethodSource("invalidNames")
	void shouldNotForwardAnswerWhenNameOfHeaderIsInvalid(String path, String line) throws IOException {
		shouldFail(path, STREAMS.contains(path) ? answerWith(line) : answerWith(line).replace(STREAM, "text/plain"));
	}

	static Stream<Arguments> invalidNames() {
		return on(List.of("/visits/", "/summaries/"), "X Foo: 1", " X-Foo: 1", "\tX-Foo: 1", "X\tFoo: 1",
				"Content-Length x: 6", "Transfer-Encoding x: chunked", "Signature x: s", "Call x: c1",
				"Connection x: close", " : 1", ": 1", "X-Foo", "X\0Foo: 1", "\u0001X-Foo: 1", "X-Foo\u001f: 1",
				"X\u000bFoo: 1", "X\fFoo: 1", "X\rFoo: 1", "X\u007fFoo: 1");
	}

	// Guards against answers that are checked on the own links only.
	@ParameterizedTest
	@ValueSource(strings = { "X Foo: 1", "Content-Length x: 6" })
	void shouldNotForwardAnswerWhenNameOfHeaderIsInvalidAndAnotherGatewayCarriesCall(String line) throws IOException {
		assertThat(callThroughOther("/visits/", answerWith(line).replace(STREAM, "text/plain")).status())
			.isEqualTo(502);
	}

	// Guards against answers by the rules of another protocol, which frames them in
	// another
	// way.
	@ParameterizedTest
	@MethodSource("otherProtocols")
	void shouldNotForwardAnswerWhenProtocolIsAnother(String path, String protocol) throws IOException {
		shouldFail(path, protocol + " 200 OK\r\n" + HEADERS + LENGTH + "\r\n" + BODY);
	}

	static Stream<Arguments> otherProtocols() {
		return on(List.of("/visits/", "/summaries/"), "HTTP/2.0", "HTTP/2", "HTTP/0.9", "HTTP/11.1", "HTTP/1.10",
				"HTTP/1", "HTTP/", "ICY/1.0", "RTSP/1.0", "XHTTP/1.1");
	}

	// Guards against a body that callers are given as it was coded on the connection.
	@ParameterizedTest
	@MethodSource("unknownCodings")
	void shouldNotForwardAnswerWhenTransferCodingIsUnknown(String path, String codings) throws IOException {
		String head = statusLine("200") + HEADERS + "Transfer-Encoding: " + codings + "\r\n";
		shouldFail(path, head + "\r\n" + CHUNKED_BODY);
		renew();
		shouldFail(path, head + LENGTH + "\r\n" + BODY);
	}

	static Stream<Arguments> unknownCodings() {
		return on(List.of("/visits/", "/summaries/"), "gzip, chunked", "chunked, gzip", "gzip", "xchunked", "chunkedx",
				"chunked, chunked", "chunked;x=1", "chunked chunked");
	}

	// Guards against a body that ends elsewhere than its server says.
	@ParameterizedTest
	@MethodSource("invalidChunks")
	void shouldNotForwardAnswerWhenChunksAreInvalid(String path, String chunks) throws IOException {
		String head = statusLine("200") + HEADERS + "Transfer-Encoding: chunked\r\n\r\n";
		shouldNotBeWhole(path, head + chunks);
	}

	static Stream<Arguments> invalidChunks() {
		return on(List.of("/visits/", "/drafts/"), chunks("c x"), chunks("c\t1"), chunks("c\0"), chunks("c\u0001x"),
				chunks("cx"), chunks("0xc"), chunks("+c"), chunks("-c"), chunks(" c"), chunks(""), chunks("c,d"),
				"c\r\n" + BODY + "x\r\n0\r\n\r\n", "c\r\n" + BODY + "0\r\n\r\n", "c\r\n" + BODY + " \r\n0\r\n\r\n",
				"c\r\n" + BODY + "\r\n0 x\r\n\r\n", "c\r\n" + BODY + "\r\n0\r\nX Foo: 1\r\n\r\n",
				"c\r\n" + BODY + "\r\n0\r\nX-Foo\r\n\r\n", "c\n" + BODY + "\n0\n\n");
	}

	// Guards against valid chunks that are refused because they are unusual.
	@ParameterizedTest
	@MethodSource("unusualChunks")
	void shouldForwardAnswerWhenChunksAreUnusual(String path, String codings, String chunks) throws IOException {
		shouldForward(path, statusLine("200") + HEADERS + "Transfer-Encoding: " + codings + "\r\n\r\n" + chunks, 200);
	}

	static Stream<Arguments> unusualChunks() {
		return Stream.of("/visits/", "/drafts/")
			.flatMap((path) -> Stream.concat(
					Stream.of("chunked", "Chunked", ", chunked")
						.map((codings) -> Arguments.of(path, codings, CHUNKED_BODY)),
					Stream
						.of(chunks("C"), chunks("00c"), chunks("c;x"), chunks("c;x=y;z=\"a b\""), chunks("c ;x"),
								chunks("c; x"), chunks("c "), "c\r\n" + BODY + "\r\n000;x\r\n\r\n",
								"c\r\n" + BODY + "\r\n0\r\nX-Foo: 1\r\n 2\r\nX-Bar : \r\n\r\n",
								"4\r\ndata\r\n8\r\n: body\n\n\r\n0\r\n\r\n")
						.map((chunks) -> Arguments.of(path, "chunked", chunks))));
	}

	private static String chunks(String size) {
		return size + "\r\n" + BODY + "\r\n0\r\n\r\n";
	}

	// Guards against interim answers that are skipped whatever they are.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 100 X\r\nX Foo: 1\r\n\r\n", "HTTP/1.1 099 X\r\n\r\n",
			"HTTP/1.1 102 X\r\nTransfer-Encoding x: chunked\r\n\r\n" })
	void shouldNotForwardAnswerWhenOneBeforeItIsInvalid(String interim) throws IOException {
		shouldFail("/visits/", interim + statusLine("200") + HEADERS + LENGTH + "\r\n" + BODY);
	}

	// Guards against an answer that is not checked because an earlier one on its
	// connection was valid.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 X\r\n", "HTTP/1.1 200 X\r\nX Foo: 1\r\n", "HTTP/2.0 200 X\r\n" })
	void shouldNotForwardAnswerToLaterCallWhenItIsInvalid(String beginning) throws IOException {
		try (ScriptedServer server = this.gateway.startServer((request, exchange) -> {
			if (request.call().equals("c1")) {
				exchange.write(beginning + HEADERS + LENGTH + "\r\n" + BODY);
			}
			else {
				exchange.ok(request, GOOD);
			}
		})) {
			for (int i = 2; i < 6; i++) {
				assertThat(this.gateway.send(RawCaller.post("c" + i, "/visits/", "x")).body()).isEqualTo(GOOD);
			}
			assertThat(server.connections()).isOne();
			assertThat(this.gateway.send(RawCaller.post("c1", "/visits/", "x")).status()).isEqualTo(502);
		}
	}

	// Guards against a valid header that is refused because it is unusual.
	@ParameterizedTest
	@MethodSource("unusualHeaders")
	void shouldForwardAnswerWhenHeaderIsUnusual(String path, String line) throws IOException {
		shouldForward(path, statusLine("200") + line + "\r\n" + HEADERS + LENGTH + "\r\n" + BODY, 200);
	}

	static Stream<Arguments> unusualHeaders() {
		return on(List.of("/visits/", "/summaries/"), "X-Foo:1", "X-Foo:", "X-Foo:\t1", "!#$%&'*+-.^_`|~09azAZ: 1",
				"X-Foo: a: b", "X-Foo: \u00e9", "X-Foo: 1\r\n 2", "X-Foo : 1", "X-Foo\t: 1");
	}

	// The header that the line begins like is left out.
	private static String answerWith(String line) {
		String name = line.split(" ")[0];
		String headers = (HEADERS + LENGTH).lines()
			.filter((header) -> name.isEmpty() || !header.startsWith(name))
			.filter((header) -> !name.equals("Transfer-Encoding") || !LENGTH.startsWith(header))
			.collect(Collectors.joining("\r\n"));
		String body = name.equals("Transfer-Encoding") ? "c\r\n" + BODY + "\r\n0\r\n\r\n" : BODY;
		return statusLine("200") + line + "\r\n" + headers + "\r\n\r\n" + body;
	}

	// Guards against a valid answer that is refused because it is unusual.
	@ParameterizedTest
	@MethodSource("unusualStatusLines")
	void shouldForwardAnswerWhenStatusLineIsUnusual(String path, String statusLine) throws IOException {
		shouldForward(path, statusLine + "\r\n" + HEADERS + LENGTH + "\r\n" + BODY,
				Integer.parseInt(statusLine.split(" ")[1]));
	}

	static Stream<Arguments> unusualStatusLines() {
		return onAllPaths("HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.1 203 X", "HTTP/1.1 226 X",
				"HTTP/1.1 299 \u00fc", "HTTP/1.1 400 X", "HTTP/1.1 418 X", "HTTP/1.1 451 X", "HTTP/1.1 499 X");
	}

	// Such a status is passed on where the call cannot be sent again.
	@ParameterizedTest
	@ValueSource(ints = { 500, 501, 506, 511, 599 })
	void shouldForwardAnswerWhenItsServerErrorIsUnusual(int status) throws IOException {
		shouldForward("/visits/", statusLine(status + "") + HEADERS + LENGTH + "\r\n" + BODY, status);
	}

	private static Stream<Arguments> onAllPaths(String... cases) {
		return on(PATHS, cases);
	}

	private static Stream<Arguments> on(List<String> paths, String... cases) {
		return paths.stream().flatMap((path) -> Stream.of(cases).map((each) -> Arguments.of(path, each)));
	}

	// -- calls

	// The call may have run: it is sent again only where it may be repeated.
	private void shouldFail(String path, String answer) throws IOException {
		AtomicInteger attempts = new AtomicInteger();
		Response response = call(path, (request, exchange) -> {
			if (attempts.getAndIncrement() == 0) {
				exchange.write(answer);
				exchange.socket().shutdownOutput();
				exchange.hold();
			}
			else {
				exchange.ok(request, GOOD);
			}
		});
		boolean repeated = REPEATABLE.contains(path);
		assertThat(response.status()).isEqualTo(repeated ? 200 : 502);
		assertThat(response.body()).isEqualTo(repeated ? GOOD : "");
		assertThat(response.hasHeader("signature")).isEqualTo(repeated);
		assertThat(attempts.get()).isEqualTo(repeated ? 2 : 1);
	}

	private void shouldForward(String path, String answer, int status) throws IOException {
		Response response = call(path, (_, exchange) -> exchange.write(answer));
		assertThat(response.status()).isEqualTo(status);
		assertThat(response.body()).isEqualTo(BODY);
		assertThat(response.complete()).isTrue();
	}

	// What was received before the fault may have been forwarded.
	private void shouldNotBeWhole(String path, String answer) throws IOException {
		Response response = call(path, (_, exchange) -> {
			exchange.write(answer);
			exchange.socket().shutdownOutput();
			exchange.hold();
		});
		assertThat(response.status() == 200 && response.complete()).as("%s", response).isFalse();
	}

	private void renew() {
		stop();
		start();
	}

	private Response call(String path, ScriptedServer.Script script) throws IOException {
		try (ScriptedServer _ = this.gateway.startServer(script);
				ScriptedServer second = ScriptedServer.start(script)) {
			this.gateway.register("s2", second).ready();
			return this.gateway.send(RawCaller.post("c1", path, "x"));
		}
	}

	private Response callThroughOther(String path, String answer) throws IOException {
		PlainCodecs codecs = new PlainCodecs();
		List<GatewayHarness> fleet = GatewayHarness.startFleet(this.gateway.store,
				List.of(codecs.withServersAt((_) -> NO_SERVER), codecs));
		try (ScriptedServer server = ScriptedServer.start((_, exchange) -> exchange.write(answer))) {
			fleet.getFirst().declare();
			for (GatewayHarness each : fleet) {
				each.register("s1", server).ready();
				GatewayHarness.await(() -> each.liveGateways() == fleet.size());
			}
			Response response = fleet.getFirst().send(RawCaller.post("c1", path, "x"));
			assertThat(fleet.getLast().metric("counters", "calls.carried")).isOne();
			return response;
		}
		finally {
			fleet.forEach(GatewayHarness::stop);
		}
	}

	private static String statusLine(String status) {
		return "HTTP/1.1 " + status + " X\r\n";
	}

}
