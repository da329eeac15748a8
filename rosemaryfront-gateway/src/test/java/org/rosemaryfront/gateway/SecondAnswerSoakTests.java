package org.rosemaryfront.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.stream.LongStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import org.rosemaryfront.standin.net.Relay.Partition;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Servers answer twice, whole and broken off, beside lost paths, pauses, stops and starts
 * of gateways, all drawn from a seed. More seeds are run by hand with
 * {@code -Dsecond.seeds=FIRST-LAST}, larger fleets with {@code -Dsecond.gateways=COUNT}.
 */
class SecondAnswerSoakTests {

	private static final String SEEDS = System.getProperty("second.seeds", "1-2");

	private static final int GATEWAYS = Integer.getInteger("second.gateways", 4);

	private static final int SERVERS = 4;

	private static final int ROUNDS = 3;

	private static final int MAX_PAUSE_MILLIS = 1_000;

	/** Longer than the timeout of the calls. */
	private static final long CALL_MILLIS = 3_500;

	private final List<String> drawn = new ArrayList<>();

	static LongStream seeds() {
		String[] bounds = SEEDS.split("-");
		return LongStream.rangeClosed(Long.parseLong(bounds[0]), Long.parseLong(bounds[1]));
	}

	// Guards against answers of other calls while connections are lost, carried by other
	// gateways and opened again.
	@ParameterizedTest
	@MethodSource("seeds")
	void shouldGiveCallersOnlyTheirOwnAnswersWhenOtherFaultsHappen(long seed) throws Exception {
		Random random = new Random(seed);
		try (PartitionedFleet fleet = PartitionedFleet.start(GATEWAYS, SERVERS)) {
			fleet.answerTwice(seed);
			fleet.call();
			fleet.callOverOpenConnections();
			for (int round = 0; round < ROUNDS; round++) {
				playRound(fleet, random);
			}
			Thread.sleep(CALL_MILLIS);
			String description = "seed " + seed + ": " + this.drawn;
			assertThat(fleet.wronglyAnswered()).as(description).isEmpty();
			assertThat(fleet.ranTwice()).as(description).isEmpty();
			assertThat(fleet.ranThoughRefused()).as(description).isEmpty();
			assertThat(fleet.outcomesByCall().values()).as(description).anyMatch(PartitionedFleet.Outcome::isServed);
		}
	}

	private void playRound(PartitionedFleet fleet, Random random) throws Exception {
		Partition kind = Partition.values()[random.nextInt(Partition.values().length)];
		List<Integer> cut = List.of(random.nextInt(GATEWAYS));
		int other = random.nextInt(GATEWAYS);
		boolean restart = random.nextBoolean();
		this.drawn.add(kind + " at " + cut + ", " + (restart ? "restart" : "pause") + " of " + other);
		fleet.partition(kind, cut);
		Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
		CountDownLatch end = new CountDownLatch(1);
		if (restart) {
			fleet.restart(other);
		}
		else {
			fleet.pause(other, end);
		}
		Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
		end.countDown();
		fleet.heal(cut);
		Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
	}

}
