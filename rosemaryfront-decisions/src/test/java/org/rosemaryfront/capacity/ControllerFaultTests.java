package org.rosemaryfront.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rosemaryfront.capacity.CloudVm.State;
import org.rosemaryfront.capacity.FakeCloud.Machine;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests of faults at every step of the controller, on virtual time. */
class ControllerFaultTests {

	private static final long MAX_CONVERGENCE_MILLIS = 300_000;

	private static final long SECOND = 1_000 * Simulation.MILLI;

	private static final List<String> STEPS = List.of("Write", "Read", "WriteIntent", "Buy", "DeleteIntent", "Order",
			"ReadState", "AnnounceLeaving", "Release");

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void shouldReachDeclaredStateWhenNothingFails(boolean fencingChecked) {
		Deployment deployment = new Deployment(1, fencingChecked);
		assertThat(deployment.converges(MAX_CONVERGENCE_MILLIS)).isTrue();
		assertThat(deployment.cloud.purchases).isEqualTo(Deployment.MAXIMUM);
		assertThat(deployment.simulation.violations).isEmpty();
	}

	// Guards against VMs that are bought twice, left over or half loaded after one fault.
	// The fault occurs when the lease holder reaches the step; another process, or the
	// same one after its pause, must continue from the state of the table service and the
	// cloud.
	@ParameterizedTest(name = "{0} at {1}, fencing checked: {2}")
	@MethodSource("faultsAtSteps")
	void shouldReachDeclaredStateWhenFaultOccursAtStep(Fault fault, String step, boolean fencingChecked) {
		Deployment deployment = new Deployment(7, fencingChecked);
		List<String> injected = new ArrayList<>();
		Runnable injector = () -> deployment.controllers
			.forEach((controller) -> controller.beforeCommand = inject(fault, step, deployment, controller, injected));
		injector.run();
		deployment.simulation.run(20 * SECOND);
		deployment.cloud.refusingZones.add("a");
		deployment.cloud.live()
			.stream()
			.filter((machine) -> machine.intent.sort().zone().equals("a"))
			.forEach(deployment.cloud::reclaim);
		deployment.simulation.run(20 * SECOND);
		deployment.cloud.refusingZones.clear();
		deployment.simulation.run(60 * SECOND);
		assertThat(deployment.converges(MAX_CONVERGENCE_MILLIS)).as("declared state").isTrue();
		assertThat(injected).as("fault").hasSize(1);
		assertThat(deployment.simulation.violations).isEmpty();
	}

	static Stream<Arguments> faultsAtSteps() {
		return STEPS.stream()
			.flatMap((step) -> Stream.of(Fault.values())
				.flatMap((fault) -> Stream.of(true, false).map((checked) -> Arguments.of(fault, step, checked))));
	}

	private static Consumer<String> inject(Fault fault, String step, Deployment deployment,
			SimulatedController controller, List<String> injected) {
		return (command) -> {
			if (!injected.isEmpty() || !command.equals(step) || (!step.equals("Write") && !controller.mayOrder())) {
				return;
			}
			injected.add(command);
			Simulation simulation = deployment.simulation;
			switch (fault) {
				case CRASH -> deployment.crash(controller);
				case PAUSE -> controller.pause(25 * SECOND);
				case TABLE_SERVICE_OUTAGE -> {
					deployment.tables.unavailable = true;
					simulation.after(25 * SECOND, () -> deployment.tables.unavailable = false);
				}
				case LOST_RESPONSES -> {
					simulation.responseLossRate = 0.7;
					simulation.after(5 * SECOND, () -> simulation.responseLossRate = 0);
				}
				case CRASH_AFTER -> simulation.after(30 * Simulation.MILLI, () -> {
					if (!controller.crashed) {
						deployment.crash(controller);
					}
				});
			}
		};
	}

	// Guards against an order in transit from the previous lease holder that undoes an
	// order of the new holder. Engines that ignore the fencing number accept it while it
	// is valid, so the new holder must wait for the validity period before its first
	// order.
	@Test
	void shouldWaitUntilOrdersExpireWhenEnginesIgnoreFencing() {
		Deployment deployment = new Deployment(9, false);
		assertThat(deployment.converges(MAX_CONVERGENCE_MILLIS)).isTrue();
		deployment.crash(deployment.leaseHolders().getFirst());
		List<Long> orderTimes = new ArrayList<>();
		deployment.controllers.forEach((controller) -> controller.beforeCommand = (command) -> {
			if (command.equals("Order")) {
				orderTimes.add(deployment.simulation.now);
			}
		});
		while (deployment.leaseHolders().isEmpty()) {
			deployment.simulation.run(10 * Simulation.MILLI);
		}
		long takenNanos = deployment.simulation.now;
		deployment.simulation.run(60 * SECOND);
		assertThat(orderTimes).isNotEmpty();
		assertThat(orderTimes.getFirst() - takenNanos)
			.isGreaterThanOrEqualTo((Deployment.SETTINGS.orderValidityMillis() - 20) * Simulation.MILLI);
	}

	// Guards against repeated start requests to a cloud without capacity, which cause VMs
	// with streams to be bought and released in turn and raise the bill. All offers are
	// refused; each refusal doubles the back-off of its offer, and only one purchase at a
	// time probes an offer.
	@Test
	void shouldBackOffWhenAllStartsAreRefused() {
		Deployment deployment = new Deployment(3, false);
		deployment.cloud.refusingZones.addAll(Deployment.ZONES);
		deployment.simulation.run(120 * SECOND);
		int offers = deployment.cloud.prices.size();
		// The back-off doubles from at least half of 2 s up to at least 10 s: at most 20
		// probes of an offer in 120 s, and one burst of the purchases planned before the
		// first refusal.
		assertThat(deployment.cloud.refusals)
			.isLessThanOrEqualTo(Deployment.SETTINGS.startsAtOnce() + Deployment.MAXIMUM + offers * 20);
		deployment.cloud.refusingZones.clear();
		assertThat(deployment.converges(MAX_CONVERGENCE_MILLIS)).isTrue();
		assertThat(deployment.simulation.violations).isEmpty();
	}

	// Guards against permanently higher cost after a shortage: on-demand VMs were bought
	// while reclaimable ones were refused and are not replaced afterwards.
	@Test
	void shouldReplaceOnDemandVmsWhenReclaimableOffersReturn() {
		Deployment deployment = new Deployment(4, true);
		for (OfferKey key : deployment.cloud.prices.keySet()) {
			if (key.market() == Market.RECLAIMABLE) {
				deployment.cloud.refusedOffers.add(key);
			}
		}
		assertThat(deployment.converges(MAX_CONVERGENCE_MILLIS)).isTrue();
		assertThat(markets(deployment)).containsOnly(Market.ON_DEMAND);
		deployment.cloud.refusedOffers.clear();
		deployment.simulation.run(600 * SECOND);
		assertThat(markets(deployment)).containsOnly(Market.RECLAIMABLE);
		assertThat(deployment.converges(MAX_CONVERGENCE_MILLIS)).isTrue();
		assertThat(deployment.simulation.violations).isEmpty();
	}

	private static List<Market> markets(Deployment deployment) {
		return deployment.cloud.live().stream().map((machine) -> machine.intent.sort().market()).toList();
	}

	// Guards against an outage during an upgrade in which every engine drops its old
	// version first and then loads for seconds. The new version must be loaded before the
	// old one is dropped, in one zone at a time.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void shouldKeepServingWhenModelVersionChanges(boolean fencingChecked) {
		Deployment deployment = new Deployment(5, fencingChecked);
		assertThat(deployment.converges(MAX_CONVERGENCE_MILLIS)).isTrue();
		deployment.declare("2");
		while (!deployment.hasConverged()) {
			deployment.simulation.run(100 * Simulation.MILLI);
			List<Machine> live = deployment.cloud.live();
			assertThat(live).allMatch((machine) -> !machine.report().models().isEmpty());
			assertThat(live.stream()
				.filter((machine) -> !machine.loadingUntil.isEmpty())
				.map((machine) -> machine.intent.sort().zone())
				.distinct()).hasSizeLessThanOrEqualTo(1);
			assertThat(deployment.simulation.violations).isEmpty();
		}
	}

	// Guards against streams that are interrupted by an upgrade: the order that drops the
	// old version ends what still runs on it. The old version must be kept until its
	// streams have ended, also by a process that takes the lease in the meantime.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void shouldKeepOldVersionWhenStreamsRunOnIt(boolean holderCrashes) {
		Deployment deployment = new Deployment(10, true);
		assertThat(deployment.converges(MAX_CONVERGENCE_MILLIS)).isTrue();
		deployment.cloud.live().forEach((machine) -> machine.streams.put("m@1", 2));
		deployment.declare("2");
		deployment.simulation.run(4 * SECOND);
		if (holderCrashes) {
			deployment.crash(deployment.leaseHolders().getFirst());
		}
		deployment.simulation.run(15 * SECOND);
		deployment.cloud.live().forEach((machine) -> machine.streams.put("m@2", 1));
		assertThat(deployment.cloud.live()).allMatch((machine) -> machine.interruptedStreams == 0)
			.anyMatch((machine) -> machine.report().models().equals(List.of("m@1", "m@2")))
			.allMatch((machine) -> machine.report().models().contains("m@1"));
		deployment.cloud.live().forEach((machine) -> machine.streams.remove("m@1"));
		assertThat(deployment.converges(MAX_CONVERGENCE_MILLIS)).isTrue();
		assertThat(deployment.cloud.live()).allMatch((machine) -> machine.interruptedStreams == 0);
		assertThat(deployment.simulation.violations).isEmpty();
	}

	// Guards against an upgrade that never ends: an abandoned stream keeps the old
	// version in use, or the engine does not report on which version its streams run and
	// new ones keep arriving.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void shouldDropOldVersionWhenDrainLimitPasses(boolean engineReportsVersions) {
		Deployment deployment = new Deployment(11, true);
		assertThat(deployment.converges(MAX_CONVERGENCE_MILLIS)).isTrue();
		deployment.cloud.live().forEach((machine) -> {
			if (engineReportsVersions) {
				machine.streams.put("m@1", 1);
			}
			else {
				machine.running = 1;
			}
		});
		deployment.declare("2");
		deployment.simulation.run(Deployment.SETTINGS.drainMillis() * Simulation.MILLI);
		assertThat(deployment.hasConverged()).isFalse();
		assertThat(deployment.cloud.live()).allMatch((machine) -> machine.report().models().contains("m@1"));
		assertThat(deployment.converges(MAX_CONVERGENCE_MILLIS)).isTrue();
	}

	// Guards against streams that are interrupted when a surplus VM is released. The VM
	// must be drained and kept until its streams end or the drain limit passes.
	@Test
	void shouldKeepDrainedVmWhenStreamsRun() {
		Deployment deployment = new Deployment(6, true);
		OfferKey expensive = new OfferKey("a", "gpu", Market.RECLAIMABLE);
		deployment.cloud.refusedOffers.add(expensive);
		assertThat(deployment.converges(MAX_CONVERGENCE_MILLIS)).isTrue();
		deployment.cloud.live().forEach((machine) -> machine.running = 2);
		deployment.cloud.refusedOffers.clear();
		deployment.simulation.run(60 * SECOND);
		assertThat(deployment.cloud.machines.values()).anyMatch((machine) -> machine.draining);
		deployment.cloud.live().forEach((machine) -> machine.running = 0);
		assertThat(deployment.converges(MAX_CONVERGENCE_MILLIS)).isTrue();
		assertThat(deployment.simulation.violations).isEmpty();
	}

	// Guards against a dead engine whose VM keeps running and is never replaced, so that
	// callers keep receiving errors. When the controller itself is disconnected, all
	// engines appear dead; it must not release those that still serve.
	@Test
	void shouldReplaceUnresponsiveEngineWhenMostOthersRespond() {
		Deployment deployment = new Deployment(8, false);
		assertThat(deployment.converges(MAX_CONVERGENCE_MILLIS)).isTrue();
		Machine unresponsive = deployment.cloud.live().getFirst();
		unresponsive.unresponsive = true;
		deployment.simulation.run(120 * SECOND);
		assertThat(unresponsive.state).isEqualTo(State.GONE);
		assertThat(deployment.converges(MAX_CONVERGENCE_MILLIS)).isTrue();
		List<Machine> live = deployment.cloud.live();
		live.forEach((machine) -> machine.unresponsive = true);
		deployment.simulation.run(120 * SECOND);
		assertThat(live).allMatch((machine) -> machine.state == State.RUNNING && !machine.draining);
		assertThat(deployment.simulation.violations).isEmpty();
	}

	/** A fault that is injected at a step. */
	enum Fault {

		/** The process crashes immediately before the command is sent. */
		CRASH,

		/** The process crashes while the command or its response is in transit. */
		CRASH_AFTER,

		/**
		 * The process is paused immediately before the command is sent, for longer than
		 * its lease.
		 */
		PAUSE,

		/** The table service is unavailable for longer than the lease term. */
		TABLE_SERVICE_OUTAGE,

		/** Most responses are lost for some seconds. */
		LOST_RESPONSES

	}

}
