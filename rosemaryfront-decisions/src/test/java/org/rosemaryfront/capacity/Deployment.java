package org.rosemaryfront.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.rosemaryfront.capacity.CloudVm.State;
import org.rosemaryfront.capacity.FakeCloud.Machine;
import org.rosemaryfront.lease.LeaseTiming;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.Resource;

/** Three controllers before a cloud with three availability zones and one pool. */
final class Deployment {

	static final List<String> ZONES = List.of("a", "b", "c");

	static final int MINIMUM = 6;

	static final int MAXIMUM = 9;

	/** One VM more than the maximum while a dearer or badly placed one is exchanged. */
	static final int SURGE = 1;

	static final CapacitySettings SETTINGS = new CapacitySettings(16, 4, 2_000, 20_000, 20_000, 5_000, 30_000, 10_000,
			3_000, 500, 10, 0.25, 0.75);

	private static final LeaseTiming TERMS = LeaseTiming.of(Duration.ofSeconds(10), Duration.ofSeconds(1));

	final VirtualWorld world;

	final FakeTables tables = new FakeTables();

	final FakeCloud cloud;

	final List<SimulatedController> controllers = new ArrayList<>();

	private Configuration configuration = Configuration.empty();

	private final List<org.rosemaryfront.model.VmId> leaving = new ArrayList<>();

	private int started;

	Deployment(long seed, boolean fencingChecked) {
		this.world = new VirtualWorld(seed);
		this.cloud = new FakeCloud(this.world, this.tables, fencingChecked);
		this.cloud.holders = this::holders;
		this.cloud.announced = (vm) -> {
			this.leaving.add(vm);
			this.controllers.forEach((controller) -> controller.leavingLearned(vm));
		};
		int cents = 100;
		for (String zone : ZONES) {
			this.cloud.prices.put(new OfferKey(zone, "gpu", Market.RECLAIMABLE), cents / 100.0);
			this.cloud.prices.put(new OfferKey(zone, "gpu", Market.ON_DEMAND), 3 * cents / 100.0);
			cents++;
		}
		declare("1");
		for (int i = 0; i < 3; i++) {
			startController();
		}
		this.world.after(0, this::watch);
	}

	void startController() {
		this.started++;
		SimulatedController controller = new SimulatedController("entry-" + this.started, this.cloud, TERMS, SETTINGS,
				this.world.random.nextLong());
		controller.configuration(this.configuration);
		this.leaving.forEach(controller::leavingLearned);
		this.controllers.add(controller);
	}

	void crash(SimulatedController controller) {
		controller.crashed = true;
		this.controllers.remove(controller);
		startController();
	}

	void declare(String modelVersion) {
		Resource.Pool pool = new Resource.Pool("assistant", Resource.Serves.MODELS, List.of("m"), ZONES, List.of("gpu"),
				MINIMUM, MAXIMUM, this.cloud.fencingChecked ? Resource.Fencing.CHECKED : Resource.Fencing.IGNORED, 8, 0,
				0, List.of());
		this.configuration = this.configuration.with(this.configuration.revision() + 1,
				List.of(pool, new Resource.Model("m", modelVersion, 800)), List.of());
		this.controllers.forEach((controller) -> controller.configuration(this.configuration));
	}

	List<SimulatedController> holders() {
		return this.controllers.stream().filter(SimulatedController::mayOrder).toList();
	}

	// Runs until the declared state is reached, at most the given time.
	boolean settles(long millis) {
		for (long passed = 0; passed < millis; passed += 500) {
			this.world.run(500 * VirtualWorld.MILLI);
			if (isAsDeclared()) {
				return true;
			}
		}
		return false;
	}

	boolean isAsDeclared() {
		List<Machine> live = this.cloud.live();
		String model = "m@" + this.configuration.find(Resource.Model.class, "m").orElseThrow().version();
		return live.size() == MAXIMUM && this.tables.scan("intents/").isEmpty()
				&& live.stream()
					.allMatch((machine) -> machine.drainedAt == 0 && machine.state == State.RUNNING
							&& machine.report().models().equals(List.of(model)));
	}

	private void watch() {
		this.world.after(50 * VirtualWorld.MILLI, this::watch);
		this.world.check(holders().size() <= 1, "two holders may order");
		long counted = this.cloud.live().stream().filter((machine) -> machine.drainedAt == 0).count();
		this.world.check(counted <= MAXIMUM + SURGE, counted + " VMs, maximum is " + MAXIMUM);
	}

}
