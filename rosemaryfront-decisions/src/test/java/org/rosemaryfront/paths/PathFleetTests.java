package org.rosemaryfront.paths;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rosemaryfront.paths.PathFleet.Outcome;
import org.rosemaryfront.paths.ServerPaths.Sign;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests in virtual time how gateways without links to the servers find others. */
class PathFleetTests {

	/** From then on the users' rule holds after a partition began, in milliseconds. */
	private static final long CONTACT_MILLIS = 3_000;

	private static final long COUNTED_MILLIS = 6_000;

	/** The first tries that may fail in addition to one of the given number. */
	private static final int ALLOWED_FAILURES = 10;

	private static final int ALLOWED_FAILURE_INTERVAL = 50;

	// Guards against callers of cut gateways that are not served while other gateways
	// reach the servers: some gateways, a zone with others, again, with starts and pauses
	// of gateways meanwhile.
	@ParameterizedTest
	@CsvSource({ "9, 70, SILENT, 1", "9, 70, REFUSED, 2", "9, 70, SILENT, 3", "87, 400, SILENT, 4",
			"87, 400, REFUSED, 5", "385, 1200, SILENT, 6" })
	void shouldServeCallersOfCutGatewaysWhenOthersReachServers(int gateways, double rate, Sign sign, long seed) {
		Random random = new Random(seed);
		PathFleet fleet = new PathFleet(gateways, true, seed);
		fleet.callPerSecond(rate);
		fleet.run(4_000);
		for (boolean wholeZone : List.of(false, true)) {
			List<Integer> cut = drawn(fleet, gateways, wholeZone, random);
			fleet.cut(cut, sign);
			fleet.run(CONTACT_MILLIS);
			long from = fleet.nowMillis();
			int paused = notCut(cut, gateways, random);
			fleet.pause(paused, true);
			fleet.restart(cut.getFirst());
			fleet.run(COUNTED_MILLIS);
			fleet.pause(paused, false);
			assertServed(fleet.outcomes(from, true));
			assertServed(fleet.outcomes(from, false));
			fleet.heal();
			fleet.run(COUNTED_MILLIS);
		}
		assertThat(fleet.lostPaths()).isZero();
	}

	// Six of nine gateways, as the users saw it, or a zone and a part of the others.
	private static List<Integer> drawn(PathFleet fleet, int gateways, boolean wholeZone, Random random) {
		List<Integer> cut = new ArrayList<>(
				wholeZone ? fleet.gatewaysOf(random.nextInt(3)) : IntStream.range(0, gateways).boxed().toList());
		if (!wholeZone) {
			Collections.shuffle(cut, random);
			cut = cut.subList(0, gateways * 2 / 3);
		}
		return cut;
	}

	private static int notCut(List<Integer> cut, int gateways, Random random) {
		List<Integer> others = IntStream.range(0, gateways)
			.filter((gateway) -> !cut.contains(gateway))
			.boxed()
			.toList();
		return others.get(random.nextInt(others.size()));
	}

	private static void assertServed(List<Outcome> outcomes) {
		long failed = outcomes.stream().filter((outcome) -> !outcome.served()).count();
		assertThat(outcomes).isNotEmpty();
		assertThat(failed).isLessThanOrEqualTo(ALLOWED_FAILURES + outcomes.size() / ALLOWED_FAILURE_INTERVAL);
	}

}
