package org.rosemaryfront.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests gateways whose servers state how many rejections a second they withstand, while
 * callers want more than the servers can run.
 */
class RejectionLimitTests {

	private static final int GATEWAYS = 3;

	private static final int SERVERS = 2;

	/** The slots that the servers register, and all that they take. */
	private static final int SLOTS = 8;

	private static final int MAX_REJECTIONS = 5;

	private static final long SECOND_MILLIS = 1_000;

	/** The time that a server takes for a request, in nanoseconds. */
	private static final long ANSWER_NANOS = 100_000_000;

	/** From then on the users' rule holds after the servers first said so. */
	private static final long KNOWN_AFTER_MILLIS = 3_000;

	private static final long CALL_MILLIS = 8_000;

	/** The time between two calls at a gateway, in milliseconds. */
	private static final long CALL_INTERVAL_MILLIS = 15;

	private final AtomicInteger lastCall = new AtomicInteger();

	private final AtomicInteger served = new AtomicInteger();

	// Guards against gateways that each fill a server until it rejects requests, so that
	// together they make it fail.
	@Test
	void shouldStayWithinRejectionsThatServersWithstandWhenCallersWantMore() throws Exception {
		List<GatewayHarness> fleet = GatewayHarness.startFleet(new MemoryRowStore(), GATEWAYS, 8_000);
		List<CountingServer> servers = new ArrayList<>();
		try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
			fleet.getFirst().declare();
			for (int i = 0; i < SERVERS; i++) {
				CountingServer server = new CountingServer();
				servers.add(server);
				fleet.getFirst().register("s" + i, server.server);
			}
			for (GatewayHarness gateway : fleet) {
				gateway.ready(List.of("s0", "s1"));
			}
			long from = System.nanoTime() / 1_000_000 + KNOWN_AFTER_MILLIS;
			callAll(fleet, callers);
			for (CountingServer server : servers) {
				assertThat(server.mostRejectionsInSecond(from)).isLessThanOrEqualTo(MAX_REJECTIONS);
			}
			long half = SERVERS * SLOTS * CALL_MILLIS * 1_000_000 / ANSWER_NANOS / 2;
			assertThat(this.served.get()).isGreaterThan((int) half);
		}
		finally {
			fleet.forEach(GatewayHarness::close);
			servers.forEach((server) -> server.server.close());
		}
	}

	private void callAll(List<GatewayHarness> fleet, ExecutorService callers) throws InterruptedException {
		long until = System.nanoTime() + CALL_MILLIS * 1_000_000;
		while (System.nanoTime() - until < 0) {
			for (GatewayHarness gateway : fleet) {
				callers.submit(() -> call(gateway));
			}
			Thread.sleep(CALL_INTERVAL_MILLIS);
		}
	}

	private Void call(GatewayHarness gateway) throws IOException {
		RawCaller.Response response = gateway.send(RawCaller.get("c" + this.lastCall.incrementAndGet(), "/sheets/"));
		if (response.status() == 200) {
			this.served.incrementAndGet();
		}
		return null;
	}

	/** A server that rejects what it cannot run at once. */
	private static final class CountingServer {

		private final AtomicInteger running = new AtomicInteger();

		private final List<Long> rejectedMillis = new CopyOnWriteArrayList<>();

		private final ScriptedServer server = ScriptedServer.start(this::answer);

		private void answer(ScriptedServer.Request request, ScriptedServer.Exchange exchange) throws IOException {
			String stated = "Rejections: " + MAX_REJECTIONS + "\r\n";
			if (this.running.incrementAndGet() > SLOTS) {
				this.rejectedMillis.add(System.nanoTime() / 1_000_000);
				this.running.decrementAndGet();
				exchange.status(request, 503, stated + "Not-Run: yes\r\n");
				return;
			}
			LockSupport.parkNanos(ANSWER_NANOS);
			this.running.decrementAndGet();
			exchange.write("HTTP/1.1 200 OK\r\nCall: " + request.call() + "\r\nSignature: s\r\n" + stated
					+ "Content-Length: 1\r\n\r\nx");
		}

		private long mostRejectionsInSecond(long fromMillis) {
			return this.rejectedMillis.stream()
				.filter((end) -> end >= fromMillis)
				.mapToLong((end) -> this.rejectedMillis.stream()
					.filter((at) -> at > end - SECOND_MILLIS && at <= end)
					.count())
				.max()
				.orElse(0);
		}

	}

}
