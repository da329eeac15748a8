package org.rosemaryfront.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

import org.rosemaryfront.model.Resource.Organisation;

/**
 * One small organisation sends more than the whole capacity for half a minute. The same
 * work without the flood shows what the others lose by it.
 */
final class FloodScenario implements Scenario {

	private static final double LOAD = 0.7;

	private static final double FLOOD = 1.5;

	@Override
	public List<Map<String, Object>> measure(List<Policy> policies, long seed) {
		RunPlan calm = Scenarios.tynkarnia(LOAD, seed, Scenarios.nothing());
		Organisation flooding = Scenarios.smallest(calm.deployment());
		List<WorkItem> work = new ArrayList<>(calm.work());
		work.addAll(Work.flood(calm.deployment(), flooding, FLOOD * Scenarios.TYNKARNIA_CAPACITY,
				15 * VirtualTime.SECOND, 45 * VirtualTime.SECOND, seed));
		work.sort(Comparator.comparingLong(WorkItem::atNanos));
		RunPlan flooded = calm.withWork(work);
		List<Map<String, Object>> lines = new ArrayList<>();
		Result baseline = null;
		for (Policy policy : policies) {
			Result without = Result.of(new Run(calm, policy, seed).execute());
			Result with = Result.of(new Run(flooded, policy, seed).execute());
			baseline = (baseline != null) ? baseline : with;
			Map<String, Object> line = Lines.of(policy, with, baseline);
			double before = without.shareWithout(flooding.name());
			double after = with.shareWithout(flooding.name());
			line.put("othersWithinShareWithoutFlood", Result.rounded(before));
			line.put("othersWithinShare", Result.rounded(after));
			line.put("othersLostPoints", Result.rounded(100 * (before - after)));
			lines.add(line);
		}
		return lines;
	}

}
