package org.rosemaryfront.controller;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import org.rosemaryfront.capacity.CapacityCommand;
import org.rosemaryfront.capacity.CapacityEvent;
import org.rosemaryfront.events.Invariants;
import org.rosemaryfront.lease.LeaseCommand;
import org.rosemaryfront.lease.LeaseStateMachine;
import org.rosemaryfront.lease.LeaseTiming;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.platform.CloudClient;
import org.rosemaryfront.standin.platform.Fault;
import org.rosemaryfront.standin.platform.InMemoryPlatform;

import static org.assertj.core.api.Assertions.assertThat;

class CapacityExecutorTests {

	private static final Duration TERM = Duration.ofMinutes(10);

	private static final LeaseTiming TERMS = LeaseTiming.of(TERM, Duration.ofSeconds(1));

	private static final VmId VM = new VmId("vm-1");

	private static final CapacityCommand.Order ORDER = new CapacityCommand.Order(VM, "machine:0", List.of("m@1"),
			List.of(), false, "load-first");

	private final InMemoryPlatform platform = Fixtures.platform();

	private final InProcessEngines engines = InProcessEngines.of(true);

	private final List<CapacityEvent> answers = new CopyOnWriteArrayList<>();

	private final List<Long> overtaken = new CopyOnWriteArrayList<>();

	// Streams break although a successor holds the lease: the control thread decided an
	// order, was paused past the end of its term, and goes on with what it had decided
	// before it reads anything. Only the clock, read right before the order, shows it.
	@ParameterizedTest
	@MethodSource("changes")
	void shouldSendNothingWhenLeaseLapsedInPause(CapacityCommand command) {
		long broken = Invariants.broken();
		CloudClient.Vm held = this.platform.buy(WireTypes.purchase(Fixtures.intent("f0-1"))).block();
		assertThat(held.id()).isEqualTo(VM);
		CapacityExecutor executor = executor(System.nanoTime() - TERM.toNanos());
		executor.execute(command);
		assertThat(this.engines.orders()).isEmpty();
		assertThat(this.platform.vms().block()).containsExactly(held);
		assertThat(IntentTable.of(this.platform).all().block()).isEmpty();
		assertThat(this.platform.stats().rowsWritten()).as("rows beside the lease's two").isEqualTo(2);
		assertThat(this.answers).as("answered as failed").hasSize(1);
		assertThat(Invariants.broken()).isEqualTo(broken);
	}

	static Stream<CapacityCommand> changes() {
		return Stream.of(ORDER, new CapacityCommand.Buy(Fixtures.intent("f1-1")),
				new CapacityCommand.WriteIntent(Fixtures.intent("f1-1"), "zone-below-share"),
				new CapacityCommand.DeleteIntent("f1-1", "bought"), new CapacityCommand.Release(VM, "surplus"));
	}

	@Test
	void shouldSendOrderWithFenceAndRestOfTermWhenLeaseHolds() {
		executor(System.nanoTime()).execute(ORDER);
		assertThat(this.engines.orders()).singleElement().satisfies((sent) -> {
			assertThat(sent.order().fence()).isEqualTo(1);
			assertThat(sent.order().validMillis()).isBetween(1L,
					Fixtures.settings("entry-1").capacity().orderValidityMillis());
		});
		assertThat(this.answers).singleElement().isInstanceOf(CapacityEvent.StateRead.class);
	}

	// A pool stays short of a VM: the answer of the intent's write, or of the purchase,
	// was lost. The repeat under the same token must succeed and buy nothing twice.
	@Test
	void shouldBuyOnceWhenAnswersAreLost() {
		CapacityExecutor executor = executor(System.nanoTime());
		CapacityCommand write = new CapacityCommand.WriteIntent(Fixtures.intent("f1-1"), "zone-below-share");
		CapacityCommand buy = new CapacityCommand.Buy(Fixtures.intent("f1-1"));
		this.platform.begin(Fault.of(Fault.Kind.LOST_ANSWER, Fault.FOR_GOOD).on(Fault.Service.ALL));
		executor.execute(write);
		executor.execute(buy);
		this.platform.clearFaults();
		executor.execute(write);
		executor.execute(buy);
		assertThat(this.answers.subList(0, 3)).containsExactly(new CapacityEvent.IntentFailed("f1-1"),
				new CapacityEvent.BuyOutcomeUnknown("f1-1"), new CapacityEvent.IntentWritten("f1-1"));
		assertThat(this.answers.get(3)).isInstanceOf(CapacityEvent.Bought.class);
		assertThat(this.platform.vms().block()).extracting(CloudClient.Vm::clientToken).containsExactly("f1-1");
		assertThat(executor.changesUnderWay()).isZero();
	}

	@Test
	void shouldReportOvertakenWhenEngineShowsHigherFence() {
		CapacityExecutor executor = executor(System.nanoTime());
		this.engines.deliver("machine:0",
				new org.rosemaryfront.engine.EngineClient.EngineOrder(7, 1_000, List.of(), List.of(), WireTypes.SERVE));
		executor.execute(new CapacityCommand.ReadState(VM, "machine:0"));
		assertThat(this.overtaken).containsExactly(7L);
		executor.execute(ORDER);
		assertThat(this.answers.getLast()).isEqualTo(new CapacityEvent.StateUnknown(VM));
		assertThat(this.engines.models("machine:0")).isEmpty();
	}

	// An executor whose lease was written at a time and not looked at since.
	private CapacityExecutor executor(long leaseNanos) {
		LeaseStateMachine lease = LeaseStateMachine.of("entry-1", TERMS, 1);
		LeaseTable table = LeaseTable.of(this.platform);
		for (int i = 0; i < 2; i++) {
			List<LeaseCommand> commands = new ArrayList<>(lease.tick(leaseNanos));
			commands.forEach((command) -> lease.accept(table.execute(command).block(), leaseNanos));
		}
		assertThat(lease.maySendOrders(leaseNanos)).isTrue();
		CapacityExecutor executor = new CapacityExecutor(
				Fixtures.parts("entry-1", this.platform, this.platform, this.engines), lease, new DecisionLog(),
				this.answers::add, this.overtaken::add);
		executor.fenceVersion(table.fenceVersion(1).block().orElseThrow());
		return executor;
	}

}
