package org.rosemaryfront.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rosemaryfront.dispatch.NoticeFleet.Arrival;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests in virtual time, with a silent store, what servers say of themselves. */
class NoticeFleetTests {

	/** The requests that the users' rule allows within a backoff. */
	private static final int ALLOWED_WITHIN_BACKOFF = 2;

	private static final double CUT_LINKS = 0.1;

	// Guards against requests to a server that has told the gateway that it leaves, with
	// links cut and gateways paused and started.
	@ParameterizedTest
	@CsvSource({ "9, 9, 70, true, 1", "9, 9, 70, false, 2", "87, 65, 400, true, 3", "385, 100, 1200, true, 4" })
	void shouldSendNothingToServerThatToldGatewayThatItLeaves(int gateways, int servers, double rate, boolean told,
			long seed) {
		NoticeFleet fleet = new NoticeFleet(gateways, servers, told, seed);
		fleet.callPerSecond(rate);
		fleet.run(2_000);
		long from = fleet.nowMillis();
		fleet.leave(third(servers));
		disturb(fleet, gateways);
		Map<List<Integer>, Long> first = new HashMap<>();
		for (Arrival arrival : fleet.arrivalsAtLeaving()) {
			if (arrival.atMillis() >= from) {
				long firstMillis = first.computeIfAbsent(List.of(arrival.gateway(), arrival.start(), arrival.server()),
						(_) -> arrival.atMillis());
				assertThat(arrival.atMillis() - firstMillis).isLessThanOrEqualTo(NoticeFleet.RUN_MILLIS);
			}
		}
		assertThat(first).isNotEmpty();
		assertThat(fleet.served()).isPositive();
	}

	// Guards against requests to servers that want none for a while, again and again.
	@ParameterizedTest
	@CsvSource({ "9, 6, 70, true, 5", "9, 6, 70, false, 6", "87, 65, 400, true, 7", "385, 100, 1200, true, 8" })
	void shouldSendAtMostTwoRequestsWithinBackoff(int gateways, int servers, double rate, boolean told, long seed) {
		NoticeFleet fleet = new NoticeFleet(gateways, servers, told, seed);
		fleet.callPerSecond(rate);
		fleet.run(2_000);
		fleet.reject(third(servers));
		disturb(fleet, gateways);
		fleet.reject(Set.of());
		fleet.run(5_000);
		assertThat(fleet.rejected()).isPositive();
		assertThat(fleet.refused()).isZero();
		assertThat(fleet.mostWithinBackoff()).isLessThanOrEqualTo(ALLOWED_WITHIN_BACKOFF);
	}

	private static void disturb(NoticeFleet fleet, int gateways) {
		fleet.cutLinks(CUT_LINKS);
		fleet.run(1_000);
		fleet.pause(gateways - 1, true);
		fleet.run(1_500);
		fleet.pause(gateways - 1, false);
		fleet.restart(0);
		fleet.run(7_500);
	}

	private static Set<Integer> third(int servers) {
		return IntStream.range(0, servers / 3).boxed().collect(Collectors.toSet());
	}

}
