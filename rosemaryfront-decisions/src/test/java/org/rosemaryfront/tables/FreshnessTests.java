package org.rosemaryfront.tables;

import org.junit.jupiter.api.Test;

import org.rosemaryfront.tables.Freshness.Source;

import static org.assertj.core.api.Assertions.assertThat;

class FreshnessTests {

	private final Freshness freshness = Freshness.unconfirmed(1_000);

	@Test
	void shouldHaveNoAgeWhenNothingWasConfirmed() {
		assertThat(this.freshness.ageNanos(1_000)).isEmpty();
		assertThat(this.freshness.source()).isEqualTo(Source.NOBODY);
	}

	@Test
	void shouldGrowOlderUntilTheNextConfirmation() {
		this.freshness.confirm(100, Source.STORE);
		assertThat(this.freshness.ageNanos(250)).hasValue(150);
		this.freshness.confirm(200, Source.REPORT);
		assertThat(this.freshness.ageNanos(250)).hasValue(50);
		assertThat(this.freshness.source()).isEqualTo(Source.REPORT);
	}

	@Test
	void shouldKeepNewestConfirmationWhenOlderOneArrivesLate() {
		this.freshness.confirm(200, Source.STORE);
		this.freshness.confirm(100, Source.REPORT);
		assertThat(this.freshness.ageNanos(250)).hasValue(50);
		assertThat(this.freshness.source()).isEqualTo(Source.STORE);
	}

	// Guards against taking a failed query, or a usual interval between confirmations,
	// for an outage in which registrations expire.
	@Test
	void shouldDetectNoOutageWhenConfirmationsAreFrequent() {
		this.freshness.confirm(100, Source.STORE);
		this.freshness.confirm(1_099, Source.REPORT);
		this.freshness.confirm(2_000, Source.STORE);
		assertThat(this.freshness.outageEndNanos()).isEmpty();
	}

	@Test
	void shouldDetectEndOfOutageWhenConfirmationsWereFarApart() {
		this.freshness.confirm(100, Source.STORE);
		this.freshness.confirm(1_100, Source.STORE);
		assertThat(this.freshness.outageEndNanos()).hasValue(1_100);
		this.freshness.confirm(1_200, Source.STORE);
		assertThat(this.freshness.outageEndNanos()).hasValue(1_100);
	}

	@Test
	void shouldDetectNoOutageWhenProcessWasPaused() {
		this.freshness.confirm(100, Source.STORE);
		this.freshness.discardConfirmation(5_000);
		assertThat(this.freshness.ageNanos(5_000)).isEmpty();
		this.freshness.confirm(5_000, Source.STORE);
		assertThat(this.freshness.outageEndNanos()).isEmpty();
	}

	// Guards against confirmations from before the suspension of a VM: queries and
	// reports of that time appear to be as young as they were then.
	@Test
	void shouldIgnoreConfirmationsWhenTheyAreFromBeforeThePause() {
		this.freshness.discardConfirmation(5_000);
		this.freshness.confirm(4_900, Source.STORE);
		this.freshness.confirm(5_100, Source.REPORT);
		assertThat(this.freshness.ageNanos(5_200)).isEmpty();
		this.freshness.confirm(5_000, Source.STORE);
		assertThat(this.freshness.ageNanos(5_200)).hasValue(200);
	}

}
