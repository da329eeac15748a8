package org.rosemaryfront.load;

import java.time.Duration;
import java.util.List;
import java.util.function.ToLongFunction;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

import org.rosemaryfront.load.LoadSettings.Mix;
import org.rosemaryfront.load.LoadSettings.Organisation;
import org.rosemaryfront.load.ScriptedEntry.Behaviour;

import static org.assertj.core.api.Assertions.assertThat;

class LoadRunTests {

	private static final Mix ALL = new Mix(1, 1, 1, 1);

	@ParameterizedTest
	@EnumSource(names = { "WELL", "CUTS", "REDIRECTS" })
	void shouldFindNothingBrokenWhenTheEntryBehavesWell(Behaviour behaviour) {
		LoadReport report = run(behaviour, ALL);
		assertThat(report.json()).contains("\"torn\":0,\"foreign\":0,\"lost\":0");
		assertThat(report.broken()).isFalse();
		assertThat(report.sent()).isPositive().isEqualTo(report.accepted()).isEqualTo(report.whole());
		assertThat(report.bookings().compared()).isTrue();
		assertThat(report.bookings().created()).isPositive().isEqualTo(report.bookings().keys());
		assertThat(report.bookings().calls()).isGreaterThan(report.bookings().keys());
		assertThat(report.resumed() > 0).isEqualTo(behaviour != Behaviour.WELL);
		assertThat(report.redirected() > 0).isEqualTo(behaviour == Behaviour.REDIRECTS);
		assertThat(report.firstToken().count()).isPositive();
		assertThat(report.tokens()).isGreaterThan(report.whole() * 7);
	}

	/**
	 * A check that cannot fail proves nothing: each promise is broken once, on purpose.
	 */
	@ParameterizedTest
	@MethodSource("brokenPromises")
	void shouldSayWhichPromiseIsBrokenWhenTheEntryBehavesBadly(Behaviour behaviour, Mix mix,
			ToLongFunction<LoadReport> count) {
		LoadReport report = run(behaviour, mix);
		assertThat(count.applyAsLong(report)).isPositive();
		assertThat(report.broken()).isTrue();
	}

	static List<Arguments> brokenPromises() {
		Mix streams = new Mix(1, 1, 0, 0);
		Mix bookings = new Mix(0, 0, 0, 1);
		return List.of(broken(Behaviour.DROPS_A_TOKEN, streams, LoadReport::torn),
				broken(Behaviour.DOUBLES_A_TOKEN, streams, LoadReport::torn),
				broken(Behaviour.ENDS_EARLY, streams, LoadReport::torn),
				broken(Behaviour.MIXES_ANSWERS, streams, LoadReport::foreign),
				broken(Behaviour.FAILS, streams, LoadReport::lost),
				broken(Behaviour.FORGETS, streams, LoadReport::lost),
				broken(Behaviour.RUNS_TWICE, bookings, (report) -> report.bookings().doubled()),
				broken(Behaviour.DENIES_BOOKINGS, bookings, (report) -> report.bookings().falseNotRun()),
				broken(Behaviour.INVENTS_BOOKINGS, bookings, (report) -> report.bookings().phantom()));
	}

	@Test
	void shouldCountRefusalsByCodeWhenTheEntryRefuses() {
		LoadReport report = run(Behaviour.REFUSES, ALL);
		assertThat(report.refused()).containsOnlyKeys("overloaded");
		assertThat(report.refused().get("overloaded")).isEqualTo(report.sent());
		assertThat(report.bookings().notRun()).isEqualTo(report.bookings().keys());
		assertThat(report.broken()).isFalse();
	}

	@Test
	void shouldCountRequestsAsUnreachableWhenNoEntryListens() {
		LoadReport report;
		try (ScriptedEntry entry = new ScriptedEntry(Behaviour.WELL)) {
			String gone = entry.url();
			entry.close();
			report = LoadRun.start(settings(gone, new Mix(1, 0, 0, 0))).await();
		}
		assertThat(report.unreachable()).isPositive().isEqualTo(report.sent());
		assertThat(report.accepted()).isZero();
	}

	@Test
	void shouldSendTheSameRequestsWhenTheSeedIsTheSame() {
		LoadReport first = run(Behaviour.WELL, new Mix(1, 1, 1, 0));
		LoadReport second = run(Behaviour.WELL, new Mix(1, 1, 1, 0));
		assertThat(second.sent()).isEqualTo(first.sent());
		assertThat(second.tokens()).isEqualTo(first.tokens());
	}

	private static LoadReport run(Behaviour behaviour, Mix mix) {
		try (ScriptedEntry entry = new ScriptedEntry(behaviour)) {
			return LoadRun.start(settings(entry.url(), mix).withServices(List.of(entry.url()))).await();
		}
	}

	private static LoadSettings settings(String url, Mix mix) {
		return LoadSettings
			.of(List.of(url), List.of(new Organisation("tunis-nord", "key")), "m", 60, Duration.ofSeconds(1), 7)
			.withMix(mix);
	}

	private static Arguments broken(Behaviour behaviour, Mix mix, ToLongFunction<LoadReport> count) {
		return Arguments.of(behaviour, mix, count);
	}

}
