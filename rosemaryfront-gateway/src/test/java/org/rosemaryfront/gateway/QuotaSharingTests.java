package org.rosemaryfront.gateway;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.junit.jupiter.api.Test;

import org.rosemaryfront.routes.CallerLimits;

import static org.assertj.core.api.Assertions.assertThat;

class QuotaSharingTests {

	private static final long WINDOW_MILLIS = 2_000;

	private static final double CALLS_PER_SECOND = 100;

	private static final int BURST_MILLIS = 4_000;

	// All processes are killed during an outage of the store, and start before it ends.
	// Their first read of the table of gateways failed, and the next one was ten seconds
	// later: each process took itself for the only gateway, and an organisation that sent
	// a burst right after the outage got its whole quota from each of them.
	@Test
	void shouldEnforceQuotaWhenStoreIsUnavailableAtStart() throws Exception {
		MemoryRowStore store = new MemoryRowStore();
		store.setUnavailable(true);
		List<GatewayHarness> fleet = GatewayHarness.startFleet(store, 3, WINDOW_MILLIS);
		try (ScriptedServer server = ScriptedServer.start((request, exchange) -> exchange.ok(request, "x"))) {
			// Long enough for the first read to fail.
			Thread.sleep(500);
			store.setUnavailable(false);
			fleet.getFirst()
				.declare(GatewayHarness.configuration(1, CallerLimits.INITIAL,
						GatewayHarness.organisation(CALLS_PER_SECOND)));
			for (GatewayHarness gateway : fleet) {
				gateway.register("s1", server).ready();
			}
			sendBurst(fleet);
			double allowed = CALLS_PER_SECOND * BURST_MILLIS / 1_000;
			assertThat((double) server.requests().size()).isBetween(1.0, 1.5 * allowed);
		}
		finally {
			fleet.forEach(GatewayHarness::close);
		}
	}

	private static void sendBurst(List<GatewayHarness> fleet) throws Exception {
		long until = System.nanoTime() + BURST_MILLIS * 1_000_000L;
		try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
			List<Future<?>> all = fleet.stream()
				.<Future<?>>map((gateway) -> callers.submit(() -> sendCalls(gateway, until)))
				.toList();
			for (Future<?> caller : all) {
				caller.get();
			}
		}
	}

	private static Void sendCalls(GatewayHarness gateway, long untilNanos) throws IOException, InterruptedException {
		while (System.nanoTime() - untilNanos < 0) {
			gateway.send(RawCaller.get("c1", "/sheets/"));
			Thread.sleep(2);
		}
		return null;
	}

}
