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
import org.junit.jupiter.params.provider.ValueSource;

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

	// Guards against an end that is taken for that of a whole stream at some byte only:
	// the
	// connection that frames the stream is closed behind each of them.
	@ParameterizedTest
	@ValueSource(strings = { RESUMABLE, NOT_RESUMABLE })
	void shouldEndStreamAsCompleteOnlyBetweenEventsWhenCutAtAnyByte(String path) throws IOException {
		AtomicInteger cut = new AtomicInteger();
		register((request, exchange) -> answer(request, exchange, Framing.NONE, End.INSIDE_EVENT, cut.get()));
		for (; cut.get() < STREAM.length(); cut.incrementAndGet()) {
			this.attempts.set(0);
			Response response = this.gateway.send(RawCaller.get("c" + cut, path + cut));
			// A stream that was cut between two events cannot be told from a whole one.
			boolean betweenEvents = cut.get() > 0 && STREAM.startsWith("\n\n", cut.get() - 2);
			boolean resumed = path.equals(RESUMABLE) && !betweenEvents;
			assertThat(response.complete()).as("complete when cut behind %s bytes", cut)
				.isEqualTo(betweenEvents || resumed);
			assertThat(response.body()).as("body when cut behind %s bytes", cut)
				.isEqualTo(resumed ? STREAM : STREAM.substring(0, cut.get()));
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

	/** What tells where an answer ends. */
	enum Framing {

		LENGTH, CHUNKS, NONE;

		private String head(Request request, int length) {
			String head = "HTTP/1.1 200 OK\r\nCall: " + request.call()
					+ "\r\nSignature: s\r\nContent-Type: text/event-stream\r\n";
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

		private void end(Exchange exchange) throws IOException {
			if (this == CHUNKS) {
				exchange.write("0\r\n\r\n");
			}
			else if (this == NONE) {
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

		private static void sleep(long millis) {
			try {
				Thread.sleep(millis);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

	}

}
