package org.rosemaryfront.bench;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.LongFunction;

import org.rosemaryfront.model.Resource.Organisation;

/** The scenarios by name. */
final class Scenarios {

	private static final long DURATION = 60 * VirtualTime.SECOND;

	private static final int SLOTS = 8;

	private static final int ENTRIES = 9;

	/** Answers a second that 13 runners can give, see docs/MEASUREMENTS.md. */
	static final double TYNKARNIA_CAPACITY = 39;

	private static final double[] EVEN_PRICES = { 1, 1, 1 };

	/** Answers a second; three runners can just give them. */
	private static final double FEDERATION_RATE = 9;

	private Scenarios() {
	}

	static Map<String, Scenario> all() {
		Map<String, Scenario> scenarios = new LinkedHashMap<>();
		scenarios.put("federation-normal", plain((seed) -> federation(ENTRIES, seed, nothing())));
		scenarios.put("federation-wave", plain((seed) -> federation(ENTRIES, seed, wave(3, seed))));
		scenarios.put("federation-wave-3-entries", plain((seed) -> federation(3, seed, wave(3, seed))));
		scenarios.put("federation-zone", plain((seed) -> federation(ENTRIES, seed, zone("tunis-b"))));
		scenarios.put("tynkarnia-normal", plain((seed) -> tynkarnia(0.7, seed, nothing())));
		scenarios.put("tynkarnia-busy", plain((seed) -> tynkarnia(0.9, seed, nothing())));
		scenarios.put("tynkarnia-overload", new OverloadScenario());
		scenarios.put("tynkarnia-flood", new FloodScenario());
		scenarios.put("tynkarnia-slow", plain((seed) -> tynkarnia(0.7, seed, slow())));
		scenarios.put("tynkarnia-zone", plain((seed) -> tynkarnia(0.6, seed, zone("waw-b"))));
		scenarios.put("tynkarnia-wave", plain((seed) -> tynkarnia(0.5, seed, wave(6, seed))));
		scenarios.put("tynkarnia-cost", new CostScenario());
		return scenarios;
	}

	// -- plans

	static RunPlan federation(int entries, long seed, Consumer<Run> faults) {
		Deployment deployment = Deployment.federation();
		return new RunPlan(deployment, Machine.spread(6, deployment.zones(), EVEN_PRICES, SLOTS), entries,
				Work.federation(deployment, FEDERATION_RATE, DURATION, seed), DURATION, faults);
	}

	static RunPlan tynkarnia(double load, long seed, Consumer<Run> faults) {
		Deployment deployment = Deployment.tynkarnia();
		return new RunPlan(deployment, Machine.spread(13, deployment.zones(), EVEN_PRICES, SLOTS), ENTRIES,
				Work.tynkarnia(deployment, load * TYNKARNIA_CAPACITY, DURATION, seed), DURATION, faults);
	}

	static Organisation smallest(Deployment deployment) {
		return deployment.organisations().getLast();
	}

	private static Scenario plain(LongFunction<RunPlan> plan) {
		return (policies, seed) -> {
			List<Map<String, Object>> lines = new ArrayList<>();
			Result baseline = null;
			for (Policy policy : policies) {
				Result result = Result.of(new Run(plan.apply(seed), policy, seed).execute());
				baseline = (baseline != null) ? baseline : result;
				lines.add(Lines.of(policy, result, baseline));
			}
			return lines;
		};
	}

	// -- faults

	static Consumer<Run> nothing() {
		return (_) -> {
		};
	}

	// Reclaims of a number of runners within two seconds, each with a notice of 4 to 12
	// seconds; no replacement starts.
	static Consumer<Run> wave(int count, long seed) {
		return (run) -> {
			Random random = new Random(seed);
			List<Runner> runners = new ArrayList<>(run.fleet.all());
			Collections.shuffle(runners, random);
			for (Runner runner : runners.subList(0, count)) {
				run.reclaim(runner, 20 * VirtualTime.SECOND + random.nextInt(2_000) * VirtualTime.MILLI,
						(4_000 + random.nextInt(8_000)) * VirtualTime.MILLI);
			}
		};
	}

	// All runners of a zone are reclaimed at once with five seconds of notice.
	static Consumer<Run> zone(String zone) {
		return (run) -> run.fleet.all()
			.stream()
			.filter((runner) -> runner.zone.equals(zone))
			.forEach((runner) -> run.reclaim(runner, 20 * VirtualTime.SECOND, 5 * VirtualTime.SECOND));
	}

	// One runner takes three times as long for everything.
	static Consumer<Run> slow() {
		return (run) -> run.time.at(10 * VirtualTime.SECOND, () -> run.fleet.all().iterator().next().engine.slow(3));
	}

}
