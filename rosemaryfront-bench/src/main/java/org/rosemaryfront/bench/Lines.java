package org.rosemaryfront.bench;

import java.util.LinkedHashMap;
import java.util.Map;

/** Lines of figures. */
final class Lines {

	private Lines() {
	}

	static Map<String, Object> of(Policy policy, Result result, Result baseline) {
		Map<String, Object> line = new LinkedHashMap<>();
		line.put("policy", policy.name());
		line.putAll(result.line());
		result.checkRefusals(line);
		line.put("recomputedToBaseline",
				Result.rounded((double) result.recomputed() / Math.max(1, baseline.recomputed())));
		line.put("costToBaseline", Result.rounded(result.costPerThousand() / baseline.costPerThousand()));
		line.put("withinToBaseline", Result.rounded((double) result.within() / Math.max(1, baseline.within())));
		return line;
	}

}
