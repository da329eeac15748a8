package org.rosemaryfront.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.rosemaryfront.capacity.CloudVm.State;
import org.rosemaryfront.capacity.FakeCloud.Machine;
import org.rosemaryfront.lease.LeaseTiming;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.Resource;

/** Three simulated controllers that manage one pool in three availability zones. */
final class Deployment {

	static final List<String> ZONES = List.of("a", "b", "c");

	static final int MINIMUM = 6;

	static final int MAXIMUM = 9;

	/**
	 * The VMs above the maximum while a more expensive or badly placed one is replaced.
	 */
	static final int MAX_SURGE = 1;

	static final CapacitySettings SETTINGS = new CapacitySettings(16, 4, 2_000, 20_000, 20_000, 5_000, 30_000, 10_000,
			3_000, 500, 10, 0.25, 0.75);

	private static final LeaseTiming TERMS = LeaseTiming.of(Duration.ofSeconds(10), Duration.ofSeconds(1));

	final Simulation simulation;

	final FakeTables tables = new FakeTables();

	final FakeCloud cloud;

	final List<SimulatedController> controllers = new ArrayList<>();

	private Configuration configuration = Configuration.empty();

	private final List<org.rosemaryfront.model.VmId> leavingVms = new ArrayList<>();

	private int startedControllers;

	Deployment(long seed, boolean fencingChecked) {
		this.simulation = new Simulation(seed);
		this.cloud = new FakeCloud(this.simulation, this.tables, fencingChecked);
		this.cloud.leaseHolders = this::leaseHolders;
		this.cloud.leavingListener = (vm) -> {
			this.leavingVms.add(vm);
			this.controllers.forEach((controller) -> controller.reportLeaving(vm));
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
		this.simulation.after(0, this::checkInvariants);
	}

	void startController() {
		this.startedControllers++;
		SimulatedController controller = new SimulatedController("entry-" + this.startedControllers, this.cloud, TERMS,
				SETTINGS, this.simulation.random.nextLong());
		controller.applyConfiguration(this.configuration);
		this.leavingVms.forEach(controller::reportLeaving);
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
		this.controllers.forEach((controller) -> controller.applyConfiguration(this.configuration));
	}

	List<SimulatedController> leaseHolders() {
		return this.controllers.stream().filter(SimulatedController::mayOrder).toList();
	}

	// Runs until the declared state is reached, for at most the given time, and returns
	// whether it was reached.
	boolean converges(long millis) {
		for (long elapsed = 0; elapsed < millis; elapsed += 500) {
			this.simulation.run(500 * Simulation.MILLI);
			if (hasConverged()) {
				return true;
			}
		}
		return false;
	}

	boolean hasConverged() {
		List<Machine> live = this.cloud.live();
		String model = "m@" + this.configuration.find(Resource.Model.class, "m").orElseThrow().version();
		return live.size() == MAXIMUM && this.tables.scan("intents/").isEmpty()
				&& live.stream()
					.allMatch((machine) -> machine.drainStartNanos == 0 && machine.state == State.RUNNING
							&& machine.report().models().equals(List.of(model)));
	}

	private void checkInvariants() {
		this.simulation.after(50 * Simulation.MILLI, this::checkInvariants);
		this.simulation.check(leaseHolders().size() <= 1, "two processes may send orders under the lease");
		long activeVms = this.cloud.live().stream().filter((machine) -> machine.drainStartNanos == 0).count();
		this.simulation.check(activeVms <= MAXIMUM + MAX_SURGE, activeVms + " VMs, maximum is " + MAXIMUM);
	}

}
