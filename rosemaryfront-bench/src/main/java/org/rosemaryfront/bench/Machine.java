package org.rosemaryfront.bench;

import java.util.ArrayList;
import java.util.List;

import org.rosemaryfront.standin.engine.EngineParameters;

/**
 * A VM to run an engine on.
 *
 * @param zone its availability zone
 * @param pricePerHour what it costs
 * @param engine what its engine can do
 */
record Machine(String zone, double pricePerHour, EngineParameters engine) {

	private static final int QUEUE = 64;

	// Small machines spread evenly over zones; a zone's price is at its place.
	static List<Machine> spread(int count, List<String> zones, double[] prices, int slots) {
		List<Machine> machines = new ArrayList<>();
		EngineParameters engine = EngineParameters.standard().withSlots(slots, QUEUE);
		for (int i = 0; i < count; i++) {
			int zone = i % zones.size();
			machines.add(new Machine(zones.get(zone), prices[zone], engine));
		}
		return machines;
	}

}
