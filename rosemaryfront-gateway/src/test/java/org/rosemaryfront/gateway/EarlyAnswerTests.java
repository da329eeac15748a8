package org.rosemaryfront.gateway;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import org.rosemaryfront.gateway.RawCaller.Response;
import org.rosemaryfront.gateway.ScriptedServer.Exchange;
import org.rosemaryfront.routes.CallerLimits;

import static org.assertj.core.api.Assertions.assertThat;

/** Servers that answer a long request before they have read it. */
class EarlyAnswerTests {

	private static final int ROUNDS = 10;

	private static final int SHORT_ROUNDS = Integer.getInteger("early.rounds", 5);

	/** Together more than all buffers on the way to a server hold. */
	private static final int CHUNKS = 1_000;

	private static final CallerLimits LIMITS = new CallerLimits(16_384, 67_108_864, 3_000, 15_000);

	private static final String CHUNK = "4000\r\n" + "x".repeat(0x4000) + "\r\n";

	private static final String BODY = "data: part\n\n";

	private static final long PAUSE_MILLIS = 20;

	/** An address at which nothing listens. */
	private static final String NO_SERVER = "127.0.0.1:1";

	private GatewayHarness gateway;

	@BeforeEach
	void start() {
		this.gateway = GatewayHarness.start();
	}

	@AfterEach
	void stop() {
		this.gateway.close();
	}

	// Guards against a part of an answer without length that callers are given as the
	// whole one, since its server ended the connection while the request was being sent.
	@ParameterizedTest
	@MethodSource("ends")
	void shouldNotEndAnswerAsCompleteWhenServerLeavesDuringUpload(String path, End end, Pace pace) throws Exception {
		try (ScriptedServer _ = startServer((_, exchange) -> end.answer(exchange))) {
			shouldNotEndAsComplete(this.gateway, path, pace);
		}
	}

	static Stream<Arguments> ends() {
		return Stream.of("/visits/", "/drafts/", "/summaries/")
			.flatMap((path) -> endsAtPaces().map((end) -> Arguments.of(path, end.get()[0], end.get()[1])));
	}

	static Stream<Arguments> endsAtPaces() {
		return Stream.of(End.values())
			.flatMap((end) -> Stream.of(Pace.values()).map((pace) -> Arguments.of(end, pace)));
	}

	// Guards against a part of an answer that callers are given as the whole one, since
	// its
	// server ended the connection just as the last bytes of the request came.
	@ParameterizedTest
	@MethodSource("shortUploads")
	void shouldEndAnswerAsCompleteOnlyWhenCallerHasSentItsWholeRequest(End end, int chunks) throws Exception {
		try (ScriptedServer _ = startServer((_, exchange) -> end.answer(exchange))) {
			int whole = 0;
			for (int i = 0; i < SHORT_ROUNDS; i++) {
				AtomicBoolean sent = new AtomicBoolean();
				Response response = upload(this.gateway, "/drafts/", Pace.SLOW, chunks, sent);
				boolean complete = response.status() == 200 && response.complete();
				assertThat(complete && !sent.get()).as("round %s: %s", i, response).isFalse();
				whole += complete ? 1 : 0;
			}
			System.out.println(end + ", " + chunks + " chunks: " + whole + " of " + SHORT_ROUNDS + " whole");
		}
	}

	static Stream<Arguments> shortUploads() {
		return Stream.of(End.values())
			.flatMap((end) -> Stream.of(10, 15, 18, 20, 22, 25).map((chunks) -> Arguments.of(end, chunks)));
	}

	// Guards against an end that looks regular to the gateway that carries the call.
	@ParameterizedTest
	@MethodSource("endsAtPaces")
	void shouldNotEndAnswerAsCompleteWhenAnotherGatewayCarriesUpload(End end, Pace pace) throws Exception {
		PlainCodecs codecs = new PlainCodecs();
		List<GatewayHarness> fleet = GatewayHarness.startFleet(this.gateway.store,
				List.of(codecs.withServersAt((_) -> NO_SERVER), codecs));
		try (ScriptedServer server = ScriptedServer.start((_, exchange) -> end.answer(exchange))) {
			declare(fleet.getFirst());
			for (GatewayHarness each : fleet) {
				each.register("s1", server).ready();
				GatewayHarness.await(() -> each.liveGateways() == fleet.size());
			}
			shouldNotEndAsComplete(fleet.getFirst(), "/drafts/", pace);
			assertThat(fleet.getLast().metric("counters", "calls.carried")).isEqualTo(ROUNDS);
		}
		finally {
			fleet.forEach(GatewayHarness::stop);
		}
	}

	// Guards against answers that are refused although they tell where they end, and
	// against refusals that are lost.
	@ParameterizedTest
	@CsvSource({ "200 OK, Content-Length: 12", "200 OK, Transfer-Encoding: chunked", "413 X, Content-Length: 12",
			"413 X, Connection: close", "401 X, Connection: close", "500 X, Connection: close" })
	void shouldForwardEarlyAnswerWhenItIsWhole(String status, String header) throws Exception {
		String body = header.endsWith("chunked") ? "c\r\n" + BODY + "\r\n0\r\n\r\n" : BODY;
		try (ScriptedServer _ = startServer((_, exchange) -> {
			write(exchange, status, body, header + "\r\n");
			exchange.socket().shutdownOutput();
			exchange.socket().getInputStream().transferTo(OutputStream.nullOutputStream());
		})) {
			assertWhole(upload(this.gateway, "/visits/", Pace.SLOW), Integer.parseInt(status.split(" ")[0]));
		}
	}

	// Guards against an answer that is refused although its server has read the request.
	@Test
	void shouldForwardAnswerWithoutLengthWhenRequestWasSent() throws Exception {
		try (ScriptedServer _ = startServer((_, exchange) -> {
			readToLastChunk(exchange.socket());
			write(exchange, "200 OK", BODY, "");
			exchange.socket().close();
		})) {
			for (String path : List.of("/visits/", "/drafts/", "/summaries/")) {
				assertWhole(upload(this.gateway, path, Pace.FAST), 200);
			}
		}
	}

	private ScriptedServer startServer(ScriptedServer.Script script) throws IOException {
		ScriptedServer server = ScriptedServer.start(script);
		declare(this.gateway).register("s1", server).ready();
		return server;
	}

	private static GatewayHarness declare(GatewayHarness gateway) {
		return gateway.declare(GatewayHarness.configuration(1, LIMITS, GatewayHarness.organisation(0)));
	}

	private static void assertWhole(Response response, int status) {
		assertThat(response.status()).isEqualTo(status);
		assertThat(response.body()).isEqualTo(BODY);
		assertThat(response.complete()).isTrue();
	}

	// -- callers

	private static void shouldNotEndAsComplete(GatewayHarness gateway, String path, Pace pace) throws Exception {
		for (int i = 0; i < ROUNDS; i++) {
			Response response = upload(gateway, path, pace);
			assertThat(response.status() == 200 && response.complete()).as("round %s: %s", i, response).isFalse();
		}
	}

	private static Response upload(GatewayHarness gateway, String path, Pace pace) throws Exception {
		return upload(gateway, path, pace, CHUNKS, new AtomicBoolean());
	}

	private static Response upload(GatewayHarness gateway, String path, Pace pace, int chunks, AtomicBoolean sent)
			throws Exception {
		try (RawCaller caller = gateway.caller()) {
			Thread uploading = Thread.ofVirtual().start(() -> write(caller, path, pace, chunks, sent));
			Response response = read(caller);
			caller.close();
			uploading.join();
			return response;
		}
	}

	// The mark is set before the last bytes are sent, so that whoever does not find it
	// knows
	// that they were not.
	private static void write(RawCaller caller, String path, Pace pace, int chunks, AtomicBoolean sent) {
		try {
			caller.send("POST " + path + " HTTP/1.1\r\nHost: a.example\r\nCall: c1"
					+ "\r\nKey: key-1\r\nTransfer-Encoding: chunked\r\n\r\n");
			for (int i = 0; i < chunks; i++) {
				caller.send(CHUNK);
				sleep(pace.pauseMillis);
			}
			sent.set(true);
			caller.send("0\r\n\r\n");
		}
		catch (IOException ex) {
			// The gateway has answered and closed the connection.
		}
	}

	private static Response read(RawCaller caller) {
		try {
			return caller.read();
		}
		catch (IOException ex) {
			return new Response("", "", false);
		}
	}

	// -- servers

	private static void readToLastChunk(Socket socket) throws IOException {
		InputStream in = new BufferedInputStream(socket.getInputStream());
		StringBuilder last = new StringBuilder("-----");
		while (last.indexOf("0\r\n\r\n") < 0) {
			last.deleteCharAt(0).append((char) in.read());
		}
	}

	private static void write(Exchange exchange, String status, String body, String header) throws IOException {
		exchange.write("HTTP/1.1 " + status + "\r\nCall: c1\r\nSignature: s\r\nContent-Type: text/event-stream\r\n"
				+ header + "\r\n" + body);
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/** How fast a caller sends its request. */
	private enum Pace {

		/** As fast as it is taken. */
		FAST(0),

		/** So that it is sent as it comes. */
		SLOW(1);

		/** The pause between two chunks, in milliseconds. */
		private final long pauseMillis;

		Pace(long pauseMillis) {
			this.pauseMillis = pauseMillis;
		}

	}

	/** How a server ends the connection behind its answer. */
	private enum End {

		/** By a reset. */
		RESET {
			@Override
			void end(Socket socket) throws IOException {
				reset(socket);
			}
		},

		/** By closing it, with bytes of the request unread. */
		CLOSED {
			@Override
			void end(Socket socket) throws IOException {
				socket.close();
			}
		},

		/** By closing its side, and a reset some time later. */
		CLOSED_AND_RESET_LATER {
			@Override
			void end(Socket socket) throws IOException {
				socket.shutdownOutput();
				sleep(PAUSE_MILLIS);
				reset(socket);
			}
		};

		abstract void end(Socket socket) throws IOException;

		void answer(Exchange exchange) throws IOException {
			write(exchange, "200 OK", BODY, "");
			sleep(PAUSE_MILLIS);
			end(exchange.socket());
		}

		private static void reset(Socket socket) throws IOException {
			socket.setSoLinger(true, 0);
			socket.close();
		}

	}

}
