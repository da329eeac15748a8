package org.rosemaryfront.bench;

import java.util.List;
import java.util.Map;

/** Something to measure. */
interface Scenario {

	/**
	 * Runs each policy over the same seeded work.
	 * @param policies the policies, the baseline first
	 * @param seed the seed of the work and of all random choices
	 * @return a line of figures for each policy
	 */
	List<Map<String, Object>> measure(List<Policy> policies, long seed);

}
