package org.rosemaryfront.lease;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LeaseTenureTests {

	private final LeaseTenure tenure = new LeaseTenure();

	@Test
	void shouldCountTenureOnceWhenLeaseIsRenewed() {
		this.tenure.acquired(false);
		this.tenure.acquired(true);
		assertThat(this.tenure.number()).isEqualTo(1);
	}

	@Test
	void shouldGoOnWithTenureWhenLeaseWasValidAtRestore() {
		this.tenure.acquired(false);
		this.tenure.continueIn(1, true, 100);
		assertThat(this.tenure.mayAcquireVacant(0)).isTrue();
		this.tenure.acquired(false);
		assertThat(this.tenure.number()).isEqualTo(1);
		assertThat(this.tenure.isResuming()).isFalse();
	}

	@Test
	void shouldBeginNewTenureWhenInterrupted() {
		this.tenure.acquired(false);
		this.tenure.continueIn(1, true, 100);
		this.tenure.interrupt();
		this.tenure.acquired(false);
		assertThat(this.tenure.number()).isEqualTo(2);
	}

	@Test
	void shouldNotAcquireVacantLeaseBeforeTermOfOtherHolderEnded() {
		this.tenure.continueIn(1, false, 100);
		assertThat(this.tenure.mayAcquireVacant(99)).isFalse();
		assertThat(this.tenure.mayAcquireVacant(100)).isTrue();
	}

	@Test
	void shouldAcquireVacantLeaseAtOnceWhenSystemStartsForFirstTime() {
		this.tenure.beginIn(3);
		assertThat(this.tenure.mayAcquireVacant(Long.MIN_VALUE)).isTrue();
		assertThat(this.tenure.generation()).isEqualTo(3);
	}

	// Guards against a fencing number of an earlier generation that comes again.
	@Test
	void shouldRaiseFencesAboveThoseOfEarlierGenerations() {
		long before = this.tenure.fenceBase() + Integer.MAX_VALUE;
		this.tenure.continueIn(1, false, 0);
		assertThat(this.tenure.fenceBase()).isGreaterThan(before);
	}

}
