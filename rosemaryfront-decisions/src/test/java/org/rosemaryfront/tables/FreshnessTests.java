package org.rosemaryfront.tables;

import org.junit.jupiter.api.Test;

import org.rosemaryfront.tables.Freshness.Source;

import static org.assertj.core.api.Assertions.assertThat;

class FreshnessTests {

	private final Freshness freshness = Freshness.unproven();

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

}
