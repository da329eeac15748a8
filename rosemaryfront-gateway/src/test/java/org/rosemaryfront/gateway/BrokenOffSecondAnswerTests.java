package org.rosemaryfront.gateway;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.rosemaryfront.gateway.RawCaller.Response;
import org.rosemaryfront.gateway.ScriptedServer.Script;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests second answers of backend servers that are broken off, and other bytes that the
 * decoder takes for a part of the answer behind them.
 */
class BrokenOffSecondAnswerTests {

	private static final String STRAY = "HTTP/1.1 200 X\r\nCall: c100\r\nSignature: s\r\n"
			+ "Content-Type: text/event-stream\r\nContent-Length: 13\r\n\r\ndata: wrong\n\n";

	private GatewayHarness gateway;

	private final Map<Socket, Integer> answers = new ConcurrentHashMap<>();

	@BeforeEach
	void start() {
		this.gateway = GatewayHarness.start();
	}

	@AfterEach
	void stop() {
		this.gateway.close();
	}

	// Guards against a call that is sent behind a part of an answer and fails with it.
	@ParameterizedTest
	@ValueSource(strings = { "WHILE_IDLE", "WITH_FIRST" })
	void shouldNotSendCallWhenPartOfAnswerWasReceived(String moment) throws IOException {
		int[] cut = new int[1];
		Script script = (request, exchange) -> {
			String own = answer("HTTP/1.1 500 X", request.call());
			if (this.answers.merge(exchange.socket(), 1, Integer::sum) > 1) {
				exchange.write(own);
			}
			else if (moment.equals("WITH_FIRST")) {
				exchange.write(own + STRAY.substring(0, cut[0]));
			}
			else {
				exchange.write(own);
				sleep(10);
				exchange.write(STRAY.substring(0, cut[0]));
			}
		};
		List<String> wrong = new ArrayList<>();
		try (ScriptedServer _ = this.gateway.startServer(script)) {
			for (cut[0] = 1; cut[0] < STRAY.length(); cut[0]++) {
				try (RawCaller caller = this.gateway.caller()) {
					// Each waits until the part was received while no call was in
					// progress.
					for (String call : List.of("a", "b")) {
						Response response = caller.send(RawCaller.get(call + cut[0], "/drafts/")).read();
						if (response.status() != 500) {
							wrong.add(call + cut[0] + ": " + response.status());
						}
						sleep(30);
					}
				}
			}
		}
		assertThat(wrong).as("cut and status").isEmpty();
	}

	// Guards against a connection that is used again although its bytes are no longer
	// decoded.
	@Test
	void shouldNotReuseConnectionWhenServerSwitchesProtocols() throws IOException {
		Script script = (request, exchange) -> {
			boolean first = this.answers.merge(exchange.socket(), 1, Integer::sum) == 1;
			exchange.write((first && request.call().equals("c1"))
					? "HTTP/1.1 101 X\r\nCall: c1\r\nSignature: s\r\n"
							+ "Upgrade: other\r\nConnection: Upgrade\r\nContent-Length: 0\r\n\r\n"
					: answer("HTTP/1.1 200 X", request.call()));
		};
		try (ScriptedServer _ = this.gateway.startServer(script)) {
			try (RawCaller caller = this.gateway.caller()) {
				Response first = caller.send(RawCaller.get("c1", "/sheets/")).read();
			}
			sleep(30);
			try (RawCaller caller = this.gateway.caller()) {
				long begun = System.nanoTime();
				Response second = caller.send(RawCaller.get("c2", "/sheets/")).read();
				assertThat(second.status()).isEqualTo(200);
			}
		}
	}

	// Guards against a caller who waits for the deadline behind a second answer that
	// lacks
	// the rest of its body.
	@Test
	void shouldNotWaitForDeadlineWhenSecondAnswerLacksRest() throws IOException {
		Script script = (request, exchange) -> {
			String stray = "HTTP/1.1 200 X\r\nCall: c100\r\nSignature: s\r\nContent-Length: 1000\r\n\r\ndata: wr";
			boolean first = this.answers.merge(exchange.socket(), 1, Integer::sum) == 1;
			exchange.write((first ? "" : stray) + answer("HTTP/1.1 500 X", request.call()));
		};
		try (ScriptedServer _ = this.gateway.startServer(script); RawCaller caller = this.gateway.caller()) {
			caller.send(RawCaller.get("c1", "/visits/")).read();
			sleep(30);
			long begun = System.nanoTime();
			Response second = caller.send(RawCaller.get("c2", "/visits/")).read();
			long millis = (System.nanoTime() - begun) / 1_000_000;
			assertThat(millis).isLessThan(2_000);
		}
	}

	// Guards against a success that is the first half of an answer and a failure that is
	// the second one, however its status line is written.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 500 X", "HTTP/1.1 500", "HTTP/1.1 500 ", "HTTP/1.1  500 X", "HTTP/1.1\t500 X",
			"http/1.1 500 X", "HTTP/1.1 500\tX", "HTTP/1.2 500 X", "HTTP/2.0 500 X", "HTTP/2 500 X", " HTTP/1.1 500 X",
			"HTTP/1.0 500 X", "HTTP/1.1 599 X", "HTTP/1.1 600 X" })
	void shouldGiveCallerNoSuccessWhenStatusLineFollowsBrokenOffOne(String line) throws IOException {
		List<String> results = new ArrayList<>();
		for (String stray : List.of("", "HTTP/1.1 200 ", "HTTP/1.1 200 X", "HTTP/1.1 200 X\r\nA: b")) {
			String[] prefix = { "" };
			Script script = (request, exchange) -> {
				boolean first = this.answers.merge(exchange.socket(), 1, Integer::sum) == 1;
				exchange.write((first ? "" : stray) + answer(first ? "HTTP/1.1 500 X" : line, request.call()));
			};
			this.gateway.close();
			this.gateway = GatewayHarness.start();
			try (ScriptedServer _ = this.gateway.startServer(script); RawCaller caller = this.gateway.caller()) {
				caller.send(RawCaller.get("c1", "/drafts/")).read();
				sleep(30);
				results.add("'" + stray.replace("\r\n", "|") + "' "
						+ caller.send(RawCaller.get("c2", "/drafts/")).read().status());
			}
		}
		assertThat(results).noneMatch((result) -> result.endsWith(" 200"));
	}

	// Guards against answers that are refused because they report a status line.
	@ParameterizedTest
	@ValueSource(strings = { "X-Log: GET /a HTTP/1.1 200 17", "X-Upstream: HTTP/1.1 503 ", "X-Via: HTTP/1.1 proxy" })
	void shouldAcceptOwnAnswerWhenItQuotesStatusLine(String header) throws IOException {
		Script script = (request, exchange) -> exchange.write(answer("HTTP/1.1 200 X\r\n" + header, request.call()));
		try (ScriptedServer _ = this.gateway.startServer(script)) {
			assertThat(this.gateway.send(RawCaller.get("c1", "/visits/")).status()).isEqualTo(200);
		}
	}

	// Guards against a success out of a second answer, in any framing and cut behind each
	// byte, and the caller's own failure.
	@ParameterizedTest
	@ValueSource(strings = { "chunks", "extension", "trailer", "close", "folded", "twoLengths", "both", "101", "204",
			"304", "interim", "http10", "lf" })
	void shouldGiveCallerNoSuccessWhenSecondAnswerIsCut(String kind) throws IOException {
		String stray = stray(kind);
		int[] cut = new int[1];
		String[] own = new String[1];
		Script script = (request, exchange) -> {
			boolean first = this.answers.merge(exchange.socket(), 1, Integer::sum) == 1;
			exchange.write((first ? "" : stray.substring(0, cut[0])) + own(own[0], request.call()));
		};
		List<String> wrong = new ArrayList<>();
		int slow = 0;
		try (ScriptedServer _ = this.gateway.startServer(script)) {
			for (String framing : List.of("length", "chunks", "empty")) {
				own[0] = framing;
				for (cut[0] = 1; cut[0] <= stray.length(); cut[0]++) {
					try (RawCaller caller = this.gateway.caller()) {
						caller.send(RawCaller.get(framing + "a" + cut[0], "/drafts/")).read();
						long begun = System.nanoTime();
						Response second = caller.send(RawCaller.get(framing + "b" + cut[0], "/drafts/")).read();
						slow += (System.nanoTime() - begun > 250_000_000L) ? 1 : 0;
						if (second.status() != 500 && second.status() != 502 && second.status() != 504) {
							wrong
								.add(framing + " " + cut[0] + ": " + second.head().lines().findFirst() + second.body());
						}
					}
				}
			}
		}
		assertThat(wrong).isEmpty();
	}

	private static String stray(String kind) {
		String head = "HTTP/1.1 200 X\r\nCall: c100\r\nSignature: s\r\n";
		return switch (kind) {
			case "chunks" -> head + "Transfer-Encoding: chunked\r\n\r\nd\r\ndata: wrong\n\n\r\n0\r\n\r\n";
			case "extension" -> head + "Transfer-Encoding: chunked\r\n\r\nd;a=b\r\ndata: wrong\n\n\r\n0;c=d\r\n\r\n";
			case "trailer" ->
				head + "Transfer-Encoding: chunked\r\n\r\nd\r\ndata: wrong\n\n\r\n0\r\nCall: c100\r\nX: y\r\n\r\n";
			case "close" -> head + "\r\ndata: wrong\n\n";
			case "folded" ->
				"HTTP/1.1 200 X\r\nCall:\r\n c100\r\nSignature:\r\n\ts\r\nContent-Length: 13\r\n\r\ndata: wrong\n\n";
			case "twoLengths" -> head + "Content-Length: 13\r\nContent-Length: 5\r\n\r\ndata: wrong\n\n";
			case "both" ->
				head + "Content-Length: 13\r\nTransfer-Encoding: chunked\r\n\r\nd\r\ndata: wrong\n\n\r\n0\r\n\r\n";
			case "101" -> "HTTP/1.1 101 X\r\nCall: c100\r\nUpgrade: other\r\nConnection: Upgrade\r\n\r\n";
			case "204" -> "HTTP/1.1 204 X\r\nCall: c100\r\nSignature: s\r\n\r\n";
			case "304" -> "HTTP/1.1 304 X\r\nCall: c100\r\nSignature: s\r\nContent-Length: 13\r\n\r\n";
			case "interim" -> "HTTP/1.1 103 X\r\nLink: b\r\n\r\n" + head + "Content-Length: 0\r\n\r\n";
			case "http10" ->
				"HTTP/1.0 200 X\r\nCall: c100\r\nSignature: s\r\nContent-Length: 13\r\n\r\ndata: wrong\n\n";
			default -> "HTTP/1.1 200 X\nCall: c100\nSignature: s\nContent-Length: 13\n\ndata: wrong\n\n";
		};
	}

	private static String own(String framing, String call) {
		String head = "HTTP/1.1 500 X\r\nCall: " + call + "\r\nSignature: s\r\n";
		return switch (framing) {
			case "length" -> head + "Content-Length: 4\r\n\r\noops";
			case "chunks" -> head + "Transfer-Encoding: chunked\r\n\r\n4\r\noops\r\n0\r\n\r\n";
			default -> head + "Content-Length: 0\r\n\r\n";
		};
	}

	private static String answer(String line, String call) {
		return line + "\r\nCall: " + call + "\r\nSignature: s\r\nContent-Length: 4\r\n\r\nbody";
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
