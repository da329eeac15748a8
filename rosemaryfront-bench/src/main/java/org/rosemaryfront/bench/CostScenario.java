package org.rosemaryfront.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Prices differ by availability zone. For each policy the cheapest fleet is sought that
 * keeps 95 of 100 requests within target; its cost is the cost at the latency target.
 */
final class CostScenario implements Scenario {

	private static final double[] PRICES = { 1.0, 0.8, 0.6 };

	private static final double SHARE = 0.95;

	private static final double LOAD = 0.5;

	private static final int MOST = 16;

	private static final int LEAST = 4;

	private static final int SLOTS = 8;

	@Override
	public List<Map<String, Object>> measure(List<Policy> policies, long seed) {
		RunPlan plan = Scenarios.tynkarnia(LOAD, seed, Scenarios.nothing());
		List<Map<String, Object>> lines = new ArrayList<>();
		Result baseline = null;
		for (Policy policy : policies) {
			int count = MOST;
			Result cheapest = run(plan, policy, count, seed);
			while (count > LEAST) {
				Result fewer = run(plan, policy, count - 1, seed);
				if (fewer.share() < SHARE) {
					break;
				}
				cheapest = fewer;
				count--;
			}
			baseline = (baseline != null) ? baseline : cheapest;
			Map<String, Object> line = Lines.of(policy, cheapest, baseline);
			line.put("runners", count);
			line.put("targetKept", cheapest.share() >= SHARE);
			lines.add(line);
		}
		return lines;
	}

	private static Result run(RunPlan plan, Policy policy, int count, long seed) {
		RunPlan sized = plan.withMachines(Machine.spread(count, plan.deployment().zones(), PRICES, SLOTS));
		return Result.of(new Run(sized, policy, seed).execute());
	}

}
