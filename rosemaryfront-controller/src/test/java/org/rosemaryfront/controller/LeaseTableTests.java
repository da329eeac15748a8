package org.rosemaryfront.controller;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import reactor.core.scheduler.Schedulers;

import org.rosemaryfront.lease.LeaseStateMachine;
import org.rosemaryfront.lease.LeaseTiming;
import org.rosemaryfront.standin.platform.Fault;
import org.rosemaryfront.standin.platform.InMemoryPlatform;
import org.rosemaryfront.standin.platform.StandinPlatformSettings;

import static org.assertj.core.api.Assertions.assertThat;

/** The lease against the stand-in's tables, on virtual time. */
class LeaseTableTests {

	private static final long MILLI = 1_000_000;

	private static final LeaseTiming TERMS = LeaseTiming.of(Duration.ofSeconds(10), Duration.ofSeconds(1));

	private long nowMillis = 1_000;

	private final InMemoryPlatform platform = InMemoryPlatform.of(StandinPlatformSettings.standard(),
			() -> this.nowMillis, Schedulers.parallel());

	private final LeaseTable table = LeaseTable.of(this.platform);

	private final LeaseStateMachine first = LeaseStateMachine.of("entry-1", TERMS, 1);

	private final LeaseStateMachine second = LeaseStateMachine.of("entry-2", TERMS, 2);

	// Nobody orders for a whole term after a start: the write that took the lease over
	// took effect and its answer was lost. The process reads its own token in the row
	// and holds, counted from before it asked for the write.
	@Test
	void shouldHoldWhenAnswerOfTakeOverIsLost() {
		step(this.first);
		this.platform.begin(Fault.of(Fault.Kind.LOST_ANSWER, Fault.FOR_GOOD).onTable(LeaseTable.TABLE));
		long asked = this.nowMillis;
		step(this.first);
		assertThat(this.first.maySendOrders(now())).isFalse();
		this.nowMillis += 500;
		step(this.first);
		assertThat(this.first.maySendOrders(now())).isTrue();
		assertThat(this.first.fence()).isEqualTo(1);
		assertThat(this.first.remainingNanos(now())).isEqualTo((asked + 9_000 - this.nowMillis) * MILLI);
		assertThat(this.table.fenceVersion(1).block()).isPresent();
	}

	// Two controllers order at a time after an outage: the holder could not renew, the
	// successor's take-over met the same outage, and each believes the row of its own
	// last read. At most one may order at any moment, and the next fence is higher.
	@Test
	void shouldHaveOneHolderWhenOutageStrikesDuringTakeOver() {
		run(this.first, 1_000);
		assertThat(this.first.maySendOrders(now())).isTrue();
		run(this.second, 1_000);
		this.platform.begin(Fault.of(Fault.Kind.OUTAGE, 25_000));
		runBoth(24_000);
		assertThat(this.first.maySendOrders(now())).isFalse();
		assertThat(this.second.maySendOrders(now())).isFalse();
		runBoth(30_000);
		assertThat(this.first.maySendOrders(now()) ^ this.second.maySendOrders(now())).isTrue();
		LeaseStateMachine holder = this.first.maySendOrders(now()) ? this.first : this.second;
		assertThat(holder.fence()).isEqualTo(2);
		assertThat(this.table.fenceVersion(1).block()).isEmpty();
		assertThat(this.table.fenceVersion(2).block()).isPresent();
	}

	private void runBoth(long millis) {
		for (long passed = 0; passed < millis; passed += 100) {
			this.nowMillis += 100;
			step(this.first);
			step(this.second);
			assertThat(this.first.maySendOrders(now()) && this.second.maySendOrders(now())).as("two holders").isFalse();
		}
	}

	private void run(LeaseStateMachine machine, long millis) {
		for (long passed = 0; passed < millis; passed += 100) {
			this.nowMillis += 100;
			step(machine);
		}
	}

	private void step(LeaseStateMachine machine) {
		machine.tick(now()).forEach((command) -> machine.accept(this.table.execute(command).block(), now()));
	}

	private long now() {
		return this.nowMillis * MILLI;
	}

}
