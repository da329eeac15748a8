package org.rosemaryfront.tables;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class FreshnessLimitsTests {

	@ParameterizedTest
	@CsvSource({ "1000, 250, 550", "2000, 500, 1100", "3000, 750, 1650", "9000, 750, 1650" })
	void shouldScaleWithTheBound(long boundMillis, long firstMillis, long restingMillis) {
		FreshnessLimits limits = FreshnessLimits.within(boundMillis);
		assertThat(limits.forRole(Role.FIRST, 1)).isEqualTo(TimeUnit.MILLISECONDS.toNanos(firstMillis));
		assertThat(limits.forRole(Role.RESTING, 0)).isEqualTo(TimeUnit.MILLISECONDS.toNanos(restingMillis));
	}

	@ParameterizedTest
	@CsvSource({ "FIRST, STAND_BY", "STAND_BY, RESTING" })
	void shouldHaveShorterLimitWhenRoleReadsForOthers(Role earlier, Role later) {
		FreshnessLimits limits = FreshnessLimits.defaults();
		assertThat(limits.forRole(earlier, 1)).isLessThan(limits.forRole(later, 0));
	}

}
