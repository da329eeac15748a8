package org.rosemaryfront.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rosemaryfront.gateway.RawCaller.Response;

import static org.assertj.core.api.Assertions.assertThat;

/** What callers get whose calls are in progress when the time of a stop is over. */
class CallsAtEndOfStopTests {

	/** Shorter than the timeout of the routes. */
	private static final int STOP_MILLIS = 2_000;

	// Guards against calls that are cut off without an answer when the process ends.
	@ParameterizedTest
	@CsvSource({ "/visits/, 502", "/sheets/, 502", "/drafts/, 502" })
	void shouldAnswerCallThatServerHasWhenProcessEnds(String path, int status) throws Exception {
		GatewayHarness gateway = GatewayHarness.startWithStopTime(STOP_MILLIS);
		try (ScriptedServer server = gateway.startServer((request, exchange) -> exchange.hold());
				RawCaller caller = gateway.caller()) {
			caller.send(RawCaller.post("c1", path, "x"));
			GatewayHarness.await(() -> !server.requests().isEmpty());
			Response answer = answerWhileStopping(gateway, caller);
			assertThat(answer.status()).isEqualTo(status);
			assertThat(answer.complete()).isTrue();
			assertThat(answer.hasHeader("retry-after")).isFalse();
		}
		finally {
			gateway.store.close();
		}
	}

	// Guards against a call that no server has and whose caller does not learn it.
	@Test
	void shouldRefuseCallThatNoServerHasWhenProcessEnds() throws Exception {
		GatewayHarness gateway = GatewayHarness.startWithStopTime(STOP_MILLIS);
		try (ScriptedServer server = gateway.startServer((request, exchange) -> exchange.ok(request, "x"));
				RawCaller caller = gateway.caller()) {
			String request = RawCaller.post("c1", "/visits/", "xx");
			caller.send(request.substring(0, request.length() - 1));
			GatewayHarness.await(() -> gateway.metric("gauges", "callers.connections") == 1);
			Response answer = answerWhileStopping(gateway, caller);
			assertThat(answer.status()).isEqualTo(503);
			assertThat(answer.hasHeader("retry-after")).isTrue();
			assertThat(server.requests()).isEmpty();
		}
		finally {
			gateway.store.close();
		}
	}

	// Guards against a request that must not be repeated and that a server gets shortly
	// before the process ends.
	@Test
	void shouldNotSendCallThatMustNotBeRepeatedWhenItMayOutlastProcess() throws Exception {
		GatewayHarness gateway = GatewayHarness.startWithStopTime(STOP_MILLIS);
		try (ScriptedServer server = gateway.startServer((request, exchange) -> exchange.ok(request, "x"));
				RawCaller late = gateway.caller();
				RawCaller held = gateway.caller()) {
			held.send(
					"POST /sheets/ HTTP/1.1\r\nHost: a.example\r\nCall: c0\r\nKey: key-1\r\nContent-Length: 2\r\n\r\nx");
			String request = RawCaller.post("c1", "/visits/", "xx");
			late.send(request.substring(0, request.length() - 1));
			GatewayHarness.await(() -> gateway.metric("gauges", "callers.connections") == 2);
			CompletableFuture<Void> stopped = CompletableFuture.runAsync(gateway::stop);
			Thread.sleep(STOP_MILLIS / 4);
			late.send(request.substring(request.length() - 1));
			Response answer = late.read();
			assertThat(answer.status()).isEqualTo(503);
			assertThat(answer.hasHeader("retry-after")).isTrue();
			assertThat(server.requests()).isEmpty();
			stopped.get(10, TimeUnit.SECONDS);
		}
		finally {
			gateway.store.close();
		}
	}

	private static Response answerWhileStopping(GatewayHarness gateway, RawCaller caller) throws Exception {
		CompletableFuture<Void> stopped = CompletableFuture.runAsync(gateway::stop);
		Response answer = caller.read();
		stopped.get(10, TimeUnit.SECONDS);
		return answer;
	}

}
