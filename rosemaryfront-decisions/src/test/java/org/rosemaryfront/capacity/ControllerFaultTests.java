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

	private static final long SETTLE_MILLIS = 300_000;

	private static final long SECOND = 1_000 * VirtualWorld.MILLI;

	private static final List<String> STEPS = List.of("Write", "Read", "WriteIntent", "Buy", "DeleteIntent", "Order",
			"ReadState", "AnnounceLeaving", "Release");

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void shouldReachDeclaredStateWhenNothingFails(boolean fencingChecked) {
		Deployment deployment = new Deployment(1, fencingChecked);
		assertThat(deployment.settles(SETTLE_MILLIS)).isTrue();
		assertThat(deployment.cloud.purchases).isEqualTo(Deployment.MAXIMUM);
		assertThat(deployment.world.violations).isEmpty();
	}

	// An operator sees VMs bought twice, left over or half loaded after one fault. The
	// holder reaches a step, the fault strikes right there, and another process, or the
	// same one after its pause, must go on from what the table service and the cloud
	// show.
	@ParameterizedTest(name = "{0} at {1}, fencing checked: {2}")
	@MethodSource("cells")
	void shouldReachDeclaredStateWhenFaultStrikesAtStep(Fault fault, String step, boolean fencingChecked) {
		Deployment deployment = new Deployment(7, fencingChecked);
		List<String> struck = new ArrayList<>();
		Runnable arm = () -> deployment.controllers
			.forEach((controller) -> controller.beforeCommand = strike(fault, step, deployment, controller, struck));
		arm.run();
		deployment.world.run(20 * SECOND);
		deployment.cloud.refusingZones.add("a");
		deployment.cloud.live()
			.stream()
			.filter((machine) -> machine.intent.sort().zone().equals("a"))
			.forEach(deployment.cloud::reclaim);
		deployment.world.run(20 * SECOND);
		deployment.cloud.refusingZones.clear();
		deployment.world.run(60 * SECOND);
		assertThat(deployment.settles(SETTLE_MILLIS)).as("declared state").isTrue();
		assertThat(struck).as("fault").hasSize(1);
		assertThat(deployment.world.violations).isEmpty();
	}

	static Stream<Arguments> cells() {
		return STEPS.stream()
			.flatMap((step) -> Stream.of(Fault.values())
				.flatMap((fault) -> Stream.of(true, false).map((checked) -> Arguments.of(fault, step, checked))));
	}

	private static Consumer<String> strike(Fault fault, String step, Deployment deployment,
			SimulatedController controller, List<String> struck) {
		return (command) -> {
			if (!struck.isEmpty() || !command.equals(step) || (!step.equals("Write") && !controller.mayOrder())) {
				return;
			}
			struck.add(command);
			VirtualWorld world = deployment.world;
			switch (fault) {
				case CRASH -> deployment.crash(controller);
				case PAUSE -> controller.pause(25 * SECOND);
				case OUTAGE -> {
					deployment.tables.down = true;
					world.after(25 * SECOND, () -> deployment.tables.down = false);
				}
				case LOST_ANSWERS -> {
					world.lostAnswers = 0.7;
					world.after(5 * SECOND, () -> world.lostAnswers = 0);
				}
				case CRASH_AFTER -> world.after(30 * VirtualWorld.MILLI, () -> {
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
	void shouldWaitOutOrdersWhenEnginesIgnoreFencing() {
		Deployment deployment = new Deployment(9, false);
		assertThat(deployment.settles(SETTLE_MILLIS)).isTrue();
		deployment.crash(deployment.holders().getFirst());
		List<Long> ordered = new ArrayList<>();
		deployment.controllers.forEach((controller) -> controller.beforeCommand = (command) -> {
			if (command.equals("Order")) {
				ordered.add(deployment.world.now);
			}
		});
		while (deployment.holders().isEmpty()) {
			deployment.world.run(10 * VirtualWorld.MILLI);
		}
		long taken = deployment.world.now;
		deployment.world.run(60 * SECOND);
		assertThat(ordered).isNotEmpty();
		assertThat(ordered.getFirst() - taken)
			.isGreaterThanOrEqualTo((Deployment.SETTINGS.orderValidityMillis() - 20) * VirtualWorld.MILLI);
	}

	// A caller's streams run on VMs that are bought and given back in turn, and the
	// bill grows: a cloud without VMs is asked again and again. All offers refuse; each
	// refusal doubles the pause of its offer, and only one purchase at a time probes an
	// offer.
	@Test
	void shouldAskSeldomWhenAllStartsAreRefused() {
		Deployment deployment = new Deployment(3, false);
		deployment.cloud.refusingZones.addAll(Deployment.ZONES);
		deployment.world.run(120 * SECOND);
		int offers = deployment.cloud.prices.size();
		// Doubling from half of 2 s up to 10 s at least: at most 20 probes in 120 s, and
		// one burst of the purchases planned before the first refusal.
		assertThat(deployment.cloud.refusals)
			.isLessThanOrEqualTo(Deployment.SETTINGS.startsAtOnce() + Deployment.MAXIMUM + offers * 20);
		deployment.cloud.refusingZones.clear();
		assertThat(deployment.settles(SETTLE_MILLIS)).isTrue();
		assertThat(deployment.world.violations).isEmpty();
	}

	// The bill stays high for good after a shortage: reclaimable VMs were refused for a
	// while, on-demand ones took their place, and nobody exchanges them afterwards.
	@Test
	void shouldGiveOnDemandBackWhenReclaimableReturns() {
		Deployment deployment = new Deployment(4, true);
		for (OfferKey key : deployment.cloud.prices.keySet()) {
			if (key.market() == Market.RECLAIMABLE) {
				deployment.cloud.refusedSorts.add(key);
			}
		}
		assertThat(deployment.settles(SETTLE_MILLIS)).isTrue();
		assertThat(markets(deployment)).containsOnly(Market.ON_DEMAND);
		deployment.cloud.refusedSorts.clear();
		deployment.world.run(600 * SECOND);
		assertThat(markets(deployment)).containsOnly(Market.RECLAIMABLE);
		assertThat(deployment.settles(SETTLE_MILLIS)).isTrue();
		assertThat(deployment.world.violations).isEmpty();
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
		assertThat(deployment.settles(SETTLE_MILLIS)).isTrue();
		deployment.declare("2");
		while (!deployment.isAsDeclared()) {
			deployment.world.run(100 * VirtualWorld.MILLI);
			List<Machine> live = deployment.cloud.live();
			assertThat(live).allMatch((machine) -> !machine.report().models().isEmpty());
			assertThat(live.stream()
				.filter((machine) -> !machine.loadingUntil.isEmpty())
				.map((machine) -> machine.intent.sort().zone())
				.distinct()).hasSizeLessThanOrEqualTo(1);
			assertThat(deployment.world.violations).isEmpty();
		}
	}

	// Callers' answers break off at an upgrade: the new version is loaded, and the order
	// that drops the old one cuts off what still runs on it. The old one must stay until
	// its streams have ended; a successor that takes over meanwhile must keep it too.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void shouldKeepOldVersionWhenStreamsRunOnIt(boolean holderCrashes) {
		Deployment deployment = new Deployment(10, true);
		assertThat(deployment.settles(SETTLE_MILLIS)).isTrue();
		deployment.cloud.live().forEach((machine) -> machine.streams.put("m@1", 2));
		deployment.declare("2");
		deployment.world.run(4 * SECOND);
		if (holderCrashes) {
			deployment.crash(deployment.holders().getFirst());
		}
		deployment.world.run(15 * SECOND);
		deployment.cloud.live().forEach((machine) -> machine.streams.put("m@2", 1));
		assertThat(deployment.cloud.live()).allMatch((machine) -> machine.cut == 0)
			.anyMatch((machine) -> machine.report().models().equals(List.of("m@1", "m@2")))
			.allMatch((machine) -> machine.report().models().contains("m@1"));
		deployment.cloud.live().forEach((machine) -> machine.streams.remove("m@1"));
		assertThat(deployment.settles(SETTLE_MILLIS)).isTrue();
		assertThat(deployment.cloud.live()).allMatch((machine) -> machine.cut == 0);
		assertThat(deployment.world.violations).isEmpty();
	}

	// An upgrade never ends: a stream that its caller forgot holds the old version, or
	// the engine does not tell on which version its streams run and new ones keep
	// coming.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void shouldDropOldVersionWhenLimitPasses(boolean engineTells) {
		Deployment deployment = new Deployment(11, true);
		assertThat(deployment.settles(SETTLE_MILLIS)).isTrue();
		deployment.cloud.live().forEach((machine) -> {
			if (engineTells) {
				machine.streams.put("m@1", 1);
			}
			else {
				machine.running = 1;
			}
		});
		deployment.declare("2");
		deployment.world.run(Deployment.SETTINGS.drainMillis() * VirtualWorld.MILLI);
		assertThat(deployment.isAsDeclared()).isFalse();
		assertThat(deployment.cloud.live()).allMatch((machine) -> machine.report().models().contains("m@1"));
		assertThat(deployment.settles(SETTLE_MILLIS)).isTrue();
	}

	// A caller's stream breaks off when a VM that is too many is given back: it still has
	// streams. It must be drained and kept until they end or the limit passes.
	@Test
	void shouldKeepDrainedVmWhenStreamsRun() {
		Deployment deployment = new Deployment(6, true);
		OfferKey dear = new OfferKey("a", "gpu", Market.RECLAIMABLE);
		deployment.cloud.refusedSorts.add(dear);
		assertThat(deployment.settles(SETTLE_MILLIS)).isTrue();
		deployment.cloud.live().forEach((machine) -> machine.running = 2);
		deployment.cloud.refusedSorts.clear();
		deployment.world.run(60 * SECOND);
		assertThat(deployment.cloud.machines.values()).anyMatch((machine) -> machine.draining);
		deployment.cloud.live().forEach((machine) -> machine.running = 0);
		assertThat(deployment.settles(SETTLE_MILLIS)).isTrue();
		assertThat(deployment.world.violations).isEmpty();
	}

	// Callers keep getting errors from a dead engine: its VM runs on and nobody replaces
	// it. And when the controller itself is cut off, all engines look dead at once: it
	// must not give back those that still serve.
	@Test
	void shouldReplaceSilentEngineButNotAllOfThem() {
		Deployment deployment = new Deployment(8, false);
		assertThat(deployment.settles(SETTLE_MILLIS)).isTrue();
		Machine dead = deployment.cloud.live().getFirst();
		dead.silent = true;
		deployment.world.run(120 * SECOND);
		assertThat(dead.state).isEqualTo(State.GONE);
		assertThat(deployment.settles(SETTLE_MILLIS)).isTrue();
		List<Machine> live = deployment.cloud.live();
		live.forEach((machine) -> machine.silent = true);
		deployment.world.run(120 * SECOND);
		assertThat(live).allMatch((machine) -> machine.state == State.RUNNING && !machine.draining);
		assertThat(deployment.world.violations).isEmpty();
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
		OUTAGE,

		/** Most answers are lost for some seconds. */
		LOST_ANSWERS

	}

}
