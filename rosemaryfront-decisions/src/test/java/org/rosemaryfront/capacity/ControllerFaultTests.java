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

/** The controller's faults at every step, on virtual time. */
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

	// An operator sees VMs bought twice, left over or half loaded after one fault. The
	// holder reaches a step, the fault strikes right there, and another process, or the
	// same one after its pause, must go on from what the table service and the cloud
	// show.
	@ParameterizedTest(name = "{0} at {1}, fencing checked: {2}")
	@MethodSource("faultsAtSteps")
	void shouldReachDeclaredStateWhenFaultOccursAtStep(Fault fault, String step, boolean fencingChecked) {
		Deployment deployment = new Deployment(7, fencingChecked);
		List<String> injected = new ArrayList<>();
		Runnable injector = () -> deployment.controllers.forEach((
				controller) -> controller.beforeCommand = faultInjector(fault, step, deployment, controller, injected));
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

	private static Consumer<String> faultInjector(Fault fault, String step, Deployment deployment,
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

	// Engines that ignore the fencing number still take an order of the holder before:
	// the new holder's order would be undone by one that is under way. It must wait out
	// the longest validity before its first order.
	@Test
	void shouldWaitUntilOrdersExpireWhenEnginesIgnoreFencing() {
		Deployment deployment = new Deployment(9, false);
		assertThat(deployment.converges(MAX_CONVERGENCE_MILLIS)).isTrue();
		deployment.crash(deployment.leaseHolders().getFirst());
		List<Long> orderNanos = new ArrayList<>();
		deployment.controllers.forEach((controller) -> controller.beforeCommand = (command) -> {
			if (command.equals("Order")) {
				orderNanos.add(deployment.simulation.now);
			}
		});
		while (deployment.leaseHolders().isEmpty()) {
			deployment.simulation.run(10 * Simulation.MILLI);
		}
		long takenNanos = deployment.simulation.now;
		deployment.simulation.run(60 * SECOND);
		assertThat(orderNanos).isNotEmpty();
		assertThat(orderNanos.getFirst() - takenNanos)
			.isGreaterThanOrEqualTo((Deployment.SETTINGS.orderValidityMillis() - 20) * Simulation.MILLI);
	}

	// A caller's streams run on VMs that are bought and given back in turn, and the
	// bill grows: a cloud without VMs is asked again and again. All offers refuse; each
	// refusal doubles the pause of its offer, and only one purchase at a time probes an
	// offer.
	@Test
	void shouldBackOffWhenAllStartsAreRefused() {
		Deployment deployment = new Deployment(3, false);
		deployment.cloud.refusingZones.addAll(Deployment.ZONES);
		deployment.simulation.run(120 * SECOND);
		int offers = deployment.cloud.prices.size();
		// Doubling from half of 2 s up to 10 s at least: at most 20 probes in 120 s, and
		// one burst of the purchases planned before the first refusal.
		assertThat(deployment.cloud.refusals)
			.isLessThanOrEqualTo(Deployment.SETTINGS.startsAtOnce() + Deployment.MAXIMUM + offers * 20);
		deployment.cloud.refusingZones.clear();
		assertThat(deployment.converges(MAX_CONVERGENCE_MILLIS)).isTrue();
		assertThat(deployment.simulation.violations).isEmpty();
	}

	// The bill stays high for good after a shortage: reclaimable VMs were refused for a
	// while, on-demand ones took their place, and nobody exchanges them afterwards.
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

	// A caller gets no answer during an upgrade: every engine drops its old version first
	// and loads for seconds. The new one must be there before the old one goes, in one
	// zone at a time.
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

	// Callers' answers break off at an upgrade: the new version is loaded, and the order
	// that drops the old one cuts off what still runs on it. The old one must stay until
	// its streams have ended; a successor that takes over meanwhile must keep it too.
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

	// An upgrade never ends: a stream that its caller forgot holds the old version, or
	// the engine does not tell on which version its streams run and new ones keep
	// coming.
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

	// A caller's stream breaks off when a VM that is too many is given back: it still has
	// streams. It must be drained and kept until they end or the limit passes.
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

	// Callers keep getting errors from a dead engine: its VM runs on and nobody replaces
	// it. And when the controller itself is cut off, all engines look dead at once: it
	// must not give back those that still serve.
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

	/** What strikes at a step. */
	enum Fault {

		/** The process dies right before the command goes out. */
		CRASH,

		/** The process dies while the command or its answer is under way. */
		CRASH_AFTER,

		/** The process is paused beyond its lease right before the command goes out. */
		PAUSE,

		/** The table service is down beyond the lease's term. */
		TABLE_SERVICE_OUTAGE,

		/** Most answers are lost for some seconds. */
		LOST_RESPONSES

	}

}
