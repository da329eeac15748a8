package org.rosemaryfront.duties;

import java.util.Map;

import org.junit.jupiter.api.Test;

import org.rosemaryfront.duties.UsageSums.Sum;

import static org.assertj.core.api.Assertions.assertThat;

class UsageSumsTests {

	private final UsageSums sums = new UsageSums();

	@Test
	void shouldAddUpAnyWindowWhenStoreWasNeverRestored() {
		this.sums.holdsDuties(1, 20);
		assertThat(this.sums.mayAddUp(3)).isTrue();
	}

	// Guards against adding up a window again whose sum was reported and lost.
	@Test
	void shouldNotAddUpWindowWhenItEndedBeforeRestore() {
		this.sums.storeRestored(20);
		this.sums.holdsDuties(1, 21);
		assertThat(this.sums.mayAddUp(19)).isFalse();
		assertThat(this.sums.mayAddUp(20)).isTrue();
	}

	// Guards against a former holder whose clock is ahead, and that has reported a window
	// that did not end yet by this process's clock.
	@Test
	void shouldNotAddUpWindowWhenItEndedByClockOfAnotherProcess() {
		this.sums.windowBegan(22);
		this.sums.storeRestored(20);
		this.sums.holdsDuties(1, 20);
		assertThat(this.sums.mayAddUp(21)).isFalse();
		assertThat(this.sums.mayAddUp(22)).isTrue();
	}

	@Test
	void shouldAddUpWindowWhenItEndedInTenureThatSurvivedRestore() {
		this.sums.holdsDuties(1, 10);
		this.sums.storeRestored(20);
		this.sums.holdsDuties(1, 21);
		assertThat(this.sums.mayAddUp(10)).isTrue();
		assertThat(this.sums.mayAddUp(9)).isFalse();
	}

	@Test
	void shouldNotAddUpWindowWhenTenureEndedWithRestore() {
		this.sums.holdsDuties(1, 10);
		this.sums.storeRestored(20);
		this.sums.holdsDuties(2, 22);
		assertThat(this.sums.mayAddUp(19)).isFalse();
	}

	@Test
	void shouldKeepFirstSumWhenAnotherIsReceived() {
		this.sums.stored(7, Map.of("sfax", 4L));
		this.sums.received(7, Map.of("sfax", 5L));
		assertThat(this.sums.find(7)).hasValue(Map.of("sfax", 4L));
	}

	@Test
	void shouldSendStoredSumInSeveralReports() {
		this.sums.stored(7, Map.of("sfax", 4L));
		this.sums.received(8, Map.of("sfax", 5L));
		assertThat(this.sums.wasSent(7)).isFalse();
		assertThat(this.sums.isAnyNeverSent()).isTrue();
		for (int report = 0; report < 3; report++) {
			assertThat(this.sums.takeDue()).containsExactly(new Sum(7, Map.of("sfax", 4L)));
		}
		assertThat(this.sums.wasSent(7)).isTrue();
		assertThat(this.sums.isAnyNeverSent()).isFalse();
		assertThat(this.sums.takeDue()).isEmpty();
	}

	@Test
	void shouldForgetSumWhenItIsNoLongerReported() {
		this.sums.stored(7, Map.of());
		this.sums.removeBefore(8);
		assertThat(this.sums.find(7)).isEmpty();
	}

}
