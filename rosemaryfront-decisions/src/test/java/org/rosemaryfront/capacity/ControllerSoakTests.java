package org.rosemaryfront.capacity;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import org.rosemaryfront.capacity.FakeCloud.Machine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of random sequences of faults, which may overlap, on virtual time. Options for a
 * longer run: {@code -Dsoak.seeds=1000 -Dsoak.seed=1}; the name of a failing case
 * contains its seed.
 */
class ControllerSoakTests {

	private static final long SECOND = 1_000 * Simulation.MILLI;

	private static final int FAULT_SECONDS = 240;

	private static final long MAX_CONVERGENCE_MILLIS = 600_000;

	static LongStream seeds() {
		long first = Long.getLong("soak.seed", 1);
		return LongStream.range(first, first + Long.getLong("soak.seeds", 40));
	}

	// Guards against surplus VMs, interrupted streams and old versions left in service
	// after several faults. Crashes, pauses, outages, lost messages, reclaims, refused
	// starts, unresponsive engines and new declarations occur at random times and
	// overlap. After they stop the declared state must be reached, and the limits must
	// hold at all times.
	@ParameterizedTest(name = "seed {0}")
	@MethodSource("seeds")
	void shouldReachDeclaredStateWhenRandomFaultsStop(long seed) {
		Deployment deployment = new Deployment(seed, seed % 2 == 0);
		SplittableRandom random = new SplittableRandom(seed ^ 0x5deece66dL);
		for (int second = 0; second < FAULT_SECONDS; second++) {
			if (random.nextInt(4) == 0) {
				injectFault(deployment, random);
			}
			deployment.cloud.live()
				.forEach((machine) -> machine.running = machine.draining ? Math.max(0, machine.running - 1)
						: random.nextInt(4));
			deployment.simulation.run(SECOND);
		}
		clearFaults(deployment);
		assertThat(deployment.converges(MAX_CONVERGENCE_MILLIS)).as("declared state").isTrue();
		assertThat(deployment.simulation.violations).isEmpty();
	}

	private static void injectFault(Deployment deployment, SplittableRandom random) {
		Simulation simulation = deployment.simulation;
		long durationNanos = (1 + random.nextInt(30)) * SECOND;
		SimulatedController controller = pickRandom(deployment.controllers, random);
		switch (random.nextInt(10)) {
			case 0 -> deployment.crash(controller);
			case 1 -> controller.pause(durationNanos);
			case 2 -> deployment.leaseHolders().forEach((holder) -> holder.pause(durationNanos));
			case 3 -> {
				deployment.tables.unavailable = true;
				simulation.after(durationNanos, () -> deployment.tables.unavailable = false);
			}
			case 4 -> {
				simulation.responseLossRate = random.nextDouble();
				simulation.requestLossRate = random.nextDouble() / 2;
				simulation.after(durationNanos, () -> {
					simulation.responseLossRate = 0;
					simulation.requestLossRate = 0;
				});
			}
			case 5 -> {
				simulation.maxDelayMillis = 1 + random.nextInt(3_000);
				simulation.after(durationNanos, () -> simulation.maxDelayMillis = 20);
			}
			case 6 -> {
				String zone = pickRandom(Deployment.ZONES, random);
				deployment.cloud.refusingZones.add(zone);
				simulation.after(durationNanos, () -> deployment.cloud.refusingZones.remove(zone));
				deployment.cloud.live()
					.stream()
					.filter((machine) -> machine.intent.sort().zone().equals(zone))
					.forEach(deployment.cloud::reclaim);
			}
			case 7 -> deployment.cloud.live()
				.stream()
				.filter((_) -> random.nextInt(100) < 47)
				.forEach(deployment.cloud::reclaim);
			case 8 -> deployment.declare(Integer.toString(random.nextInt(3)));
			case 9 -> {
				List<Machine> live = deployment.cloud.live();
				if (!live.isEmpty()) {
					Machine unresponsive = pickRandom(live, random);
					unresponsive.unresponsive = true;
					simulation.after(durationNanos, () -> unresponsive.unresponsive = false);
				}
			}
			default -> throw new IllegalStateException();
		}
	}

	private static void clearFaults(Deployment deployment) {
		Simulation simulation = deployment.simulation;
		simulation.run(30 * SECOND);
		simulation.responseLossRate = 0;
		simulation.requestLossRate = 0;
		simulation.maxDelayMillis = 20;
		deployment.tables.unavailable = false;
		deployment.cloud.refusingZones.clear();
		deployment.cloud.live().forEach((machine) -> machine.running = 0);
	}

	private static <T> T pickRandom(List<T> candidates, SplittableRandom random) {
		return candidates.get(random.nextInt(candidates.size()));
	}

}
