package org.rosemaryfront.capacity;

import java.time.Duration;

/**
 * The limits of the capacity decisions. Times are in milliseconds.
 *
 * @param startsAtOnce the greatest number of purchases under way for a pool
 * @param loadsAtOnce the greatest number of engines that load weights at a time
 * @param backOffMillis the first pause after a refused start; it doubles with each
 * @param backOffLimitMillis the longest pause after refused starts
 * @param drainMillis the longest time that a drained VM is kept for its streams
 * @param serviceDrainMillis the time that a drained plain service is kept
 * @param bootMillis the time after which a VM that does not run is given back
 * @param unreachableMillis the time after which a silent engine is replaced
 * @param orderValidityMillis how long an order may be taken by an engine
 * @param pollMillis the least time between two reads of the platform or of an engine
 * @param pollPerVmMillis what each VM adds to the time between two reads
 * @param reclaimCostHours what a reclaim costs, in hours of the VM's price
 * @param busyShare the share of slots in use above which a pool grows
 */
public record CapacitySettings(int startsAtOnce, int loadsAtOnce, long backOffMillis, long backOffLimitMillis,
		long drainMillis, long serviceDrainMillis, long bootMillis, long unreachableMillis, long orderValidityMillis,
		long pollMillis, long pollPerVmMillis, double reclaimCostHours, double busyShare) {

	/**
	 * The defaults, whose reasons stand in the settings' schema.
	 * @return the defaults
	 */
	public static CapacitySettings standard() {
		return new CapacitySettings(16, 4, 2_000, 120_000, 300_000, 15_000, 300_000, 60_000, 5_000, 1_000, 400, 0.25,
				0.75);
	}

	static long toNanos(long millis) {
		return Duration.ofMillis(millis).toNanos();
	}

}
