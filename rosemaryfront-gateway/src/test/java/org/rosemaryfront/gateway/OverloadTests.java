package org.rosemaryfront.gateway;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;

import org.rosemaryfront.gateway.RawCaller.Response;

import static org.assertj.core.api.Assertions.assertThat;

class OverloadTests {

	private static final long TURN_MILLIS = 300;

	/** How long a call keeps the thread of all sockets busy. */
	private static final long SEND_MILLIS = 24;

	private static final int CALLS = 300;

	/**
	 * The part of the calls, in percent, that the users' deployments want answered in
	 * time.
	 */
	private static final int FLOOR_PERCENT = 45;

	// Guards against callers that are served late by an overloaded gateway, although
	// another one would serve them if their connections were closed unread.
	@Test
	void shouldCloseNewConnectionsUnreadWhileOverloaded() throws IOException {
		try (GatewayHarness gateway = GatewayHarness.start();
				ScriptedServer server = gateway.startServer((request, exchange) -> exchange.ok(request, "x"))) {
			CountDownLatch until = new CountDownLatch(1);
			gateway.overload(TURN_MILLIS, until);
			GatewayHarness.await(() -> isTurnedAway(gateway));
			assertThat(server.requests()).allSatisfy((request) -> assertThat(request.call()).startsWith("probe"));
			until.countDown();
			GatewayHarness.await(() -> !isTurnedAway(gateway));
			assertThat(gateway.send(RawCaller.get("c2", "/sheets/")).status()).isEqualTo(200);
		}
	}

	// A single pause is over when the connections that arrived meanwhile are accepted.
	@Test
	void shouldServeNewConnectionsAfterSinglePause() throws IOException, InterruptedException {
		try (GatewayHarness gateway = GatewayHarness.start();
				ScriptedServer _ = gateway.startServer((request, exchange) -> exchange.ok(request, "x"))) {
			CountDownLatch begun = new CountDownLatch(1);
			CountDownLatch until = new CountDownLatch(1);
			gateway.stall(begun, until);
			begun.await();
			try (RawCaller caller = gateway.caller()) {
				caller.send(RawCaller.get("c1", "/sheets/"));
				Thread.sleep(2 * TURN_MILLIS);
				until.countDown();
				assertThat(caller.read().status()).isEqualTo(200);
			}
		}
	}

	// Guards against a gateway that takes more calls than it has processor time for, so
	// that it answers hardly any of them in time.
	@Test
	void shouldAnswerWhatItCanInTimeWhenCallsNeedHalfMoreThanItsThread() throws Exception {
		try (GatewayHarness gateway = GatewayHarness.startOne(new MemoryRowStore(), 1,
				new PlainCodecs().withSendMillis(SEND_MILLIS));
				ScriptedServer _ = gateway.startServer((request, exchange) -> exchange.ok(request, "x"))) {
			Crowd crowd = Crowd.call(gateway, CALLS, 2 * SEND_MILLIS / 3);
			assertThat(crowd.inTime()).as(crowd::toString).isGreaterThan(CALLS * FLOOR_PERCENT / 100);
		}
	}

	// A connection that is closed unread brings no response.
	private static boolean isTurnedAway(GatewayHarness gateway) {
		try {
			Response response = gateway.send(RawCaller.get("probe", "/sheets/"));
			return response.head().isEmpty();
		}
		catch (SocketTimeoutException ex) {
			return false;
		}
		catch (IOException ex) {
			// The connection was reset.
			return true;
		}
	}

}
