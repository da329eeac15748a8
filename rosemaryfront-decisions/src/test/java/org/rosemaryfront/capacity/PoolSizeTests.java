package org.rosemaryfront.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.Resource;
import org.rosemaryfront.model.VmId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the target of a pool with eight slots per server, of which six may be busy.
 */
class PoolSizeTests {

	private static final long MILLI = 1_000_000;

	private static final long SECOND = 1_000 * MILLI;

	private static final OfferKey OFFER_KEY = new OfferKey("a", "gpu", Market.RECLAIMABLE);

	private static final int VM_COUNT = 2;

	private static final int MAXIMUM = 40;

	private final CapacityDecisions decisions = CapacityDecisions.of(CapacitySettings.defaults(), 1);

	private long now = 1_000 * SECOND;

	private int running;

	private int queued;

	@BeforeEach
	void declare() {
		Resource.Pool pool = new Resource.Pool("assistant", Resource.Serves.MODELS, List.of("m"), List.of("a"),
				List.of("gpu"), VM_COUNT, MAXIMUM, Resource.Fencing.CHECKED, 8, 0, 0, List.of());
		accept(new CapacityEvent.ConfigurationApplied(
				Configuration.empty().with(1, List.of(pool, new Resource.Model("m", "1", 800)), List.of())));
		accept(new CapacityEvent.LeaseTaken(1));
		run(10);
	}

	// Guards against a pool that does not grow while callers wait in the engines' queues:
	// every slot is busy, so the number of running streams cannot rise, and only the
	// queue shows the shortage.
	@Test
	void shouldGrowWhenStreamsQueueThroughoutWindow() {
		this.running = 12;
		this.queued = 30;
		run(29);
		assertThat(target()).isEqualTo(VM_COUNT);
		run(32);
		assertThat(target()).isEqualTo(7);
	}

	// Guards against buying VMs for bursts: streams that are queued for some seconds end
	// long before a VM has booted for them.
	@Test
	void shouldKeepSizeWhenStreamsQueueInBursts() {
		this.running = 12;
		for (int i = 0; i < 20; i++) {
			this.queued = 30;
			run(15);
			this.queued = 0;
			run(15);
		}
		assertThat(target()).isEqualTo(VM_COUNT);
	}

	// Guards against releasing VMs during a lull and buying them again minutes later,
	// each time at the cost of a boot and a load of weights.
	@Test
	void shouldShrinkSlowlyWhenDemandFalls() {
		this.running = 120;
		run(10);
		assertThat(target()).isEqualTo(20);
		this.running = 12;
		run(299);
		assertThat(target()).isEqualTo(20);
		List<Integer> targets = new ArrayList<>();
		for (int minute = 0; minute < 4; minute++) {
			run(60);
			targets.add(target());
		}
		assertThat(targets).containsExactly(18, 17, 16, 15);
		run(3_600);
		assertThat(target()).isEqualTo(VM_COUNT);
	}

	// Guards against a pool that is too small when a new peak arrives while it shrinks.
	@Test
	void shouldGrowImmediatelyWhenDemandReturnsWhileShrinking() {
		this.running = 120;
		run(10);
		this.running = 12;
		run(400);
		this.running = 120;
		run(10);
		assertThat(target()).isEqualTo(20);
		this.running = 12;
		run(290);
		assertThat(target()).isEqualTo(20);
	}

	private int target() {
		return this.decisions.status().pools().getFirst().target();
	}

	// Advances the time; all streams are on the first VM.
	private void run(long seconds) {
		for (long i = 0; i < 4 * seconds; i++) {
			this.now += SECOND / 4;
			this.decisions.tick(this.now).forEach(this::respond);
		}
	}

	private void respond(CapacityCommand command) {
		switch (command) {
			case CapacityCommand.Read read -> accept(switch (read.source()) {
				case INTENTS -> new CapacityEvent.IntentsRead(List.of());
				case OFFERS -> new CapacityEvent.OffersRead(List.of(new Offer(OFFER_KEY, 1, 0)));
				case NOTICES -> new CapacityEvent.NoticesRead(0, Map.of());
				case VMS -> new CapacityEvent.VmsRead(this.now, List.of(vm("vm-1"), vm("vm-2")));
			});
			case CapacityCommand.ReadState read -> reportState(read.vm());
			case CapacityCommand.Order order -> reportState(order.vm());
			case CapacityCommand.WriteIntent write -> accept(new CapacityEvent.IntentFailed(write.intent().token()));
			default -> {
			}
		}
	}

	private void reportState(VmId vm) {
		boolean first = vm.value().equals("vm-1");
		accept(new CapacityEvent.StateRead(vm, this.now, new ServerState(1, List.of("m@1"), List.of(), List.of(), false,
				first ? this.running : 0, first ? this.queued : 0, Map.of())));
	}

	private static CloudVm vm(String id) {
		return new CloudVm(new VmId(id), "f0-" + id, "assistant", OFFER_KEY, CloudVm.State.RUNNING, id + ":1");
	}

	private void accept(CapacityEvent event) {
		this.decisions.accept(event, this.now);
	}

}
