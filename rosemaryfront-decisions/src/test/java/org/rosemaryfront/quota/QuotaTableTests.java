package org.rosemaryfront.quota;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.DoubleStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.rosemaryfront.fleet.Fleet.Sharing;
import org.rosemaryfront.quota.QuotaTable.Use;
import org.rosemaryfront.routes.Organisation;

import static org.assertj.core.api.Assertions.assertThat;

class QuotaTableTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private static final Organisation SFAX = organisation(100);

	private final QuotaTable quotas = table(-8 * SECOND);

	@Test
	void shouldAllowRateTimesWindowPlusBurst() {
		double taken = 0;
		for (long now = 0; now < 8 * SECOND; now += MILLI) {
			taken += (this.quotas.take(SFAX, 1, now).waitMillis() == 0) ? 1 : 0;
		}
		assertThat(taken).isEqualTo(850);
	}

	@Test
	void shouldSumUpRequestedUnitsOfLastSecondWhenOthersReport() {
		this.quotas.take(SFAX, 170, 0);
		this.quotas.take(SFAX, 400, 900 * MILLI);
		this.quotas.reportReceived("other", Map.of("sfax", new Use(10, 25, false)), 900 * MILLI);
		assertThat(this.quotas.requestedUnits(900 * MILLI)).containsEntry("sfax", 595.0);
		assertThat(this.quotas.requestedUnits(1_500 * MILLI)).containsEntry("sfax", 425.0);
		assertThat(this.quotas.requestedUnits(3 * SECOND)).containsEntry("sfax", 0.0);
	}

	@Test
	void shouldAllowFifthOfWindowInOneBurst() {
		assertThat(this.quotas.take(SFAX, 170, 0).waitMillis()).isZero();
		assertThat(this.quotas.take(SFAX, 100, 0).waitMillis()).isBetween(930L, 942L);
		assertThat(this.quotas.take(SFAX, 100, 945 * MILLI).waitMillis()).isZero();
	}

	@Test
	void shouldReturnWaitWhenUnitsAreUsedUp() {
		for (long second = 0; second < 7; second++) {
			assertThat(this.quotas.take(SFAX, 106, second * SECOND).waitMillis()).isZero();
		}
		long wait = this.quotas.take(SFAX, 120, 7 * SECOND).waitMillis();
		assertThat(wait).isEqualTo(1_000);
		assertThat(this.quotas.take(SFAX, 120, 7 * SECOND + (wait + 1) * MILLI).waitMillis()).isZero();
	}

	// Guards against ignoring use after a kill of all processes: each new process
	// admits calls before its first report arrives at the others. Taken for use of long
	// ago, these were never counted.
	@Test
	void shouldCountUseBeforeFirstReportWhenProcessHasJustStarted() {
		QuotaTable running = table(-8 * SECOND);
		running.reportReceived("gateway-2", Map.of("sfax", new Use(700, 0, true)), 0);
		running.reportReceived("gateway-3", Map.of("sfax", new Use(90_000, 0, false)), 0);
		assertThat(running.take(SFAX, 0, 0).used()).isEqualTo(700);
	}

	// Guards against counting own use only: with callers at nine processes, each sees a
	// ninth of the use and would admit the whole quota.
	@Test
	void shouldCountUseThatOtherProcessesReport() {
		this.quotas.reportReceived("gateway-2", Map.of("sfax", new Use(9_000, 0, false)), 0);
		this.quotas.reportReceived("gateway-2", Map.of("sfax", new Use(9_500, 0, false)), 0);
		this.quotas.reportReceived("gateway-2", Map.of("sfax", new Use(9_800, 0, false)), SECOND);
		assertThat(this.quotas.take(SFAX, 51, 7 * SECOND).waitMillis()).isPositive();
		assertThat(this.quotas.take(SFAX, 50, 7 * SECOND).waitMillis()).isZero();
	}

	// Guards against ignoring the first use at a process that reported before.
	// Processes report only organisations that requested units there; the first call of
	// another one was taken for old use at all other processes.
	@Test
	void shouldCountFirstUseWhenProcessReportedBefore() {
		this.quotas.reportReceived("gateway-2", Map.of(), 0);
		this.quotas.reportReceived("gateway-2", Map.of("sfax", new Use(500, 0, false)), SECOND);
		assertThat(this.quotas.take(SFAX, 0, SECOND).used()).isEqualTo(500);
	}

	@Test
	void shouldCountRepeatedReportOnce() {
		this.quotas.reportReceived("gateway-2", Map.of("sfax", new Use(0, 0, false)), 0);
		this.quotas.reportReceived("gateway-2", Map.of("sfax", new Use(500, 0, false)), 0);
		this.quotas.reportReceived("gateway-2", Map.of("sfax", new Use(500, 0, false)), MILLI);
		assertThat(this.quotas.take(SFAX, 170, 6 * SECOND).waitMillis()).isZero();
		assertThat(this.quotas.take(SFAX, 170, 7 * SECOND + 900 * MILLI).waitMillis()).isZero();
	}

	// Guards against an overload of summaries with thousands of units each: bookings of
	// two hundred units each were refused as well, although all of them together have
	// the units of a few summaries.
	@Test
	void shouldReservePartOfQuotaForSmallCalls() {
		double summaries = 0;
		int bookings = 0;
		for (long now = 0; now < 8 * SECOND; now += 10 * MILLI) {
			summaries += (this.quotas.take(SFAX, 40, now).waitMillis() == 0) ? 40 : 0;
			summaries += (this.quotas.take(SFAX, 12, now).waitMillis() == 0) ? 12 : 0;
			if (now == SECOND || now == 7 * SECOND) {
				bookings += bookings(20, now);
			}
		}
		assertThat(bookings).isEqualTo(40);
		assertThat(summaries + bookings).isBetween(700.0, 850.0);
	}

	private int bookings(int count, long now) {
		int taken = 0;
		for (int i = 0; i < count; i++) {
			taken += (this.quotas.take(SFAX, 1, now).waitMillis() == 0) ? 1 : 0;
		}
		return taken;
	}

	// Guards against the same retry time for ten callers that are refused at the same
	// time: it was the time at which the units for one become available. Callers retry
	// once, so that nine of them were refused finally.
	@Test
	void shouldReturnIncreasingWaitsWhenSeveralCallersAreRefused() {
		for (long second = 0; second < 8; second++) {
			this.quotas.take(SFAX, 103, second * SECOND);
		}
		long before = 0;
		for (int caller = 0; caller < 10; caller++) {
			long wait = this.quotas.take(SFAX, 60, 7 * SECOND + 900 * MILLI).waitMillis();
			assertThat(wait).isGreaterThanOrEqualTo(before);
			before = wait;
		}
		assertThat(before).isGreaterThan(3_000);
	}

	@Test
	void shouldReturnLongerWaitsWhenOtherProcessesRefuseToo() {
		this.quotas.sharing(new Sharing(3, 3, true, Integer.MAX_VALUE));
		for (long second = 0; second < 8; second++) {
			this.quotas.take(SFAX, 103, second * SECOND);
		}
		long first = this.quotas.take(SFAX, 60, 7 * SECOND + 900 * MILLI).waitMillis();
		long second = this.quotas.take(SFAX, 60, 7 * SECOND + 900 * MILLI).waitMillis();
		assertThat(second - first).isGreaterThanOrEqualTo(1_000);
	}

	@Test
	void shouldGiveBackUnitsWhenCallDidNotRun() {
		this.quotas.take(SFAX, 170, 0);
		this.quotas.giveBack("sfax", 100, 0, 0);
		assertThat(this.quotas.useToReport(0).get("sfax").units()).isEqualTo(70);
		assertThat(this.quotas.take(SFAX, 100, 0).waitMillis()).isZero();
	}

	// Guards against subtracting returned units from the newest use. A call waits four
	// seconds at a server that then reports that it did not run it. Its units left the
	// window again with the second in which they were taken, so that later use of the
	// organisation was admitted twice.
	@Test
	void shouldHoldQuotaWhenUnitsOfEarlierCallAreGivenBack() {
		double[] used = new double[16];
		assertThat(this.quotas.take(SFAX, 160, 0).waitMillis()).isZero();
		for (int second = 1; second < 16; second++) {
			if (second == 4) {
				this.quotas.giveBack("sfax", 160, 0, 4 * SECOND);
			}
			for (int i = 0; i < 100; i++) {
				used[second] += (this.quotas.take(SFAX, 2, second * SECOND).waitMillis() == 0) ? 2 : 0;
			}
			double window = 0;
			for (int i = Math.max(0, second - 7); i <= second; i++) {
				window += used[i];
			}
			assertThat(window).isLessThanOrEqualTo(850);
		}
	}

	@Test
	void shouldNotGiveBackUnitsWhenTheyHaveLeftTheWindow() {
		this.quotas.take(SFAX, 100, 0);
		this.quotas.take(SFAX, 100, 9 * SECOND);
		this.quotas.giveBack("sfax", 100, 0, 9 * SECOND);
		assertThat(this.quotas.take(SFAX, 0, 9 * SECOND).used()).isEqualTo(100);
	}

	// Nine gateways share a quota of which 400 units are left. What one takes before
	// the others have confirmed its use is no more than its share of the requests at
	// all.
	@Test
	void shouldTakeOnlyItsShareWhenOthersHaveNotConfirmed() {
		this.quotas.sharing(new Sharing(9, 9, true, 0));
		this.quotas.reportReceived("gateway-2", Map.of("sfax", new Use(450, 270, true)), 7 * SECOND);
		assertThat(takenOfTens(30, 8 * SECOND - MILLI)).isBetween(10, 100);
		this.quotas.reportSent(1, 8 * SECOND - MILLI);
		this.quotas.sharing(new Sharing(9, 9, true, 1));
		assertThat(this.quotas.take(SFAX, 10, 8 * SECOND - MILLI).unconfirmed()).isZero();
	}

	private int takenOfTens(int calls, long now) {
		int taken = 0;
		for (int i = 0; i < calls; i++) {
			taken += (this.quotas.take(SFAX, 10, now).waitMillis() == 0) ? 10 : 0;
		}
		return taken;
	}

	// Guards against a jump at all processes: the reports of the others are older than
	// it, and each process took the whole burst.
	@Test
	void shouldTakeOnlyItsShareOfBurstWhenRequestsRiseBeforeReports() {
		this.quotas.sharing(new Sharing(9, 9, true, 1));
		this.quotas.reportSent(1, 0);
		for (int other = 2; other <= 9; other++) {
			this.quotas.reportReceived("gateway-" + other, Map.of("sfax", new Use(0, 0, false)), 0);
		}
		double taken = 0;
		for (int call = 0; call < 170; call++) {
			taken += (this.quotas.take(SFAX, 1, 100 * MILLI).waitMillis() == 0) ? 1 : 0;
		}
		assertThat(taken).isBetween(17.0, 34.0);
	}

	// Guards against overlapping groups: a gateway exchanges reports with two others
	// that receive none from each other. If each of these took the part of the two
	// gateways of its group, the part of the middle one would be used twice.
	@Test
	void shouldTakePartOfOneGatewayWhenGroupsOverlap() {
		this.quotas.sharing(new Sharing(3, 2, false, Integer.MAX_VALUE));
		double taken = 0;
		for (long now = 0; now < 8 * SECOND; now += 10 * MILLI) {
			taken += (this.quotas.take(SFAX, 1, now).waitMillis() == 0) ? 1 : 0;
		}
		assertThat(taken).isEqualTo(Math.floor(850 / 3.0));
	}

	@Test
	void shouldApplyLowerQuotaImmediately() {
		this.quotas.take(SFAX, 170, 0);
		assertThat(this.quotas.take(organisation(10), 1, SECOND).waitMillis()).isPositive();
	}

	// Guards against a kill of all processes during an overload: the new ones do not
	// know the use of the organisation and admitted its whole window a second time.
	@Test
	void shouldCountQuotaAsUsedWhenProcessHasJustStarted() {
		QuotaTable started = table(0);
		double taken = 0;
		for (long now = 0; now <= 4 * SECOND; now += 10 * MILLI) {
			taken += (started.take(SFAX, 5, now).waitMillis() == 0) ? 5 : 0;
		}
		assertThat(taken).isBetween(358.0, 370.0);
	}

	// Guards against retry times that are too late after a kill of all processes:
	// callers retry immediately, and were told to wait a whole window, as if the quota
	// was used up. They gave up although the units were available a second later.
	@Test
	void shouldReturnShortWaitWhenProcessHasJustStarted() {
		QuotaTable started = table(0);
		assertThat(started.take(SFAX, 40, 100 * MILLI).waitMillis()).isZero();
		long wait = started.take(SFAX, 100, 100 * MILLI).waitMillis();
		assertThat(wait).isBetween(1_580L, 1_610L);
		assertThat(started.take(SFAX, 100, (101 + wait) * MILLI).waitMillis()).isZero();
	}

	// Guards against exceeding the quota when three of nine gateways are cut off, each
	// by itself, and an organisation overloads all nine: each counted only the use that
	// was reported to it.
	@Test
	void shouldStayWithinQuotaWhenProcessesAreCutOff() {
		List<QuotaTable> joined = Stream.generate(() -> table(-8 * SECOND)).limit(6).toList();
		List<QuotaTable> cut = Stream.generate(() -> table(-8 * SECOND)).limit(3).toList();
		joined.forEach((table) -> table.sharing(new Sharing(9, 6, true, Integer.MAX_VALUE)));
		cut.forEach((table) -> table.sharing(new Sharing(9, 1, true, Integer.MAX_VALUE)));
		double[] used = new double[9];
		for (long now = 0; now < 8_000; now += 10) {
			for (int i = 0; i < 9; i++) {
				QuotaTable table = (i < 6) ? joined.get(i) : cut.get(i - 6);
				used[i] += (table.take(SFAX, 3, now * MILLI).waitMillis() == 0) ? 3 : 0;
				for (int j = 0; i < 6 && j < 6; j++) {
					if (j != i) {
						joined.get(j)
							.reportReceived("gateway-" + i, Map.of("sfax", new Use(used[i], 0, true)), now * MILLI);
					}
				}
			}
		}
		assertThat(DoubleStream.of(used).sum()).isBetween(700.0, 850.0 + 9 * 3);
	}

	// Guards against exceeding the quota when all processes are killed 4.4 s after an
	// organisation without recent use begins to overload them: the use admitted before
	// the kill and by the new processes must stay within the quota together.
	@Test
	void shouldStayWithinQuotaWhenAllProcessesAreKilled() {
		double taken = overload(this.quotas, 0, 4_400);
		taken += overload(table(5_400 * MILLI), 5_400, 8_000);
		assertThat(taken).isBetween(700.0, 1.1 * 850);
	}

	private static double overload(QuotaTable table, long fromMillis, long toMillis) {
		double taken = 0;
		for (long now = fromMillis; now < toMillis; now += 5) {
			taken += (table.take(SFAX, 5, now * MILLI).waitMillis() == 0) ? 5 : 0;
		}
		return taken;
	}

	@Test
	void shouldAllowAllWhenThereIsNoQuota() {
		assertThat(this.quotas.take(organisation(0), 1e9, 0).waitMillis()).isZero();
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void shouldNeverExceedQuotaInAnyWindow(long seed) {
		Random random = new Random(seed);
		long[] times = new long[4_000];
		double[] units = new double[4_000];
		int taken = 0;
		for (long now = 0; now < 60_000 && taken < times.length; now += random.nextInt(40)) {
			double requested = 1 + random.nextInt(30);
			if (this.quotas.take(SFAX, requested, now * MILLI).waitMillis() == 0) {
				times[taken] = now;
				units[taken] = requested;
				taken++;
			}
		}
		for (int last = 0; last < taken; last++) {
			double sum = 0;
			for (int i = last; i >= 0 && times[last] - times[i] < 7_950; i--) {
				sum += units[i];
			}
			assertThat(sum).isLessThanOrEqualTo(850);
		}
	}

	private static QuotaTable table(long startedNanos) {
		return new QuotaTable(8_000, startedNanos, 0, new Random(1)::nextDouble);
	}

	private static Organisation organisation(double perSecond) {
		return new Organisation("sfax", List.of("k"), OptionalInt.empty(), perSecond, 50,
				Organisation.QuotaUnit.REQUESTS, 1);
	}

}
