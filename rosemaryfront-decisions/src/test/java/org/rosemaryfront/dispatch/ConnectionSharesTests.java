package org.rosemaryfront.dispatch;

import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ConnectionSharesTests {

	private static final int LIMIT = 370;

	/** The calls that a server runs at once. */
	private static final int SLOTS = 64;

	// Guards against calls without a connection at a gateway that most callers of an
	// availability zone, or of all zones, come to.
	@ParameterizedTest
	@CsvSource({ "9, 3", "9, 1", "87, 3", "87, 1", "385, 3", "385, 1" })
	void shouldHaveConnectionsWhenMostCallersComeToOneGateway(int gateways, int zones) {
		int servers = Math.max(6, gateways * 2 / 3);
		int allCalls = servers * SLOTS / 2;
		int ownCalls = allCalls / zones;
		int connections = servers * ConnectionShares.connections(LIMIT, gateways, ownCalls, allCalls);
		assertThat(connections).isGreaterThanOrEqualTo(ownCalls);
	}

	@ParameterizedTest
	@ValueSource(ints = { 9, 30, 87 })
	void shouldStayWithinLimitWhenCallersAreDividedUnevenly(int gateways) {
		int allCalls = IntStream.rangeClosed(1, gateways).map((i) -> i * i).sum();
		int sum = IntStream.rangeClosed(1, gateways)
			.map((i) -> ConnectionShares.connections(LIMIT, gateways, i * i, allCalls))
			.sum();
		assertThat(sum).isLessThanOrEqualTo(LIMIT);
	}

	@ParameterizedTest
	@CsvSource({ "1, 296", "9, 32", "30, 9", "87, 3", "385, 2" })
	void shouldDivideEvenlyWhenNoCallIsInProgress(int gateways, int connections) {
		assertThat(ConnectionShares.connections(LIMIT, gateways, 0, 0)).isEqualTo(connections);
	}

}
