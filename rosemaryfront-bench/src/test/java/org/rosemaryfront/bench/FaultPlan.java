package org.rosemaryfront.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Draws faults at random: reclaims, sudden deaths, silent connections, slowness, freezes,
 * drains.
 */
final class FaultPlan implements Consumer<Run> {

	private static final int FAULTS = 12;

	private final long seed;

	FaultPlan(long seed) {
		this.seed = seed;
	}

	@Override
	public void accept(Run run) {
		Random random = new Random(this.seed);
		List<Runner> runners = new ArrayList<>(run.fleet.all());
		for (int i = 0; i < FAULTS; i++) {
			Runner runner = runners.get(random.nextInt(runners.size()));
			long at = random.nextLong(run.plan.durationNanos());
			plan(run, random, runner, at);
		}
	}

	private static void plan(Run run, Random random, Runner runner, long at) {
		switch (random.nextInt(6)) {
			case 0 -> run.reclaim(runner, at, random.nextLong(8 * VirtualTime.SECOND));
			case 1 -> run.time.at(at, () -> alive(runner, () -> run.vanish(runner)));
			case 2 -> run.time.at(at, () -> alive(runner, runner::silence));
			case 3 -> run.time.at(at, () -> alive(runner, () -> runner.engine.slow(1 + random.nextInt(5))));
			case 4 -> run.time.at(at,
					() -> alive(runner, () -> runner.engine.freeze(at, at + random.nextLong(2 * VirtualTime.SECOND))));
			default -> run.start(run.plan.machines().getFirst(), at);
		}
	}

	private static void alive(Runner runner, Runnable action) {
		if (!runner.gone) {
			action.run();
		}
	}

}
