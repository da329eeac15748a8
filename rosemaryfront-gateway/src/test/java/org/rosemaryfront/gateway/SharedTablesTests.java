package org.rosemaryfront.gateway;

import java.io.IOException;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SharedTablesTests {

	private static final int GATEWAYS = 6;

	private static final int READERS = 3;

	private final MemoryRowStore store = new MemoryRowStore();

	private List<GatewayHarness> fleet;

	@BeforeEach
	void start() throws IOException {
		this.fleet = GatewayHarness.startFleet(this.store, GATEWAYS, 8_000);
		this.fleet.getFirst().declare();
		for (GatewayHarness gateway : this.fleet) {
			gateway.ready();
		}
		awaitReaders(READERS);
	}

	@AfterEach
	void stop() {
		this.fleet.forEach(GatewayHarness::close);
	}

	// Guards against calls to the store that grow with the number of gateways.
	@Test
	void shouldUpdateAllGatewaysWhenFewReadTheTable() {
		for (int i = 0; i < 5; i++) {
			String server = "s" + i;
			this.store.put(GatewayHarness.SERVERS, server, "app 127.0.0.1:1 ready");
			awaitKnown(this.fleet, server);
			GatewayHarness.await(() -> this.store.waitingRequests(GatewayHarness.SERVERS) == READERS);
		}
	}

	// Guards against missing a row that does not fit into a datagram.
	@Test
	void shouldReadRowFromStoreWhenTooLargeForReport() {
		this.store.put(GatewayHarness.SERVERS, "x".repeat(900), "app 127.0.0.1:1 ready");
		awaitKnown(this.fleet, "x".repeat(900));
		GatewayHarness.await(() -> this.store.waitingRequests(GatewayHarness.SERVERS) == READERS);
	}

	// Guards against a store that rejects exactly those gateways that read it for all
	// others.
	@Test
	void shouldReadFromStoreWhenNoReaderRemains() {
		List<GatewayHarness> readers = this.fleet.stream().filter(GatewayHarness::readsTables).toList();
		List<GatewayHarness> others = this.fleet.stream().filter((gateway) -> !readers.contains(gateway)).toList();
		assertThat(others).hasSize(GATEWAYS - READERS);
		readers.forEach((gateway) -> gateway.storeAccess.rejectAll());
		// The first change completes the queries that were sent before these gateways
		// relied on the readers.
		this.store.put(GatewayHarness.SERVERS, "s1", "app 127.0.0.1:1 ready");
		awaitKnown(this.fleet, "s1");
		GatewayHarness.await(() -> others.stream().anyMatch(GatewayHarness::readsTables));
		this.store.put(GatewayHarness.SERVERS, "s2", "app 127.0.0.1:1 ready");
		awaitKnown(this.fleet, "s2");
	}

	private void awaitReaders(int count) {
		GatewayHarness.await(() -> this.fleet.stream().filter(GatewayHarness::readsTables).count() == count);
	}

	private static void awaitKnown(List<GatewayHarness> gateways, String server) {
		GatewayHarness.await(() -> gateways.stream().allMatch((gateway) -> gateway.knowsServer(server)));
	}

}
