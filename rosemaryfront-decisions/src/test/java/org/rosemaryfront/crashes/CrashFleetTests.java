package org.rosemaryfront.crashes;

import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rosemaryfront.crashes.CrashFleet.Load;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Nine servers, seventy requests a second beside one that crashes its servers. That one
 * was seen to come 1.6 times a second, and servers to crash up to 0.8 s after they were
 * given it.
 */
class CrashFleetTests {

	/** What the users allow behind the third server and the time of contact. */
	private static final int MOST_SENDINGS = 3;

	/** The servers that one request may cost at the most: our aim. */
	private static final int MOST_SERVERS = 5;

	private static final double GUILTY = 1.6;

	private static final double POPULAR = 8;

	private static final double OTHERS = 70;

	/** Innocent requests that may be refused: below one in a thousand of those sent. */
	private static final int MOST_REFUSED = 1;

	// One request crashes each server that begins to run it and comes again through any
	// gateway. Known by the id of one attempt only, it took down a server each time.
	@ParameterizedTest
	@MethodSource("fleets")
	void shouldLoseFewServersToOneRequest(int gateways, long seed, Trouble trouble) {
		CrashFleet fleet = CrashFleet.of(gateways, seed);
		RequestDigest guilty = fleet.request();
		Load load = new Load(guilty, GUILTY, fleet.request(), POPULAR, OTHERS);
		fleet.run(2_000, load.withoutGuilty());
		trouble.begin(fleet);
		fleet.run(1_500, load);
		trouble.middle(fleet);
		fleet.run(5_000, load);
		trouble.end(fleet);
		fleet.run(6_000, load);
		System.out.println(
				"MEASURE " + gateways + " " + trouble + " " + fleet.guiltyCrashes() + " " + fleet.refusedBut(guilty));
		assertThat(fleet.guiltyCrashes()).isBetween(1, MOST_SERVERS);
		assertThat(fleet.sendingsTooMany()).isLessThanOrEqualTo(MOST_SENDINGS);
		assertThat(fleet.refusedBut(guilty)).isLessThanOrEqualTo(MOST_REFUSED);
	}

	static Stream<Arguments> fleets() {
		return Stream.of(9, 30, 87)
			.flatMap((gateways) -> Stream.of(Trouble.values())
				.flatMap((trouble) -> IntStream.range(0, (gateways == 9) ? 10 : 2)
					.mapToObj((seed) -> Arguments.of(gateways, (long) seed, trouble))));
	}

	// An availability zone loses power under a request that many ask for: a copy of it
	// was at each server. Counted by servers alone it would be refused for good.
	@ParameterizedTest
	@ValueSource(longs = { 0, 1, 2, 3, 4, 5, 6, 7 })
	void shouldServePopularRequestOnceItsServersCrashedAtOneMoment(long seed) {
		CrashFleet fleet = CrashFleet.of(9, seed);
		Load load = new Load(fleet.request(), 0, fleet.request(), 40, OTHERS);
		fleet.run(2_000, load);
		fleet.loseServers(5);
		fleet.run(2_000, load);
		int before = fleet.refused(load.popular());
		fleet.run(5_000, load);
		assertThat(fleet.refused(load.popular())).isEqualTo(before);
	}

	// Servers crash one after the other, under no request's fault, and connections are
	// reset: requests that are sent again and land beside a crash once more are innocent.
	@ParameterizedTest
	@ValueSource(longs = { 0, 1, 2, 3, 4, 5, 6, 7 })
	void shouldRefuseNothingWhenServersCrashByThemselves(long seed) {
		CrashFleet fleet = CrashFleet.of(9, seed);
		Load load = new Load(fleet.request(), 0, fleet.request(), POPULAR, OTHERS);
		for (int i = 0; i < 10; i++) {
			fleet.run(700, load);
			fleet.loseServers(1);
			fleet.resetConnections();
		}
		fleet.run(5_000, load);
		assertThat(fleet.refusedBut(load.guilty())).isLessThanOrEqualTo(MOST_REFUSED);
	}

	/** What else goes wrong. */
	enum Trouble {

		/** Nothing. */
		NONE,

		/** Gateways do not hear one another, and reach the store. */
		DEAF,

		/** The store is away, and gateways hear one another. */
		STORE_AWAY,

		/** All gateways are killed once servers were lost. */
		KILL_OF_ALL;

		void begin(CrashFleet fleet) {
			fleet.deaf(this == DEAF);
			fleet.storeAway(this == STORE_AWAY);
		}

		void middle(CrashFleet fleet) {
			if (this == KILL_OF_ALL) {
				fleet.killAll();
			}
		}

		void end(CrashFleet fleet) {
			fleet.storeAway(false);
			if (this == KILL_OF_ALL) {
				fleet.killAll();
			}
		}

	}

}
