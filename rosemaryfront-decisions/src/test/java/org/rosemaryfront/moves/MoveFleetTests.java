package org.rosemaryfront.moves;

import java.util.Optional;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rosemaryfront.moves.MoveFleet.Faults;
import org.rosemaryfront.moves.MoveFleet.Load;
import org.rosemaryfront.moves.MoveFleet.Outcome;
import org.rosemaryfront.moves.MoveFleet.Targets;
import org.rosemaryfront.routes.ServiceSpec.EngineSpec;
import org.rosemaryfront.routes.ServiceSpec.MoveSpec;

import static org.assertj.core.api.Assertions.assertThat;

/** A third of 60 servers leaves with two seconds of notice. */
class MoveFleetTests {

	private static final int SERVERS = 60;

	private static final double FAST_LINK = 280_000;

	/** About eleven streams can be copied from a server before it is gone. */
	private static final double SLOW_LINK = 10_000;

	// Guards against streams that are lost, or pause too long, because their server
	// leaves.
	@ParameterizedTest
	@CsvSource({ "72, 32, true, 1", "72, 32, true, 2", "72, 64, true, 1", "72, 64, false, 1", "9, 32, true, 1",
			"9, 64, false, 1", "385, 64, true, 1" })
	void shouldLoseNoStreamWhenThirdOfServersLeaves(int gateways, int slots, boolean wholeZone, long seed) {
		Outcome outcome = play("room", new Load(gateways, SERVERS, 0.6, wholeZone, false), slots, FAST_LINK,
				Faults.NONE, seed);
		assertThat(outcome.lost()).isZero();
		assertThat(outcome.inTimeShare()).isGreaterThanOrEqualTo(0.95);
		assertThat(outcome.ranTwice()).isZero();
		assertThat(outcome.copiesLeft()).isZero();
	}

	// Guards against streams that are given up although the retry budget has room for
	// most.
	@ParameterizedTest
	@CsvSource({ "72, 32, 1", "72, 64, 1" })
	void shouldKeepToRetryBudget(int gateways, int slots, long seed) {
		Outcome outcome = play("budget", new Load(gateways, SERVERS, 0.6, true, true), slots, FAST_LINK, Faults.NONE,
				seed);
		assertThat(outcome.moved()).isPositive().isLessThanOrEqualTo(MoveFleet.RETRIES);
	}

	// Guards against a link that is shared by so many copies that none is complete.
	@ParameterizedTest
	@CsvSource({ "72, 32, 1", "9, 32, 1", "9, 32, 2" })
	void shouldUseShortLinkForMostUrgentStreams(int gateways, int slots, long seed) {
		Outcome outcome = play("link", new Load(gateways, SERVERS, 0.6, false, false), slots, SLOW_LINK, Faults.NONE,
				seed);
		assertThat(outcome.moved()).isPositive();
		assertThat(outcome.ranTwice()).isZero();
		assertThat((double) outcome.urgentLost() / outcome.lost()).isLessThanOrEqualTo(1 / 3.0);
	}

	// Guards against streams that are cut for servers that have no room.
	@ParameterizedTest
	@CsvSource({ "72, 32, 0.8", "72, 64, 0.9", "9, 32, 1" })
	void shouldFillServersWhenRoomIsShort(int gateways, int slots, double utilisation) {
		Outcome outcome = play("short of room", new Load(gateways, SERVERS, utilisation, true, false), slots, FAST_LINK,
				Faults.NONE, 1);
		assertThat(outcome.ranTwice()).isZero();
		assertThat(outcome.copiesLeft()).isZero();
	}

	// Guards against runs at two servers and copies that stay when answers fail, are
	// late,
	// lost or doubled.
	@ParameterizedTest
	@CsvSource({ "0.2, 0, 0, 0", "0, 0.2, 0, 0", "0, 0, 0, 1", "0.1, 0.1, 0.1, 0.3" })
	void shouldRunOnceWhenCopiesFail(double refused, double late, double lost, double twice) {
		Outcome outcome = play("faults", new Load(72, SERVERS, 0.6, true, false), 32, FAST_LINK,
				new Faults(refused, late, lost, twice), 1);
		assertThat(outcome.ranTwice()).isZero();
		assertThat(outcome.moved()).isPositive();
	}

	// Guards against runs that begin anew after they were stopped, and against streams
	// that
	// are lost for it, when targets are out of reach, leave, refuse the copy or the run,
	// or
	// several of these.
	@ParameterizedTest
	@CsvSource({ "9, 0.2, 0, 0, 0", "9, 0, 0.2, 0, 0", "9, 0, 0, 0.2, 0", "9, 0, 0, 0, 0.2", "9, 0.2, 0.5, 0, 0",
			"9, 0.2, 0.5, 0.2, 0.2", "87, 0.2, 0, 0, 0", "87, 0, 0.2, 0, 0", "87, 0, 0, 0.2, 0", "87, 0, 0, 0, 0.2",
			"87, 0.2, 0.5, 0, 0", "87, 0.2, 0.5, 0.2, 0.2", "385, 0.2, 0, 0, 0", "385, 0, 0.2, 0, 0",
			"385, 0, 0, 0.2, 0", "385, 0, 0, 0, 0.2", "385, 0.2, 0.5, 0, 0", "385, 0.2, 0.5, 0.2, 0.2",
			"9, 0.5, 1, 0, 0", "87, 0.5, 1, 0, 0", "385, 0.5, 1, 0, 0" })
	void shouldRunOnceWhenTargetsFail(int gateways, double unreachable, double leaving, double refusing,
			double copiesRefused) {
		Outcome outcome = play("targets", new Load(gateways, SERVERS, 0.4, false, false), 32, FAST_LINK,
				new Faults(copiesRefused, 0, 0, 0), new Targets(unreachable, leaving, refusing), 1);
		assertThat(outcome.ranTwice()).isZero();
		assertThat(outcome.moved()).isPositive();
	}

	private static Outcome play(String name, Load load, int slots, double link, Faults faults, long seed) {
		return play(name, load, slots, link, faults, Targets.SOUND, seed);
	}

	private static Outcome play(String name, Load load, int slots, double link, Faults faults, Targets targets,
			long seed) {
		EngineSpec engine = new EngineSpec(slots, slots * 10_000L, 18_432, link, Optional.of(new MoveSpec(5_000, 1)));
		Outcome outcome = new MoveFleet(load, engine, faults, targets, seed).run();
		System.out.printf("MEASURE MOVES %s %s slots %d link %.0f %s %s seed %d: %s lost %.3f in time %.3f%n", name,
				load, slots, link, faults, targets, seed, outcome, outcome.lostShare(), outcome.inTimeShare());
		return outcome;
	}

}
