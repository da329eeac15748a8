package org.rosemaryfront.quota;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rosemaryfront.fleet.VirtualFleet.Fault;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests quotas of gateways that report their use to one another. The usual use of an
 * organisation is half of its quota, which is 0.07 quotas a second with a window of eight
 * seconds. Overloads of eight and sixteen times that have been observed.
 */
class QuotaFleetTests {

	/** The limit on the use in a window, in quotas. More than that violates the quota. */
	private static final double MAX_USE = 1.1;

	private static final double USUAL_LOAD = 0.07;

	private static final double QUIET_LOAD = 0.01;

	private static final double OVERLOAD = 0.55;

	private static final double HEAVY_OVERLOAD = 1.2;

	/**
	 * The fraction of links between gateways that are cut; each removes a pair from the
	 * group.
	 */
	private static final double CUT_LINKS_FRACTION = 0.03;

	/** The time that a caller has for its call, in milliseconds. */
	private static final long CALLER_PATIENCE_MILLIS = 3_000;

	/** The time that a write to the store takes, in milliseconds. */
	private static final long STORE_DELAY_MILLIS = 100;

	private static final List<Fault> FAULTS = List.of(Fault.PARTITION, Fault.NOTHING_RECEIVED, Fault.PAUSE,
			Fault.RESTART);

	/** Few long prompts a second, each a considerable fraction of the quota. */
	private static final QuotaFleet.Load SMALL_ORGANISATION = new QuotaFleet.Load(261_000, 12_000, 140_000);

	/** An organisation of many callers and without small calls. */
	private static final QuotaFleet.Load FLOODING_ORGANISATION = new QuotaFleet.Load(4_247_910, 5_500, 110_000, 0.25);

	// Guards against each gateway admitting the units that remain of a window, since
	// reports arrive late.
	@ParameterizedTest
	@CsvSource({ "9, 0", "9, 1", "9, 2", "9, 3", "9, 4", "9, 5", "68, 0", "68, 1", "68, 2", "68, 3", "95, 0", "95, 1",
			"95, 2", "95, 3" })
	void shouldHoldQuotaWhenReportsAreLate(int gateways, long seed) {
		QuotaFleet fleet = QuotaFleet.of(gateways, seed);
		fleet.run(8_000, 1.7 * USUAL_LOAD);
		fleet.run(10_000, HEAVY_OVERLOAD);
		assertThat(fleet.worstWindow()).isLessThan(MAX_USE);
	}

	// Guards against gateways that are cut off, receive nothing, are paused or are
	// restarted: they admit what the others admit as well.
	@ParameterizedTest
	@ValueSource(longs = { 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19 })
	void shouldHoldQuotaWhenGatewaysOrLinksFail(long seed) {
		Random random = new Random(seed);
		QuotaFleet fleet = QuotaFleet.of(9, seed);
		fleet.run(8_000, USUAL_LOAD);
		for (int fault = 0; fault < 3; fault++) {
			double load = (random.nextInt(3) == 0) ? HEAVY_OVERLOAD : OVERLOAD;
			fleet.run(random.nextInt(4_000), load);
			injectFault(fleet, random, load);
		}
		fleet.run(8_000, OVERLOAD);
		assertThat(fleet.worstWindow()).isLessThan(MAX_USE);
	}

	// Each gateway of a large fleet reports less often.
	@ParameterizedTest
	@CsvSource({ "68, 0", "68, 1", "68, 2", "68, 3", "68, 5", "95, 4", "95, 6", "95, 7" })
	void shouldHoldQuotaOfLargeFleetWhenGatewaysOrLinksFail(int gateways, long seed) {
		Random random = new Random(seed);
		QuotaFleet fleet = QuotaFleet.of(gateways, seed);
		fleet.run(8_000, USUAL_LOAD);
		for (int fault = 0; fault < 2; fault++) {
			fleet.run(random.nextInt(4_000), HEAVY_OVERLOAD);
			injectFault(fleet, random, HEAVY_OVERLOAD);
		}
		fleet.run(4_000, OVERLOAD);
		assertThat(fleet.worstWindow()).isLessThan(MAX_USE);
	}

	// Guards against refusing long prompts at all gateways of a large fleet when some
	// pairs do not confirm each other, as when busy gateways respond late: each gateway
	// then sees a different group.
	@ParameterizedTest
	@CsvSource({ "87, 0", "87, 1", "87, 2" })
	void shouldServeLongPromptsWhenSomeLinksAreCut(int gateways, long seed) {
		QuotaFleet fleet = QuotaFleet.of(gateways, seed, SMALL_ORGANISATION);
		fleet.run(8_000, USUAL_LOAD);
		fleet.faults().cutLinks(new Random(seed), CUT_LINKS_FRACTION);
		fleet.run(20_000, USUAL_LOAD);
		assertThat(fleet.servedOfPermitted()).isGreaterThan(1 - 2 * CUT_LINKS_FRACTION);
	}

	// Guards against gateways that receive no reports from each other: each gives out
	// the same units.
	@ParameterizedTest
	@CsvSource({ "30, 0", "30, 1", "68, 0", "68, 1", "68, 2", "95, 0", "95, 1" })
	void shouldHoldQuotaWhenSomeLinksAreCut(int gateways, long seed) {
		for (double fraction : new double[] { 0.03, 0.08, 0.15 }) {
			QuotaFleet fleet = QuotaFleet.of(gateways, seed);
			fleet.run(8_000, USUAL_LOAD);
			fleet.faults().cutLinks(new Random(seed), fraction);
			fleet.run(3_000, USUAL_LOAD);
			fleet.run(10_000, HEAVY_OVERLOAD);
			assertThat(fleet.worstWindow()).as("part of the links cut: " + fraction).isLessThan(MAX_USE);
		}
	}

	static void injectFault(QuotaFleet fleet, Random random, double load) {
		int gateways = fleet.gateways();
		List<Integer> group = IntStream.range(0, gateways).filter((_) -> random.nextInt(3) == 0).boxed().toList();
		int one = random.nextInt(gateways);
		long millis = 500 + random.nextInt(6_000);
		Fault fault = FAULTS.get(random.nextInt(FAULTS.size()));
		fleet.faults().inject(fault, group, one, () -> fleet.run(millis, load));
	}

	// Guards against the kill of all gateways during an overload: they lose the use
	// within the window.
	@ParameterizedTest
	@ValueSource(longs = { 0, 1, 2, 3, 4, 5, 6, 7, 8, 9 })
	void shouldHoldQuotaWhenAllProcessesAreKilled(long seed) {
		QuotaFleet fleet = QuotaFleet.of(9, seed);
		fleet.run(8_000, USUAL_LOAD);
		fleet.run(400 * (1 + seed), OVERLOAD);
		fleet.faults().killAll(700);
		fleet.run(10_000, OVERLOAD);
		assertThat(fleet.worstWindow()).isLessThan(MAX_USE);
	}

	// Guards against the start of all gateways of a large fleet while callers retry: the
	// first reports tell no requests, so that each gateway took what remained for all.
	@ParameterizedTest
	@CsvSource({ "0.07, 0", "0.07, 1", "0.07, 2", "0.07, 3", "0.07, 4", "0.07, 5", "0.07, 6", "0.07, 7", "0.01, 0",
			"0.01, 1", "0.01, 2", "0.01, 3", "0.01, 4", "0.01, 5", "0.01, 6", "0.01, 7" })
	void shouldHoldQuotaWhenCallersRetryAtStartOfAllProcesses(double usualLoad, long seed) {
		QuotaFleet fleet = QuotaFleet.of(72, seed, FLOODING_ORGANISATION);
		fleet.retryFor(CALLER_PATIENCE_MILLIS);
		fleet.run(8_000, usualLoad);
		fleet.run(300 + 800 * seed, HEAVY_OVERLOAD);
		fleet.faults().killAll(700);
		fleet.run(9_000, HEAVY_OVERLOAD);
		assertThat(fleet.worstWindow())
			.isLessThan(MAX_USE + FLOODING_ORGANISATION.slack() / FLOODING_ORGANISATION.quota());
	}

	// Guards against a large burst that is forgotten when all gateways are killed: it is
	// as large as all that a fresh process gives out otherwise.
	@ParameterizedTest
	@CsvSource({ "9, false, 0", "9, false, 1", "9, false, 2", "9, false, 3", "9, false, 4", "9, false, 5",
			"9, false, 6", "9, false, 7", "9, true, 0", "9, true, 1", "9, true, 2", "9, true, 3", "9, true, 4",
			"9, true, 5", "9, true, 6", "9, true, 7", "72, false, 0", "72, false, 1", "72, false, 2", "72, false, 3",
			"72, false, 4", "72, false, 5", "72, false, 6", "72, false, 7", "72, true, 0", "72, true, 1", "72, true, 2",
			"72, true, 3", "72, true, 4", "72, true, 5", "72, true, 6", "72, true, 7" })
	void shouldHoldQuotaWhenAllProcessesAreKilledInLargeBurst(int gateways, boolean crowded, long seed) {
		QuotaFleet.SlowStore store = QuotaFleet.SlowStore.of(STORE_DELAY_MILLIS);
		QuotaFleet fleet = QuotaFleet.of(gateways, seed, FLOODING_ORGANISATION, store);
		fleet.retryFor(CALLER_PATIENCE_MILLIS);
		if (crowded) {
			fleet.crowdQuarter();
		}
		fleet.run(8_000, QUIET_LOAD);
		fleet.run(1_100 + 800 * seed, OVERLOAD);
		fleet.faults().killAll(700);
		fleet.run(9_000, HEAVY_OVERLOAD);
		assertThat(store.writes()).isPositive();
		assertThat(fleet.worstWindow())
			.isLessThan(MAX_USE + FLOODING_ORGANISATION.slack() / FLOODING_ORGANISATION.quota());
	}

	// Guards against a large burst that goes on without the holder of the duties, or that
	// its successor does not know.
	@ParameterizedTest
	@ValueSource(longs = { 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15 })
	void shouldHoldQuotaWhenHolderFailsInLargeBurst(long seed) {
		Random random = new Random(seed);
		QuotaFleet fleet = QuotaFleet.of(9, seed, FLOODING_ORGANISATION, QuotaFleet.SlowStore.of(STORE_DELAY_MILLIS));
		fleet.retryFor(CALLER_PATIENCE_MILLIS);
		fleet.run(8_000, QUIET_LOAD);
		fleet.run(500 + random.nextInt(2_000), OVERLOAD);
		Fault fault = FAULTS.get((int) seed % FAULTS.size());
		fleet.faults().inject(fault, List.of(0, 3, 5), 0, () -> fleet.run(300 + random.nextInt(4_000), OVERLOAD));
		fleet.run(random.nextInt(1_000), OVERLOAD);
		fleet.faults().killAll(700);
		fleet.run(9_000, HEAVY_OVERLOAD);
		assertThat(fleet.worstWindow())
			.isLessThan(MAX_USE + FLOODING_ORGANISATION.slack() / FLOODING_ORGANISATION.quota());
	}

	// Guards against use that few gateways admit before they know of one another's.
	@ParameterizedTest
	@CsvSource({ "0.01, 0", "0.01, 1", "0.01, 2", "0.01, 3", "0.01, 4", "0.01, 5", "0.01, 17", "0.01, 22", "0, 0",
			"0, 1", "0, 2", "0, 3", "0, 4", "0, 5", "0, 8" })
	void shouldHoldQuotaWhenFewProcessesAreKilledAtStartOfBurst(double usualLoad, long seed) {
		QuotaFleet fleet = QuotaFleet.of(9, seed, FLOODING_ORGANISATION);
		fleet.run(8_000, usualLoad);
		fleet.run(300, HEAVY_OVERLOAD);
		fleet.faults().killAll(700);
		fleet.run(9_000, HEAVY_OVERLOAD);
		assertThat(fleet.worstWindow())
			.isLessThan(MAX_USE + FLOODING_ORGANISATION.slack() / FLOODING_ORGANISATION.quota());
	}

	// Guards against refusing what an organisation may use, because it uses its quota
	// within a few seconds.
	@ParameterizedTest
	@CsvSource({ "9, false, 0.21, 4000", "9, false, 0.3, 2500", "72, false, 0.21, 4000", "72, false, 0.3, 2500",
			"72, true, 0.21, 4000", "72, true, 0.3, 2500" })
	void shouldRefuseHalfAsMuchBelowQuotaWhenBurstIsStored(int gateways, boolean crowded, double load, long millis) {
		QuotaFleet.SlowStore store = QuotaFleet.SlowStore.of(STORE_DELAY_MILLIS);
		QuotaFleet storing = QuotaFleet.of(gateways, 1, FLOODING_ORGANISATION, store);
		QuotaFleet forgetting = QuotaFleet.of(gateways, 1, FLOODING_ORGANISATION);
		for (QuotaFleet fleet : List.of(storing, forgetting)) {
			fleet.retryFor(CALLER_PATIENCE_MILLIS);
			if (crowded) {
				fleet.crowdQuarter();
			}
			fleet.run(8_000, 0.03);
			fleet.run(millis, load);
			fleet.run(30_000, 0.03);
		}
		assertThat(forgetting.refusedBelowQuota()).isPositive();
		assertThat(storing.refusedBelowQuota()).isLessThan(forgetting.refusedBelowQuota() / 2);
		assertThat(store.writes()).isEqualTo(2);
	}

	// Guards against rules that enforce the quota and refuse calls of an organisation
	// that stays within it.
	@ParameterizedTest
	@CsvSource({ "9, 0", "9, 1", "9, 2", "30, 0", "78, 0", "78, 1" })
	void shouldRefuseNothingWhenUseIsUsual(int gateways, long seed) {
		QuotaFleet fleet = QuotaFleet.of(gateways, seed);
		fleet.run(30_000, USUAL_LOAD);
		assertThat(fleet.servedFraction()).isCloseTo(1, within(1e-9));
	}

	@ParameterizedTest
	@CsvSource({ "9, 0", "9, 1", "78, 0", "78, 1" })
	void shouldAdmitQuotaWhenOverloaded(int gateways, long seed) {
		QuotaFleet fleet = QuotaFleet.of(gateways, seed);
		fleet.run(8_000, USUAL_LOAD);
		fleet.run(16_000, OVERLOAD);
		assertThat(fleet.usedSince(fleet.nowMillis() - 8_000)).isGreaterThan(0.85);
	}

	// Guards against refusing long prompts of an organisation with a small quota while
	// most of it is left: a few of them at a time exceed what may be used in one burst.
	@ParameterizedTest
	@CsvSource({ "9, 0", "9, 1", "87, 0", "87, 1", "87, 2" })
	void shouldServeLongPromptsWhenQuotaIsSmall(int gateways, long seed) {
		QuotaFleet fleet = QuotaFleet.of(gateways, seed, SMALL_ORGANISATION);
		fleet.run(30_000, USUAL_LOAD);
		assertThat(fleet.servedOfPermitted()).isGreaterThan(0.98);
	}

	// Guards against each gateway giving out the units beyond the quota: they may be
	// given out only once.
	@ParameterizedTest
	@CsvSource({ "9, 0", "9, 1", "9, 2", "30, 0", "87, 0", "87, 1" })
	void shouldHoldQuotaAndSlackWhenQuotaIsSmall(int gateways, long seed) {
		QuotaFleet fleet = QuotaFleet.of(gateways, seed, SMALL_ORGANISATION);
		fleet.run(8_000, USUAL_LOAD);
		fleet.run(3_000, HEAVY_OVERLOAD);
		fleet.faults().killAll(700);
		fleet.run(12_000, HEAVY_OVERLOAD);
		assertThat(fleet.worstWindow()).isLessThan(MAX_USE + SMALL_ORGANISATION.slack() / SMALL_ORGANISATION.quota());
	}

	// Guards against the termination of a gateway: the others refuse permitted calls
	// until they detect it.
	@Test
	void shouldServeUsualUseWhenOneGatewayIsCutOff() {
		QuotaFleet fleet = QuotaFleet.of(9, 3);
		fleet.run(10_000, USUAL_LOAD);
		fleet.faults().cutOff(List.of(8), true);
		fleet.run(4_000, USUAL_LOAD);
		assertThat(fleet.servedFraction()).isGreaterThan(0.98);
	}

}
