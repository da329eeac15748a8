package org.rosemaryfront.tables;

import org.junit.jupiter.api.Test;

import org.rosemaryfront.tables.Freshness.Source;

import static org.assertj.core.api.Assertions.assertThat;

class FreshnessTests {

	private final Freshness freshness = Freshness.unproven(1_000);

	@Test
	void shouldHaveNoAgeWhenNothingWasProven() {
		assertThat(this.freshness.ageNanos(1_000)).isEmpty();
		assertThat(this.freshness.source()).isEqualTo(Source.NOBODY);
	}

	@Test
	void shouldGrowOlderUntilTheNextProof() {
		this.freshness.proven(100, Source.STORE);
		assertThat(this.freshness.ageNanos(250)).hasValue(150);
		this.freshness.proven(200, Source.REPORT);
		assertThat(this.freshness.ageNanos(250)).hasValue(50);
		assertThat(this.freshness.source()).isEqualTo(Source.REPORT);
	}

	@Test
	void shouldKeepNewestProofWhenOlderOneComesLate() {
		this.freshness.proven(200, Source.STORE);
		this.freshness.proven(100, Source.REPORT);
		assertThat(this.freshness.ageNanos(250)).hasValue(50);
		assertThat(this.freshness.source()).isEqualTo(Source.STORE);
	}

	// Guards against taking a failed query, or a usual interval between confirmations,
	// for an outage in which registrations expire.
	@Test
	void shouldSeeNoOutageWhenProofsFollowOneAnother() {
		this.freshness.proven(100, Source.STORE);
		this.freshness.proven(1_099, Source.REPORT);
		this.freshness.proven(2_000, Source.STORE);
		assertThat(this.freshness.returnedNanos()).isEmpty();
	}

	@Test
	void shouldSeeTheEndOfAnOutageWhenNothingWasProvenForLong() {
		this.freshness.proven(100, Source.STORE);
		this.freshness.proven(1_100, Source.STORE);
		assertThat(this.freshness.returnedNanos()).hasValue(1_100);
		this.freshness.proven(1_200, Source.STORE);
		assertThat(this.freshness.returnedNanos()).hasValue(1_100);
	}

	@Test
	void shouldSeeNoOutageWhenTheProcessStoodStill() {
		this.freshness.proven(100, Source.STORE);
		this.freshness.forget(5_000);
		assertThat(this.freshness.ageNanos(5_000)).isEmpty();
		this.freshness.proven(5_000, Source.STORE);
		assertThat(this.freshness.returnedNanos()).isEmpty();
	}

	// Guards against confirmations from before the suspension of a VM: queries and
	// reports of that time appear to be as young as they were then.
	@Test
	void shouldTakeNoProofOfBeforeThePause() {
		this.freshness.forget(5_000);
		this.freshness.proven(4_900, Source.STORE);
		this.freshness.proven(5_100, Source.REPORT);
		assertThat(this.freshness.ageNanos(5_200)).isEmpty();
		this.freshness.proven(5_000, Source.STORE);
		assertThat(this.freshness.ageNanos(5_200)).hasValue(200);
	}

}
