package org.rosemaryfront.slots;

import java.util.List;
import java.util.Map;

import org.rosemaryfront.dispatch.BackendServer.Incarnation;

/**
 * A server whose slots are granted, as the keeper sees it.
 *
 * @param run the run of the server
 * @param slots the slots that it states
 * @param timeFactor the time that it takes, relative to a typical server of its service
 * @param reportedCalls the calls that each gateway last reported to have there, of all
 * live gateways, 0 for those without calls
 */
public record SlotServer(Incarnation run, int slots, double timeFactor, Map<String, Integer> reportedCalls) {

	public SlotServer {
		reportedCalls = Map.copyOf(reportedCalls);
	}

	/**
	 * Returns whether the slots of a service are granted by a keeper.
	 * @param hasEngine whether the service has a model engine
	 * @param slots the slots that each of its servers states, 0 where it states none
	 * @param gateways the number of gateways that serve
	 * @return true if all servers state slots and a gateway's share of them is less than
	 * one
	 */
	public static boolean needsKeeper(boolean hasEngine, List<Integer> slots, int gateways) {
		boolean stated = !slots.isEmpty() && slots.stream().allMatch((count) -> count > 0);
		return !hasEngine && stated && slots.stream().mapToInt(Integer::intValue).sum() < gateways;
	}

}
