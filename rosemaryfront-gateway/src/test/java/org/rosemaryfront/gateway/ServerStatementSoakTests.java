package org.rosemaryfront.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import org.rosemaryfront.gateway.PartitionedFleet.Arrival;
import org.rosemaryfront.gateway.PartitionedFleet.Outcome;
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
			assertThat(sentAgainstStatements(fleet)).as(description).isEmpty();
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

	// Requests of callers who called after the gateway had passed on what a server
	// stated,
	// beyond those that the users allow.
	private static List<String> sentAgainstStatements(PartitionedFleet fleet) {
		Map<String, Outcome> outcomes = fleet.outcomesByCall();
		Map<String, List<Arrival>> arrivals = new HashMap<>();
		fleet.statedArrivals()
			.forEach((arrival) -> arrivals
				.computeIfAbsent(arrival.sender() + " to server " + arrival.server(), (_) -> new ArrayList<>())
				.add(arrival));
		List<String> faults = new ArrayList<>();
		arrivals.forEach((link, all) -> {
			for (Arrival stating : all) {
				Optional<Long> passedOn = passedOnNanos(stating, outcomes);
				passedOn.ifPresent((nanos) -> {
					List<String> against = against(stating, nanos, all, outcomes);
					if (against.size() > (stating.rejected() ? ALLOWED_WITHIN_BACKOFF : 0)) {
						faults.add(link + " after " + stating.call() + ": " + against);
					}
				});
			}
		});
		return faults;
	}

	// When the caller had the response, after the statement; empty if it had none, as
	// where
	// links lost it or delivered the request only later.
	private static Optional<Long> passedOnNanos(Arrival stating, Map<String, Outcome> outcomes) {
		return Optional.ofNullable(outcomes.get(stating.call()))
			.filter((outcome) -> outcome.status() > 0 && outcome.endedNanos() - stating.atNanos() > 0)
			.map(Outcome::endedNanos);
	}

	private static List<String> against(Arrival stating, long passedOnNanos, List<Arrival> all,
			Map<String, Outcome> outcomes) {
		long until = stating.rejected() ? stating.atNanos() + TimeUnit.SECONDS.toNanos(BACKOFF_SECONDS)
				: Long.MAX_VALUE;
		return all.stream()
			.filter((arrival) -> arrival.rejected() == stating.rejected() && arrival.atNanos() < until)
			.map(Arrival::call)
			.filter((call) -> outcomes.containsKey(call)
					&& outcomes.get(call).startedNanos() - passedOnNanos > UNDER_WAY_NANOS)
			.toList();
	}

}
