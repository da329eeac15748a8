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
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

import org.rosemaryfront.gateway.RawCaller.Response;
import org.rosemaryfront.gateway.ScriptedServer.Exchange;
import org.rosemaryfront.gateway.ScriptedServer.Request;

import static org.assertj.core.api.Assertions.assertThat;

/** Answers that end before they are whole, in each way in which they can be framed. */
class BrokenOffAnswerTests {

	private static final List<String> EVENTS = List.of("id: 1\ndata: one\n\n", "id: 2\ndata: two\n\n",
			"id: 3\ndata: three\n\n");

	private static final String STREAM = String.join("", EVENTS);

	/** The first event and a part of the second one. */
	private static final int INSIDE_EVENT = EVENTS.getFirst().length() + 8;

	private static final String RESUMABLE = "/summaries/";

	private static final String NOT_RESUMABLE = "/drafts/";

	private static final long BEFORE_RESET_MILLIS = 50;

	/** The gateway may retry four calls in 10 ms. */
	private static final long BEFORE_NEXT_RETRY_MILLIS = 3;

	private final AtomicInteger attempts = new AtomicInteger();

	private GatewayHarness gateway;

	@BeforeEach
	void start() {
		this.gateway = GatewayHarness.start();
	}

	@AfterEach
	void stop() {
		this.gateway.close();
	}

	// -- streams

	// Guards against a stream that its server broke off and that reaches its caller as a
	// whole one.
	@ParameterizedTest
	@MethodSource("streams")
	void shouldEndStreamAsCompleteOnlyWhenItIs(String path, Framing framing, End end) throws IOException {
		Response response = send(path, framing, end, INSIDE_EVENT);
		boolean whole = end == End.WHOLE || path.equals(RESUMABLE);
		assertThat(response.complete()).isEqualTo(whole);
		if (whole) {
			assertThat(response.body()).isEqualTo(STREAM);
		}
		assertThat(STREAM).startsWith(response.body());
	}

	static Stream<Arguments> streams() {
		return Stream.of(RESUMABLE, NOT_RESUMABLE)
			.flatMap((path) -> Stream.of(Framing.values())
				.flatMap((framing) -> Stream.of(End.values()).map((end) -> Arguments.of(path, framing, end))));
	}

	// Guards against an end that is taken for that of a whole answer at some byte only,
	// in
	// any framing, kind of answer and version of the caller.
	@ParameterizedTest
	@MethodSource("cutAnswers")
	void shouldEndAnswerAsCompleteOnlyWhenItIsWhenCutAtAnyByte(String path, Framing framing, String version)
			throws IOException {
		AtomicInteger cut = new AtomicInteger();
		register((request, exchange) -> {
			if (this.attempts.getAndIncrement() == 0) {
				exchange.write(framing.message(request, STREAM).substring(0, cut.get()));
				exchange.socket().close();
			}
			else {
				End.WHOLE.answer(request, exchange, framing, 0);
			}
		});
		int length = framing.message(new Request("GET " + path + "\r\ncall: c0", ""), STREAM).length();
		for (; cut.get() <= length; cut.incrementAndGet()) {
			sleep(BEFORE_NEXT_RETRY_MILLIS);
			this.attempts.set(0);
			Response response = sendAs(version, RawCaller.get("c0", path + cut));
			Expected expected = expected(path, framing, length, cut.get());
			assertThat(response.status()).as("status when cut behind %s bytes", cut).isEqualTo(expected.status);
			assertThat(response.complete()).as("complete when cut behind %s bytes", cut).isEqualTo(expected.complete);
			if (expected.complete) {
				assertThat(response.body()).as("body when cut behind %s bytes", cut).isEqualTo(expected.body);
			}
			assertThat(STREAM).startsWith(response.body());
		}
	}

	static Stream<Arguments> cutAnswers() {
		return Stream.of(RESUMABLE, NOT_RESUMABLE, "/sheets/", "/visits/")
			.flatMap((path) -> Stream.of(Framing.values())
				.flatMap((framing) -> Stream.of("1.1", "1.0").map((version) -> Arguments.of(path, framing, version))));
	}

	// Guards against a stream that ends as a whole one because the server that goes on
	// with it stopped in the head of its answer.
	@ParameterizedTest
	@EnumSource
	void shouldNotEndStreamAsCompleteWhenHeadOfServerThatGoesOnIsCut(Framing framing) throws IOException {
		AtomicInteger cut = new AtomicInteger();
		register((request, exchange) -> {
			if (this.attempts.getAndIncrement() == 0) {
				End.CLOSED.answer(request, exchange, framing, INSIDE_EVENT);
			}
			else {
				exchange.write(framing.head(request, STREAM.length()).substring(0, cut.get()));
				exchange.socket().close();
			}
		});
		int length = framing.head(new Request("GET " + RESUMABLE + "\r\ncall: c0", ""), STREAM.length()).length();
		for (; cut.get() < length; cut.incrementAndGet()) {
			sleep(BEFORE_NEXT_RETRY_MILLIS);
			this.attempts.set(0);
			Response response = this.gateway.send(RawCaller.get("c0", RESUMABLE + cut));
			assertThat(response.complete()).as("complete when cut behind %s bytes", cut).isFalse();
			assertThat(EVENTS.getFirst()).startsWith(response.body());
		}
	}

	private static Expected expected(String path, Framing framing, int length, int cut) {
		int received = cut - (length - framing.body(STREAM).length() - framing.lastChunk().length());
		boolean stream = path.equals(RESUMABLE) || path.equals(NOT_RESUMABLE);
		// Such an answer cannot be told from a whole one.
		boolean seemsWhole = framing == Framing.NONE && received >= 0
				&& (!stream || received > 0 && STREAM.startsWith("\n\n", received - 2));
		if (cut == length || seemsWhole) {
			return new Expected(200, true, STREAM.substring(0, Math.min(received, STREAM.length())));
		}
		if (path.equals(RESUMABLE) || path.equals("/sheets/")) {
			return new Expected(200, true, STREAM);
		}
		return (stream && received >= 0) ? new Expected(200, false, "") : new Expected(502, true, "");
	}

	private Response sendAs(String version, String request) throws IOException {
		if (version.equals("1.1")) {
			return this.gateway.send(request);
		}
		try (RawCaller caller = this.gateway.caller()) {
			return caller.send(request.replace("HTTP/1.1", "HTTP/" + version)).readToEnd();
		}
	}

	// -- callers

	// Guards against callers to whom the end of the connection is the end of the answer,
	// who cannot tell a whole one from one that was broken off.
	@ParameterizedTest
	@EnumSource(End.class)
	void shouldResetConnectionOfOldCallerWhenStreamIsBrokenOff(End end) throws IOException {
		register(Framing.NONE, end, INSIDE_EVENT);
		try (RawCaller caller = this.gateway.caller()) {
			Response response = caller.send(RawCaller.get("c1", NOT_RESUMABLE).replace("HTTP/1.1", "HTTP/1.0"))
				.readToEnd();
			assertThat(response.status()).isEqualTo(200);
			assertThat(response.complete()).isEqualTo(end == End.WHOLE);
		}
	}

	// -- servers

	private Response send(String path, Framing framing, End end, int cut) throws IOException {
		register(framing, end, cut);
		return this.gateway.send(RawCaller.get("c1", path));
	}

	// A second server has the rest, for streams that can be resumed.
	private void register(Framing framing, End end, int cut) throws IOException {
		register((request, exchange) -> answer(request, exchange, framing, end, cut));
	}

	private void register(ScriptedServer.Script script) throws IOException {
		this.gateway.startServer(script);
		this.gateway.register("s2", ScriptedServer.start(script)).ready();
	}

	private void answer(Request request, Exchange exchange, Framing framing, End end, int cut) throws IOException {
		if (this.attempts.getAndIncrement() == 0) {
			end.answer(request, exchange, framing, cut);
		}
		else {
			End.WHOLE.answer(request, exchange, framing, cut);
		}
	}

	private static String rest(Request request) {
		String after = request.header("resume-after");
		return EVENTS.stream().skip(after.isEmpty() ? 0 : Long.parseLong(after)).collect(Collectors.joining());
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * What a caller must see.
	 *
	 * @param status the status
	 * @param complete whether the answer is framed as complete
	 * @param body the body of a complete answer
	 */
	private record Expected(int status, boolean complete, String body) {
	}

	/** What tells where an answer ends. */
	enum Framing {

		LENGTH, CHUNKS, NONE;

		private String head(Request request, int length) {
			boolean stream = request.head().contains(RESUMABLE) || request.head().contains(NOT_RESUMABLE);
			String head = "HTTP/1.1 200 OK\r\nCall: " + request.call() + "\r\nSignature: s\r\nContent-Type: "
					+ (stream ? "text/event-stream" : "text/plain") + "\r\n";
			return switch (this) {
				case LENGTH -> head + "Content-Length: " + length + "\r\n\r\n";
				case CHUNKS -> head + "Transfer-Encoding: chunked\r\n\r\n";
				case NONE -> head + "\r\n";
			};
		}

		private String body(String part) {
			boolean chunk = this == CHUNKS && !part.isEmpty();
			return chunk ? Integer.toHexString(part.length()) + "\r\n" + part + "\r\n" : part;
		}

		private String lastChunk() {
			return (this == CHUNKS) ? "0\r\n\r\n" : "";
		}

		private String message(Request request, String body) {
			return head(request, body.length()) + body(body) + lastChunk();
		}

		private void end(Exchange exchange) throws IOException {
			exchange.write(lastChunk());
			if (this == NONE) {
				exchange.socket().close();
			}
		}

	}

	/** How an answer ends. */
	enum End {

		/** With its last byte. */
		WHOLE {
			@Override
			void answer(Request request, Exchange exchange, Framing framing, int cut) throws IOException {
				String body = rest(request);
				exchange.write(framing.head(request, body.length()) + framing.body(body));
				framing.end(exchange);
			}
		},

		/** Inside an event, framed as if it were whole. */
		INSIDE_EVENT {
			@Override
			void answer(Request request, Exchange exchange, Framing framing, int cut) throws IOException {
				exchange.write(framing.head(request, cut) + framing.body(STREAM.substring(0, cut)));
				framing.end(exchange);
			}
		},

		/** With the connection, which is closed although more was announced. */
		CLOSED {
			@Override
			void answer(Request request, Exchange exchange, Framing framing, int cut) throws IOException {
				exchange.write(framing.head(request, STREAM.length()) + framing.body(STREAM.substring(0, cut)));
				exchange.socket().close();
			}
		},

		/** With the connection, which is reset. */
		RESET {
			@Override
			void answer(Request request, Exchange exchange, Framing framing, int cut) throws IOException {
				exchange.write(framing.head(request, STREAM.length()) + framing.body(STREAM.substring(0, cut)));
				sleep(BEFORE_RESET_MILLIS);
				exchange.reset();
			}
		};

		abstract void answer(Request request, Exchange exchange, Framing framing, int cut) throws IOException;

	}

}
