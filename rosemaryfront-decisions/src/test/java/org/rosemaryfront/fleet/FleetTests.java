package org.rosemaryfront.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rosemaryfront.fleet.Fleet.Confirmation;
import org.rosemaryfront.fleet.Fleet.Report;
import org.rosemaryfront.fleet.Fleet.ReportStatus;
import org.rosemaryfront.fleet.Fleet.Sharing;
import org.rosemaryfront.tables.Role;

import static org.assertj.core.api.Assertions.assertThat;

class FleetTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final int SELF = 11;

	private final Fleet fleet = new Fleet(SELF);

	@BeforeEach
	void addGateways() {
		this.fleet.addGateway("gateway-2", 0);
		this.fleet.addGateway("gateway-3", 0);
		this.fleet.reportSent(1, 0);
	}

	// Guards against a process that starts during an outage of the store and knows no
	// other gateway: it took itself for the only one and gave out every quota in full.
	@Test
	void shouldHaveNoPartWhenTableOfGatewaysWasNotRead() {
		assertThat(new Fleet(SELF).sharing(0).isKnown()).isFalse();
		assertThat(new Fleet(SELF).sharing(0).fraction()).isZero();
	}

	// Guards against too many connections to servers and retries, whose limits are
	// divided by the number of gateways. If each gateway assumed to be the only one,
	// each would make as many as all together may.
	@Test
	void shouldAssumeManyGatewaysWhenTableOfGatewaysWasNotRead() {
		assertThat(this.fleet.servingCount(0)).isGreaterThan(100);
		this.fleet.gatewaysListed();
		assertThat(this.fleet.servingCount(0)).isEqualTo(3);
	}

	@Test
	void shouldHaveOnlyItsOwnPartWhenNoGatewayConfirms() {
		this.fleet.gatewaysListed();
		assertThat(this.fleet.sharing(0)).isEqualTo(new Sharing(3, 1, true, 1));
	}

	@Test
	void shouldShareWithGatewaysWhenTheyConfirm() {
		this.fleet.gatewaysListed();
		receive(2, 1, 0);
		receive(3, 1, 0);
		assertThat(this.fleet.sharing(0).group()).isEqualTo(3);
	}

	// Guards against sharing with a gateway whose reports arrive but which receives
	// none: it admits its own part, so that its reported use must not count as shared.
	@Test
	void shouldNotShareWithGatewayWhenItDoesNotConfirm() {
		this.fleet.gatewaysListed();
		receive(2, 1, 0);
		receive(3, 0, 0);
		assertThat(this.fleet.sharing(0).group()).isEqualTo(2);
	}

	// Guards against reports that waited in the socket during a process pause: they all
	// arrive when the process resumes, and are as old as the pause.
	@Test
	void shouldNotShareWhenReportsWaitedInSocket() {
		this.fleet.gatewaysListed();
		receive(2, 1, 4 * SECOND);
		assertThat(this.fleet.sharing(4 * SECOND).group()).isEqualTo(1);
		this.fleet.reportSent(2, 4 * SECOND);
		receive(2, 2, 4 * SECOND);
		assertThat(this.fleet.sharing(4 * SECOND).group()).isEqualTo(2);
	}

	// Guards against reports from before a suspension of the VM: the monotonic clock is
	// stopped during it, so that they appear recent afterwards.
	@Test
	void shouldNotShareWhenReportsAreFromBeforeSuspension() {
		this.fleet.gatewaysListed();
		this.fleet.discardConfirmations();
		receive(2, 1, 0);
		assertThat(this.fleet.sharing(0).group()).isEqualTo(1);
	}

	@Test
	void shouldIgnoreConfirmationWhenItIsOfEarlierStart() {
		this.fleet.gatewaysListed();
		this.fleet.reportReceived(
				new Report("gateway-2", 2, 1, false, 0, false, Optional.of(new Confirmation(SELF + 1, 1))), 0);
		assertThat(this.fleet.sharing(0).group()).isEqualTo(1);
	}

	@Test
	void shouldConfirmOnlyRecentReports() {
		receive(2, 1, 0);
		assertThat(this.fleet.confirmation("gateway-2", SECOND / 2)).contains(new Confirmation(2, 1));
		assertThat(this.fleet.confirmation("gateway-2", 2 * SECOND)).isEmpty();
		assertThat(this.fleet.confirmation("gateway-3", SECOND / 2)).isEmpty();
	}

	@Test
	void shouldReturnLastReportThatAllConfirmed() {
		this.fleet.gatewaysListed();
		this.fleet.reportSent(2, SECOND / 4);
		receive(2, 2, SECOND / 4);
		receive(3, 1, SECOND / 4);
		assertThat(this.fleet.sharing(SECOND / 4).confirmed()).isEqualTo(1);
	}

	// Two gateways receive no reports from each other, and both exchange reports with
	// this one, so that their groups overlap. Gateways notice a change of the group at
	// different times, so that a short difference is ignored.
	@ParameterizedTest
	@CsvSource({ "0.5, true", "1.2, false" })
	void shouldNotAgreeWhenGroupsDifferTooLong(double seconds, boolean agreed) {
		this.fleet.gatewaysListed();
		receive(2, 1, 0);
		this.fleet.sharing(0);
		long now = (long) (seconds * SECOND);
		this.fleet.reportSent(2, now);
		receive(2, 2, now);
		assertThat(this.fleet.sharing(now).agreed()).isEqualTo(agreed);
	}

	@Test
	void shouldReturnFirstWhenSenderWaitsForConfirmation() {
		assertThat(receive(report(2, 1), 0)).isEqualTo(ReportStatus.FIRST);
		assertThat(receive(report(2, 2), SECOND)).isEqualTo(ReportStatus.CURRENT);
		assertThat(receive(report(22, 1), 2 * SECOND)).isEqualTo(ReportStatus.FIRST);
	}

	// Guards against a datagram that is delayed and overtaken by later ones.
	@Test
	void shouldDropReportWhenLaterOneArrivedBefore() {
		receive(report(2, 5), 0);
		assertThat(receive(report(2, 4), 0)).isEqualTo(ReportStatus.LATE);
		assertThat(this.fleet.confirmation("gateway-2", 0)).contains(new Confirmation(2, 5));
	}

	// The response to the first report of a start repeats the last report, with the
	// confirmation that the sender of the first report waits for.
	@Test
	void shouldUseConfirmationWhenReportIsRepeated() {
		this.fleet.gatewaysListed();
		receive(report(2, 5), 0);
		assertThat(this.fleet.sharing(0).group()).isEqualTo(1);
		this.fleet
			.reportReceived(new Report("gateway-2", 2, 5, false, 0, false, Optional.of(new Confirmation(SELF, 1))), 0);
		assertThat(this.fleet.sharing(0).group()).isEqualTo(2);
	}

	// Guards against a report of an earlier start that arrives after a restart of the
	// gateway: it replaced the content of a report of the later start.
	@Test
	void shouldDropReportWhenItIsOfEarlierStart() {
		receive(report(2, 900), 0);
		receive(report(22, 1), 0);
		assertThat(receive(report(2, 901), 0)).isEqualTo(ReportStatus.LATE);
		assertThat(this.fleet.confirmation("gateway-2", 0)).contains(new Confirmation(22, 1));
	}

	@Test
	void shouldReturnTimedOutGatewayOnceUntilItReportsAgain() {
		receive(report(2, 1), 0);
		assertThat(this.fleet.liveCount()).isEqualTo(2);
		assertThat(this.fleet.timedOut(2 * SECOND)).isEmpty();
		assertThat(this.fleet.timedOut(3 * SECOND)).containsExactly("gateway-2");
		assertThat(this.fleet.timedOut(4 * SECOND)).isEmpty();
		assertThat(this.fleet.isLive("gateway-2")).isFalse();
		receive(report(2, 2), 5 * SECOND);
		assertThat(this.fleet.isLive("gateway-2")).isTrue();
	}

	@Test
	void shouldNotCountGatewayWhenItLeft() {
		this.fleet.gatewaysListed();
		this.fleet.reportReceived(new Report("gateway-2", 2, 1, true, 0, false, Optional.empty()), 0);
		assertThat(this.fleet.servingCount(0)).isEqualTo(2);
	}

	// When one of three gateways has terminated, its part is lost until the others take
	// it over. On the smaller side of a network partition they must not, since the
	// larger side does.
	@ParameterizedTest
	@CsvSource({ "true, 2", "false, 3" })
	void shouldTakeOverPartOfUnresponsiveGatewayOnlyWhenMostArePresent(boolean secondReports, int serving) {
		this.fleet.gatewaysListed();
		if (secondReports) {
			receive(2, 1, 29 * SECOND);
		}
		assertThat(this.fleet.servingCount(29 * SECOND)).isEqualTo(3);
		assertThat(this.fleet.servingCount(31 * SECOND)).isEqualTo(serving);
	}

	@Test
	void shouldCountRemovedGatewayWhenItReportsAgain() {
		this.fleet.gatewaysListed();
		receive(2, 1, 29 * SECOND);
		assertThat(this.fleet.servingCount(31 * SECOND)).isEqualTo(2);
		receive(3, 1, 32 * SECOND);
		assertThat(this.fleet.servingCount(32 * SECOND)).isEqualTo(3);
	}

	// Guards against a takeover by all gateways when one of three readers was late once.
	@Test
	void shouldLetMoreGatewaysTakeOverTheLongerReaderIsMissing() {
		List<String> names = IntStream.range(0, 20).mapToObj((i) -> "gateway-" + i).toList();
		String reader = names.stream()
			.filter((self) -> fleetWithReports(self, names, true).role(self, 0) == Role.FIRST)
			.findFirst()
			.orElseThrow();
		Map<String, Fleet> others = names.stream()
			.filter((self) -> !self.equals(reader))
			.collect(Collectors.toMap((self) -> self, (_) -> new Fleet(SELF)));
		assertThat(readersTakingOver(others, reader, 1, 0)).isEqualTo(2);
		assertThat(readersTakingOver(others, reader, 2, SECOND / 2)).isEqualTo(2);
		assertThat(readersTakingOver(others, reader, 3, SECOND)).isEqualTo(5);
		assertThat(readersTakingOver(others, reader, 4, 2 * SECOND)).isEqualTo(11);
	}

	private static long readersTakingOver(Map<String, Fleet> fleets, String reader, int number, long nowNanos) {
		return fleets.entrySet().stream().filter((entry) -> {
			Set<String> senders = new HashSet<>(fleets.keySet());
			senders.add(reader);
			senders.remove(entry.getKey());
			senders.forEach((name) -> entry.getValue()
				.reportReceived(
						new Report(name, name.hashCode(), number, false, 0, name.equals(reader), Optional.empty()),
						nowNanos));
			return entry.getValue().role(entry.getKey(), nowNanos).reads();
		}).count();
	}

	// Three of ten gateways read the store's tables, and all gateways choose the same
	// three.
	@Test
	void shouldChooseTheSameReadersAtAllGateways() {
		List<String> names = IntStream.range(0, 10).mapToObj((i) -> "gateway-" + i).toList();
		long reading = names.stream()
			.filter((self) -> fleetWithReports(self, names, true).role(self, 0).reads())
			.count();
		assertThat(reading).isEqualTo(3);
		assertThat(names).noneMatch((self) -> fleetWithReports(self, names, false).role(self, 0) == Role.RESTING);
	}

	@Test
	void shouldReadTablesWhenReadersAreUnresponsive() {
		List<String> names = IntStream.range(0, 10).mapToObj((i) -> "gateway-" + i).toList();
		String self = names.stream()
			.filter((name) -> fleetWithReports(name, names, true).role(name, 0) == Role.RESTING)
			.findFirst()
			.orElseThrow();
		assertThat(fleetWithReports(self, names, true).role(self, SECOND / 2)).isEqualTo(Role.RESTING);
		assertThat(fleetWithReports(self, names, true).role(self, SECOND).reads()).isTrue();
	}

	// Guards against two gateways that both take a task that one of them has, and against
	// one that has the tasks of all keys.
	@Test
	void shouldPreferSameGatewayForKeyAtAllGateways() {
		List<String> names = IntStream.range(0, 10).mapToObj((i) -> "gateway-" + i).toList();
		Set<String> preferred = new HashSet<>();
		for (String key : List.of("s1", "s2", "s3", "s4", "s5", "s6")) {
			Set<String> atAll = names.stream()
				.map((self) -> fleetThatConfirms(self, names).preferred(self, key, 0))
				.collect(Collectors.toSet());
			assertThat(atAll).hasSize(1);
			preferred.addAll(atAll);
		}
		assertThat(preferred).hasSizeGreaterThan(2);
	}

	@Test
	void shouldPreferItselfWhenNoOtherGatewayConfirms() {
		List<String> names = List.of("gateway-1", "gateway-2");
		assertThat(fleetWithReports("gateway-1", names, true).preferred("gateway-1", "s1", 0)).isEqualTo("gateway-1");
	}

	private static Fleet fleetThatConfirms(String self, List<String> names) {
		Fleet fleet = new Fleet(SELF);
		fleet.reportSent(1, 0);
		names.stream()
			.filter((name) -> !name.equals(self))
			.forEach((name) -> fleet.reportReceived(
					new Report(name, name.hashCode(), 1, false, 0, false, Optional.of(new Confirmation(SELF, 1))), 0));
		return fleet;
	}

	private static Fleet fleetWithReports(String self, List<String> names, boolean reads) {
		Fleet fleet = new Fleet(SELF);
		names.stream()
			.filter((name) -> !name.equals(self))
			.forEach((name) -> fleet
				.reportReceived(new Report(name, name.hashCode(), 1, false, 0, reads, Optional.empty()), 0));
		return fleet;
	}

	private void receive(int start, int confirmed, long nowNanos) {
		this.fleet.reportReceived(new Report("gateway-" + start, start, 1, false, 0, false,
				Optional.of(new Confirmation(SELF, confirmed))), nowNanos);
	}

	private ReportStatus receive(Report report, long nowNanos) {
		return this.fleet.reportReceived(report, nowNanos);
	}

	private static Report report(int start, int number) {
		return new Report("gateway-2", start, number, false, 0, false, Optional.empty());
	}

}
