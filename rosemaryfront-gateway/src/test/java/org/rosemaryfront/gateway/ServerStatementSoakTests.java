package org.rosemaryfront.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import org.rosemaryfront.gateway.PartitionedFleet.Arrival;
import org.rosemaryfront.standin.net.Relay.Partition;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Draws from a seed which servers leave or want no requests for a while, beside lost
 * paths, pauses, stops and starts of gateways. More seeds are run by hand with
 * {@code -Dstatement.seeds=FIRST-LAST}.
 */
class ServerStatementSoakTests {

	private static final String SEEDS = System.getProperty("statement.seeds", "1-2");

	private static final int GATEWAYS = 4;

	private static final int SERVERS = 8;

	private static final int ROUNDS = 3;

	private static final int BACKOFF_SECONDS = 3;

	private static final long REJECTING_MILLIS = 4_000;

	/** Half a second is for what was under way. */
	private static final long UNDER_WAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private static final int ALLOWED_WITHIN_BACKOFF = 2;

	private static final long PAUSE_MILLIS = 1_000;

	/** A paused gateway may write what it had begun to write before. */
	private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(PAUSE_MILLIS);

	private static final long CALL_MILLIS = 3_500;

	private final List<String> drawn = new ArrayList<>();

	static LongStream seeds() {
		String[] bounds = SEEDS.split("-");
		return LongStream.rangeClosed(Long.parseLong(bounds[0]), Long.parseLong(bounds[1]));
	}

	// Guards against requests to servers that said they want none, and against promises
	// that are broken while calls are kept from them.
	@ParameterizedTest
	@MethodSource("seeds")
	void shouldSendNothingAgainstStatementsWhenOtherFaultsHappen(long seed) throws Exception {
		Random random = new Random(seed);
		try (PartitionedFleet fleet = PartitionedFleet.start(GATEWAYS, SERVERS)) {
			fleet.call();
			fleet.callOverOpenConnections();
			Thread.sleep(PAUSE_MILLIS);
			for (int round = 0; round < ROUNDS; round++) {
				playRound(fleet, round, random);
			}
			Thread.sleep(CALL_MILLIS);
			String description = "seed " + seed + ": " + this.drawn;
			assertThat(fleet.statedArrivals()).as(description).isNotEmpty();
			assertThat(sentAgainstStatements(fleet.statedArrivals())).as(description).isEmpty();
			assertThat(fleet.wronglyAnswered()).as(description).isEmpty();
			assertThat(fleet.ranTwice()).as(description).isEmpty();
			assertThat(fleet.ranThoughRefused()).as(description).isEmpty();
		}
	}

	// One server leaves and another one rejects all requests. A gateway loses its paths,
	// and the same or another one is paused or restarted.
	private void playRound(PartitionedFleet fleet, int round, Random random) throws Exception {
		int rejecting = ROUNDS + random.nextInt(SERVERS - ROUNDS);
		Partition kind = Partition.values()[random.nextInt(Partition.values().length)];
		int cut = random.nextInt(GATEWAYS);
		int other = random.nextInt(GATEWAYS);
		boolean restart = random.nextBoolean();
		this.drawn.add(kind + " at " + cut + ", " + (restart ? "restart" : "pause") + " of " + other + ", server "
				+ rejecting + " rejects");
		fleet.partition(kind, List.of(cut));
		Thread.sleep(random.nextInt((int) PAUSE_MILLIS));
		fleet.leave(round);
		fleet.reject(rejecting, true, BACKOFF_SECONDS);
		Thread.sleep(random.nextInt((int) PAUSE_MILLIS));
		disturb(fleet, other, restart);
		Thread.sleep(REJECTING_MILLIS);
		fleet.reject(rejecting, false, 0);
		fleet.heal(List.of(cut));
		Thread.sleep(PAUSE_MILLIS);
	}

	private static void disturb(PartitionedFleet fleet, int gateway, boolean restart) throws Exception {
		if (restart) {
			fleet.restart(gateway);
			return;
		}
		CountDownLatch end = new CountDownLatch(1);
		fleet.pause(gateway, end);
		Thread.sleep(PAUSE_MILLIS);
		end.countDown();
	}

	// Requests of a gateway behind its first one at a server that leaves, and further
	// ones
	// of a gateway within a backoff than the users allow.
	private static List<String> sentAgainstStatements(List<Arrival> arrivals) {
		Map<String, Arrival> first = new HashMap<>();
		Map<String, List<Arrival>> rejections = new HashMap<>();
		List<String> faults = new ArrayList<>();
		for (Arrival arrival : arrivals) {
			String link = arrival.sender() + " to server " + arrival.server();
			if (!arrival.rejected()) {
				Arrival earlier = first.putIfAbsent(link, arrival);
				if (earlier != null && arrival.server() < ROUNDS
						&& arrival.atNanos() - earlier.atNanos() > UNDER_WAY_NANOS + PAUSE_NANOS) {
					faults.add(link + " that leaves");
				}
			}
			else if (isBeyondBackoff(rejections.computeIfAbsent(link, (_) -> new ArrayList<>()), arrival)) {
				faults.add(link + " that wants no requests");
			}
		}
		return faults;
	}

	private static boolean isBeyondBackoff(List<Arrival> earlier, Arrival arrival) {
		earlier.add(arrival);
		long backoffNanos = TimeUnit.SECONDS.toNanos(BACKOFF_SECONDS);
		Arrival firstOfBackoff = earlier.stream()
			.filter((known) -> arrival.atNanos() - known.atNanos() < backoffNanos)
			.findFirst()
			.orElseThrow();
		long within = earlier.stream()
			.filter((known) -> known.atNanos() - firstOfBackoff.atNanos() > UNDER_WAY_NANOS + PAUSE_NANOS)
			.count();
		return within > ALLOWED_WITHIN_BACKOFF;
	}

}
