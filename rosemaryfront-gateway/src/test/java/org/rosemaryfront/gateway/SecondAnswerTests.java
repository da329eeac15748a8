package org.rosemaryfront.gateway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.IntStream;
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

/** Tests backend servers that answer a request twice, the second time late. */
class SecondAnswerTests {

	private static final int CALLS = 6;

	/** An address at which nothing listens. */
	private static final String NO_SERVER = "127.0.0.1:1";

	/** Long enough for the gateway to receive bytes while no call is in progress. */
	private static final long IDLE_MILLIS = 15;

	private static final List<String> PATHS = List.of("/sheets/", "/visits/", "/drafts/", "/summaries/");

	/** The length of the longest prefix of a second answer. */
	private static final int MAX_CUT = secondAnswer(Naming.FIRST_CALL, "c100", 200).length() - 1;

	private GatewayHarness gateway;

	/** The last request on each connection. */
	private final Map<Socket, Request> answered = new ConcurrentHashMap<>();

	@BeforeEach
	void start() {
		this.gateway = GatewayHarness.start();
	}

	@AfterEach
	void stop() {
		this.gateway.close();
	}

	static Stream<Arguments> secondAnswers() {
		return PATHS.stream()
			.flatMap((path) -> Stream.of(Naming.values())
				.flatMap((naming) -> Stream.of(Moment.values())
					.flatMap((moment) -> Stream.of(200, 500)
						.map((ownStatus) -> Arguments.of(path, naming, moment, ownStatus)))));
	}

	static Stream<Arguments> tunnelledAnswers() {
		return Stream.of(Naming.values())
			.flatMap((naming) -> Stream.of(Moment.values()).map((moment) -> Arguments.of(naming, moment)));
	}

	// Guards against a caller who gets the answer to another call, because the answer
	// names no call or the connection was open for both.
	@ParameterizedTest
	@MethodSource("secondAnswers")
	void shouldGiveCallerItsOwnAnswerWhenServerAnswersTwice(String path, Naming naming, Moment moment, int ownStatus)
			throws IOException {
		int otherStatus = (ownStatus == 200) ? 500 : 200;
		ScriptedServer.Script script = (request, exchange) -> answerTwice(request, exchange, moment, ownStatus,
				(first) -> secondAnswer(naming, first.call(), otherStatus));
		try (ScriptedServer _ = this.gateway.startServer(script); RawCaller caller = this.gateway.caller()) {
			for (int i = 0; i < CALLS; i++) {
				Response response = send(caller, path, "c" + (100 + i));
				assertThat(response.status()).isEqualTo(ownStatus);
				assertThat(response.body()).isEqualTo(event("c" + (100 + i)));
				awaitSecond(moment);
			}
		}
	}

	// Guards against answers that are told apart on the own links only: those of calls
	// through another gateway come over its connection.
	@ParameterizedTest
	@MethodSource("tunnelledAnswers")
	void shouldGiveCallerItsOwnAnswerWhenAnotherGatewayCarriesCall(Naming naming, Moment moment) throws IOException {
		PlainCodecs codecs = new PlainCodecs();
		ScriptedServer.Script script = (request, exchange) -> answerTwice(request, exchange, moment, 500,
				(first) -> secondAnswer(naming, first.call(), 200));
		List<GatewayHarness> fleet = GatewayHarness.startFleet(this.gateway.store,
				List.of(codecs.withServersAt((_) -> NO_SERVER), codecs));
		try (ScriptedServer server = ScriptedServer.start(script)) {
			fleet.getFirst().declare();
			for (GatewayHarness each : fleet) {
				each.register("s1", server).ready();
				GatewayHarness.await(() -> each.liveGateways() == fleet.size());
			}
			try (RawCaller caller = fleet.getFirst().caller()) {
				for (int i = 0; i < CALLS; i++) {
					Response response = send(caller, "/drafts/", "c" + (100 + i));
					assertThat(response.status()).isEqualTo(500);
					assertThat(response.body()).isEqualTo(event("c" + (100 + i)));
				}
			}
			assertThat(fleet.getLast().metric("counters", "calls.carried")).isEqualTo(CALLS);
		}
		finally {
			fleet.forEach(GatewayHarness::stop);
		}
	}

	// Guards against the answer to an earlier attempt when callers use an identifier
	// again.
	@ParameterizedTest
	@EnumSource(Moment.class)
	void shouldGiveCallerItsOwnAnswerWhenCallersRepeatIdentifier(Moment moment) throws IOException {
		ScriptedServer.Script script = (request, exchange) -> answerTwice(request, exchange, moment, 500,
				(first) -> secondAnswer(Naming.FIRST_CALL, first.call(), 200));
		try (ScriptedServer _ = this.gateway.startServer(script); RawCaller caller = this.gateway.caller()) {
			for (int i = 0; i < CALLS; i++) {
				assertThat(send(caller, "/drafts/", "c100").status()).isEqualTo(500);
			}
		}
	}

	// Guards against an answer that begins with the head of one that was broken off: its
	// status and headers would stand before those of the caller's own answer.
	@ParameterizedTest
	@EnumSource(Moment.class)
	void shouldGiveCallerNoSuccessWhenSecondAnswerIsBrokenOff(Moment moment) throws IOException {
		List<String> wrong = new ArrayList<>();
		int[] cut = new int[1];
		ScriptedServer.Script script = (request, exchange) -> answerTwice(request, exchange, moment, 500,
				(first) -> secondAnswer(Naming.FIRST_CALL, first.call(), 200).substring(0, cut[0]));
		try (ScriptedServer _ = this.gateway.startServer(script)) {
			for (cut[0] = 1; cut[0] <= MAX_CUT; cut[0]++) {
				for (Response response : sendTwo("/drafts/", cut[0])) {
					if (response.status() != 500 && response.status() != 502) {
						wrong.add(cut[0] + ": " + response.status());
					}
				}
			}
		}
		assertThat(wrong).as("length of the part that was received, and status").isEmpty();
	}

	// Guards against the answer to a HEAD request, which has no body, that a late one
	// takes the place of.
	@ParameterizedTest
	@EnumSource(Moment.class)
	void shouldReadAnswersToHeadRequestsWhenServerAnswersTwice(Moment moment) throws IOException {
		ScriptedServer.Script script = (request, exchange) -> answerTwice(request, exchange, moment, 500,
				(first) -> secondAnswer(Naming.FIRST_CALL, first.call(), 200));
		try (ScriptedServer _ = this.gateway.startServer(script)) {
			for (int i = 0; i < CALLS; i++) {
				String request = RawCaller.get("c" + i, "/sheets/").replace("Key:", "Connection: close\r\nKey:");
				try (RawCaller caller = this.gateway.caller()) {
					String sent = (i % 2 == 0) ? request : request.replace("GET", "HEAD");
					assertThat(caller.send(sent).readToEnd().status()).isEqualTo(500);
				}
			}
		}
	}

	// Guards against a call without identifier that shares a connection with others,
	// whose
	// answers cannot be told from its own.
	@ParameterizedTest
	@EnumSource(Moment.class)
	void shouldGiveCallerItsOwnAnswerWhenCallsHaveNoIdentifier(Moment moment) throws IOException {
		ScriptedServer.Script script = (request, exchange) -> answerTwice(request, exchange, moment, 500,
				(_) -> secondAnswer(Naming.NONE, "", 200));
		try (ScriptedServer _ = this.gateway.startServer(script); RawCaller caller = this.gateway.caller()) {
			for (int i = 0; i < CALLS; i++) {
				String request = RawCaller.get("c" + i, "/sheets/");
				String unnamed = (i % 2 == 0) ? request : request.replace("Call: c" + i + "\r\n", "");
				assertThat(caller.send(unnamed).read().status()).isEqualTo(500);
			}
		}
	}

	private List<Response> sendTwo(String path, int number) throws IOException {
		try (RawCaller caller = this.gateway.caller()) {
			return IntStream.of(0, 1)
				.mapToObj((i) -> sendUnchecked(caller, path, "c" + (100 + 2 * number + i)))
				.toList();
		}
	}

	private static Response sendUnchecked(RawCaller caller, String path, String call) {
		try {
			return send(caller, path, call);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static Response send(RawCaller caller, String path, String call) throws IOException {
		return caller.send(RawCaller.get(call, path)).read();
	}

	// -- server

	private void answerTwice(Request request, Exchange exchange, Moment moment, int status, SecondAnswer second)
			throws IOException {
		Request first = this.answered.put(exchange.socket(), request);
		String own = answer(request.call(), status, request.line().startsWith("HEAD"));
		switch (moment) {
			case WITH_FIRST -> exchange.write(own + second.after(request));
			case WHILE_IDLE -> {
				exchange.write(own);
				sleep(IDLE_MILLIS);
				exchange.write(second.after(request));
			}
			case BEFORE_NEXT -> exchange.write(((first != null) ? second.after(first) : "") + own);
			case BEFORE_NEXT_IN_PARTS -> {
				for (char letter : ((first != null) ? second.after(first) : "").toCharArray()) {
					exchange.write(String.valueOf(letter));
				}
				exchange.write(own);
			}
			case AFTER_INTERIM ->
				exchange.write("HTTP/1.1 100 Continue\r\n\r\n" + ((first != null) ? second.after(first) : "") + own);
		}
	}

	private static String answer(String call, int status, boolean withoutBody) {
		String body = event(call);
		return "HTTP/1.1 " + status + " X\r\n" + (call.isEmpty() ? "" : "Call: " + call + "\r\n")
				+ "Signature: s\r\nContent-Type: text/event-stream\r\nContent-Length: " + body.length() + "\r\n\r\n"
				+ (withoutBody ? "" : body);
	}

	private static String secondAnswer(Naming naming, String first, int status) {
		String name = switch (naming) {
			case FIRST_CALL -> "Call: " + first + "\r\n";
			case NONE, NONE_IN_CHUNKS -> "";
			case TWO_CALLS -> "Call: " + first + "\r\nCall: other\r\n";
		};
		String head = "HTTP/1.1 " + status + " X\r\n" + name + "Signature: s\r\nContent-Type: text/event-stream\r\n";
		return (naming == Naming.NONE_IN_CHUNKS)
				? head + "Transfer-Encoding: chunked\r\n\r\nd\r\ndata: wrong\n\n\r\n0\r\n\r\n"
				: head + "Content-Length: 13\r\n\r\ndata: wrong\n\n";
	}

	private static String event(String call) {
		return "data: " + call + "\n\n";
	}

	// So that the second answer is received while no call is in progress.
	private static void awaitSecond(Moment moment) {
		if (moment == Moment.WHILE_IDLE) {
			sleep(2 * IDLE_MILLIS);
		}
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/** What a second answer says of the call that it belongs to. */
	private enum Naming {

		FIRST_CALL, NONE, NONE_IN_CHUNKS, TWO_CALLS

	}

	/** When the second answer to a call is received. */
	private enum Moment {

		/** In the same read as the first one. */
		WITH_FIRST,

		/** While no call is in progress on the connection. */
		WHILE_IDLE,

		/** While the next call awaits its answer. */
		BEFORE_NEXT, BEFORE_NEXT_IN_PARTS,

		/** Behind an interim answer to the next call. */
		AFTER_INTERIM

	}

	/** Returns the second answer to a request. */
	private interface SecondAnswer {

		String after(Request first);

	}

}
