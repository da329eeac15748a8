package org.rosemaryfront.gateway;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import org.rosemaryfront.gateway.PartitionedFleet.Outcome;
import org.rosemaryfront.standin.net.Relay.Partition;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests gateways that lose their links to all backend servers, while callers, the store
 * and the other gateways still reach them.
 */
class ServerPartitionTests {

	private static final int GATEWAYS = 3;

	private static final int SERVERS = 2;

	private static final List<Integer> CUT = List.of(0);

	/** The time of calls before the partition, in milliseconds. */
	private static final long WARM_UP_MILLIS = 1_500;

	/** From then on the users' rule holds after a partition began, in milliseconds. */
	private static final long CONTACT_MILLIS = 3_000;

	/** How long calls are counted during the partition, in milliseconds. */
	private static final long COUNTED_MILLIS = 4_000;

	// Guards against a gateway that has no way to the servers but its own links.
	@ParameterizedTest
	@EnumSource(Partition.class)
	void shouldServeCallersOfCutGatewayWhenOthersReachServers(Partition kind) throws Exception {
		try (PartitionedFleet fleet = PartitionedFleet.start(GATEWAYS, SERVERS)) {
			fleet.call();
			Thread.sleep(WARM_UP_MILLIS);
			fleet.partition(kind, CUT);
			Thread.sleep(CONTACT_MILLIS);
			long from = System.nanoTime();
			Thread.sleep(COUNTED_MILLIS);
			long until = System.nanoTime();
			// Long enough for the calls that started last.
			Thread.sleep(CONTACT_MILLIS);
			assertServed(fleet.outcomes(from, until));
			assertThat(fleet.ranTwice()).isEmpty();
			assertThat(fleet.ranThoughRefused()).isEmpty();
			fleet.heal(CUT);
			Thread.sleep(CONTACT_MILLIS);
			assertServed(fleet.outcomes(System.nanoTime() - TimeUnit.SECONDS.toNanos(1), System.nanoTime()));
		}
	}

	// Guards against taking the loss of the own links for crashes of the servers, which
	// makes all gateways avoid servers that run and quarantine requests.
	@Test
	void shouldReportNoCrashWhenOnlyOwnLinksFail() throws Exception {
		try (PartitionedFleet fleet = PartitionedFleet.start(GATEWAYS, SERVERS)) {
			fleet.call();
			Thread.sleep(WARM_UP_MILLIS);
			fleet.partition(Partition.RESET, CUT);
			Thread.sleep(COUNTED_MILLIS);
			for (int gateway = 0; gateway < GATEWAYS; gateway++) {
				assertThat(fleet.gateway(gateway).metric("counters", "crashes.confirmed")).isLessThan(1);
			}
		}
	}

	// As many of the first tries at cut gateways fail as the rule allows, whatever the
	// others serve.
	private static void assertServed(List<Outcome> outcomes) {
		PartitionedFleet.assertServed(outcomes.stream().filter((outcome) -> CUT.contains(outcome.gateway())).toList(),
				CUT);
	}

}
