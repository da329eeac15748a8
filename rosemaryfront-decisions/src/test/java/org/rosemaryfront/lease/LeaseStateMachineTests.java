package org.rosemaryfront.lease;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class LeaseStateMachineTests {

	private static final long MILLI = 1_000_000;

	private static final LeaseTiming TERMS = LeaseTiming.of(Duration.ofSeconds(10), Duration.ofSeconds(1));

	private final LeaseStateMachine lease = LeaseStateMachine.of("vm-1", TERMS, 1);

	// -- acquisition

	@Test
	void shouldAcquireImmediatelyWhenThereIsNoRow() {
		LeaseCommand.Write write = acquire(0);
		assertThat(write.takeOver()).isTrue();
		assertThat(write.row().fence()).isEqualTo(1);
		this.lease.accept(new LeaseEvent.WriteCommitted(write.row().token(), 1), 5 * MILLI);
		assertThat(this.lease.maySendOrders(5 * MILLI)).isTrue();
		assertThat(this.lease.fence()).isEqualTo(1);
	}

	// If a successor compares the row with its wall clock, or counts from its own start,
	// two controllers send orders at the same time. It must wait for a full term of the
	// holder after it saw the row change.
	@Test
	void shouldWaitForTermOfHolderWhenRowIsHeld() {
		read(0, Optional.of(new LeaseRow("vm-2", 7, 20_000, "x")), 3);
		assertThat(writes(19_999 * MILLI)).isEmpty();
		List<LeaseCommand.Write> writes = writes(20_000 * MILLI);
		assertThat(writes).hasSize(1);
		assertThat(writes.getFirst().row().fence()).isEqualTo(8);
		assertThat(writes.getFirst().version()).isEqualTo(3);
	}

	@Test
	void shouldWaitAgainWhenRowChanges() {
		read(0, Optional.of(new LeaseRow("vm-2", 7, 10_000, "x")), 3);
		read(9_000 * MILLI, Optional.of(new LeaseRow("vm-2", 7, 10_000, "y")), 4);
		assertThat(writes(18_999 * MILLI)).isEmpty();
		assertThat(writes(19_000 * MILLI)).hasSize(1);
	}

	@Test
	void shouldAcquireImmediatelyWhenHolderReleased() {
		read(0, Optional.of(new LeaseRow("", 7, 10_000, "x")), 3);
		assertThat(writes(1)).hasSize(1);
	}

	// A hundred processes without the lease would each poll its row, although the holder
	// announces itself to them.
	@Test
	void shouldNotReadWhenHolderAnnouncesItself() {
		read(0, Optional.of(new LeaseRow("vm-2", 7, 10_000, "x")), 3);
		for (long millis = 0; millis < 60_000; millis += 250) {
			this.lease.holderAnnounced(millis * MILLI);
			assertThat(this.lease.tick(millis * MILLI)).isEmpty();
		}
	}

	@Test
	void shouldReadWhenAnnouncementOfHolderExpired() {
		read(0, Optional.of(new LeaseRow("vm-2", 7, 10_000, "x")), 3);
		this.lease.holderAnnounced(20_000 * MILLI);
		assertThat(this.lease.tick(20_900 * MILLI)).isEmpty();
		assertThat(this.lease.tick(26_000 * MILLI)).isNotEmpty();
	}

	// -- holding

	// After a process pause the holder's streams are closed and a successor is active.
	// The former holder must not send an order when it resumes.
	@Test
	void shouldNotSendOrdersWhenPausedPastTerm() {
		LeaseCommand.Write write = acquire(0);
		this.lease.accept(new LeaseEvent.WriteCommitted(write.row().token(), 1), MILLI);
		assertThat(this.lease.maySendOrders(8_999 * MILLI)).isTrue();
		assertThat(this.lease.maySendOrders(9_000 * MILLI)).isFalse();
	}

	// The response to the acquiring write is seconds late. The term must count from
	// before the request, since other processes count from when the write took effect.
	@Test
	void shouldCountTermFromBeforeRequestWhenResponseIsLate() {
		LeaseCommand.Write write = acquire(0);
		this.lease.accept(new LeaseEvent.WriteCommitted(write.row().token(), 1), 2_000 * MILLI);
		assertThat(this.lease.remainingNanos(2_000 * MILLI)).isEqualTo(7_000 * MILLI);
	}

	// The response is lost after the write took effect. The holder recognises its own
	// write by the token of the row, and the term still counts from before the request.
	@Test
	void shouldRecogniseOwnWriteWhenResponseIsLost() {
		LeaseCommand.Write write = acquire(0);
		this.lease.accept(new LeaseEvent.WriteUnknown(write.row().token()), 1_000 * MILLI);
		assertThat(this.lease.maySendOrders(1_000 * MILLI)).isFalse();
		read(1_500 * MILLI, Optional.of(write.row()), 1);
		assertThat(this.lease.remainingNanos(1_500 * MILLI)).isEqualTo(7_500 * MILLI);
	}

	@Test
	void shouldStopAtEndOfTermWhenStoreIsUnavailable() {
		LeaseCommand.Write write = acquire(0);
		this.lease.accept(new LeaseEvent.WriteCommitted(write.row().token(), 1), MILLI);
		for (long now = 2; now < 12_000; now += 100) {
			for (LeaseCommand command : this.lease.tick(now * MILLI)) {
				this.lease.accept(switch (command) {
					case LeaseCommand.Read read -> new LeaseEvent.ReadFailed(read.number());
					case LeaseCommand.Write renewal -> new LeaseEvent.WriteUnknown(renewal.row().token());
				}, now * MILLI);
			}
			assertThat(this.lease.maySendOrders(now * MILLI)).isEqualTo(now < 9_000);
		}
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2 })
	void shouldStopImmediatelyWhenAnotherHolderIsObserved(long fence) {
		LeaseCommand.Write write = acquire(0);
		this.lease.accept(new LeaseEvent.WriteCommitted(write.row().token(), 1), MILLI);
		read(4_000 * MILLI, Optional.of(new LeaseRow("vm-2", fence, 10_000, "x")), 2);
		assertThat(this.lease.maySendOrders(4_000 * MILLI)).isFalse();
	}

	// The response to a read that timed out arrives late, with an outdated row: the
	// process would treat the row as changed, or its own lease as lost.
	@Test
	void shouldIgnoreResponseWhenReadIsNotInFlight() {
		read(0, Optional.of(new LeaseRow("vm-2", 7, 10_000, "x")), 3);
		this.lease.accept(new LeaseEvent.RowRead(1, Optional.empty(), 0), 5_000 * MILLI);
		assertThat(writes(5_001 * MILLI)).isEmpty();
	}

	// A monotonic clock may start at any value. A first read scheduled for time 0 is
	// minutes ahead of a negative clock, and half the value range away from a clock that
	// wraps around: on a VM that has just booted, no process would acquire the lease, so
	// that no VMs would be bought and no orders sent.
	@ParameterizedTest
	@ValueSource(longs = { -600_000 * MILLI, -1, 0, 1, Long.MAX_VALUE - 3 * MILLI, Long.MIN_VALUE })
	void shouldAcquireAndExpireWhereverClockStarts(long start) {
		LeaseCommand.Write write = acquire(start);
		this.lease.accept(new LeaseEvent.WriteCommitted(write.row().token(), 1), start + 5 * MILLI);
		assertThat(this.lease.maySendOrders(start + 8_999 * MILLI)).isTrue();
		assertThat(this.lease.maySendOrders(start + 9_000 * MILLI)).isFalse();
		assertThat(writes(start + 9_000 * MILLI)).hasSize(1);
	}

	// -- release

	@Test
	void shouldReleaseOnceAndSendNoMoreOrders() {
		LeaseCommand.Write write = acquire(0);
		this.lease.accept(new LeaseEvent.WriteCommitted(write.row().token(), 1), MILLI);
		this.lease.release(2 * MILLI);
		assertThat(this.lease.maySendOrders(2 * MILLI)).isFalse();
		LeaseCommand.Write release = writes(2 * MILLI).getFirst();
		assertThat(release.row().isReleased()).isTrue();
		assertThat(release.row().fence()).isEqualTo(1);
		this.lease.accept(new LeaseEvent.WriteCommitted(release.row().token(), 2), 3 * MILLI);
		assertThat(this.lease.isReleased()).isTrue();
		assertThat(writes(20_000 * MILLI)).isEmpty();
	}

	// -- a table service that comes back from a copy

	@Test
	void shouldAcquireWithHigherFenceAtOnceWhenItHeldLeaseBeforeRestore() {
		LeaseCommand.Write write = acquire(0);
		this.lease.accept(new LeaseEvent.WriteCommitted(write.row().token(), 1), MILLI);
		this.lease.continueInGeneration(1, 2_000 * MILLI);
		assertThat(this.lease.maySendOrders(2_000 * MILLI)).isFalse();
		LeaseCommand.Write again = acquire(2_000 * MILLI);
		assertThat(again.row().fence()).isEqualTo((1L << 32) + 1);
		this.lease.accept(new LeaseEvent.WriteCommitted(again.row().token(), 1), 2_010 * MILLI);
		assertThat(this.lease.maySendOrders(2_010 * MILLI)).isTrue();
		assertThat(this.lease.tenure()).isEqualTo(1);
	}

	@Test
	void shouldAcquireImmediatelyWhenSystemStartsForFirstTime() {
		this.lease.beginInGeneration(1);
		assertThat(acquire(0).row().fence()).isEqualTo((1L << 32) + 1);
	}

	// Guards against a successor that takes the missing row for a free lease while the
	// holder has not learned of the restore.
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void shouldWaitForTermWhenRowIsMissingAfterRestore(boolean heldBefore) {
		if (heldBefore) {
			LeaseCommand.Write write = acquire(0);
			this.lease.accept(new LeaseEvent.WriteCommitted(write.row().token(), 1), MILLI);
		}
		long restored = 9_500 * MILLI;
		this.lease.continueInGeneration(1, restored);
		read(restored, Optional.empty(), 0);
		assertThat(writes(restored + 9_999 * MILLI)).isEmpty();
		assertThat(writes(restored + 10_000 * MILLI)).hasSize(1);
	}

	@Test
	void shouldAcquireImmediatelyWhenHolderOfThisGenerationReleased() {
		this.lease.continueInGeneration(1, 0);
		read(0, Optional.of(new LeaseRow("", (1L << 32) + 4, 10_000, "x")), 3);
		assertThat(writes(1).getFirst().row().fence()).isEqualTo((1L << 32) + 5);
	}

	@Test
	void shouldBeginNewTenureWhenAnotherHeldLeaseAfterRestore() {
		LeaseCommand.Write write = acquire(0);
		this.lease.accept(new LeaseEvent.WriteCommitted(write.row().token(), 1), MILLI);
		this.lease.continueInGeneration(1, 2_000 * MILLI);
		read(2_000 * MILLI, Optional.of(new LeaseRow("vm-2", (1L << 32) + 1, 10_000, "x")), 3);
		List<LeaseCommand.Write> writes = writes(12_000 * MILLI);
		this.lease.accept(new LeaseEvent.WriteCommitted(writes.getFirst().row().token(), 4), 12_001 * MILLI);
		assertThat(this.lease.maySendOrders(12_001 * MILLI)).isTrue();
		assertThat(this.lease.tenure()).isEqualTo(2);
	}

	// Guards against a holder whose VM was suspended while it resumed the lease: it
	// cannot
	// know who held it meanwhile.
	@Test
	void shouldBeginNewTenureWhenHolderGaveUpAfterRestore() {
		LeaseCommand.Write write = acquire(0);
		this.lease.accept(new LeaseEvent.WriteCommitted(write.row().token(), 1), MILLI);
		this.lease.continueInGeneration(1, 2_000 * MILLI);
		this.lease.observeFence(this.lease.fence() + 1);
		LeaseCommand.Write again = acquire(2_000 * MILLI);
		this.lease.accept(new LeaseEvent.WriteCommitted(again.row().token(), 1), 2_010 * MILLI);
		assertThat(this.lease.tenure()).isEqualTo(2);
	}

	@Test
	void shouldIgnoreResponsesFromBeforeRestore() {
		LeaseCommand.Write write = acquire(0);
		this.lease.continueInGeneration(1, MILLI);
		this.lease.accept(new LeaseEvent.WriteCommitted(write.row().token(), 1), 2 * MILLI);
		assertThat(this.lease.maySendOrders(2 * MILLI)).isFalse();
	}

	// -- helpers

	private LeaseCommand.Write acquire(long now) {
		read(now, Optional.empty(), 0);
		return writes(now).getFirst();
	}

	private void read(long now, Optional<LeaseRow> row, long version) {
		LeaseCommand.Read read = (LeaseCommand.Read) this.lease.tick(now)
			.stream()
			.filter(LeaseCommand.Read.class::isInstance)
			.findFirst()
			.orElseThrow();
		this.lease.accept(new LeaseEvent.RowRead(read.number(), row, version), now);
	}

	private List<LeaseCommand.Write> writes(long now) {
		return this.lease.tick(now)
			.stream()
			.filter(LeaseCommand.Write.class::isInstance)
			.map(LeaseCommand.Write.class::cast)
			.toList();
	}

}
