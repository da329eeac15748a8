package org.rosemaryfront.capacity;

import java.time.Duration;

/**
 * The limits of the capacity decisions. Times are in milliseconds.
 *
 * @param startsAtOnce the maximum number of concurrent purchases for a pool
 * @param loadsAtOnce the maximum number of engines that load weights concurrently
 * @param backOffMillis the back-off after the first refused start; it doubles with each
 * further one
 * @param backOffLimitMillis the maximum back-off after refused starts
 * @param drainMillis the maximum time for which a drained VM is kept for its streams
 * @param serviceDrainMillis the time for which a drained VM is kept if its pool serves no
 * models
 * @param bootMillis the time after which a VM that has not booted is released
 * @param unreachableMillis the time after which an unresponsive engine is replaced
 * @param orderValidityMillis the time for which an engine may accept an order
 * @param pollMillis the minimum interval between two reads of the platform or of an
 * engine
 * @param pollPerVmMillis the time that each VM adds to the interval between two reads
 * @param reclaimCostHours the cost of a reclaim, in hours of the VM's price
 * @param busyShare the fraction of slots in use above which a pool grows
 */
public record CapacitySettings(int startsAtOnce, int loadsAtOnce, long backOffMillis, long backOffLimitMillis,
		long drainMillis, long serviceDrainMillis, long bootMillis, long unreachableMillis, long orderValidityMillis,
		long pollMillis, long pollPerVmMillis, double reclaimCostHours, double busyShare) {

	/**
	 * Returns the default limits; the settings' schema gives the reason for each.
	 * @return the default limits
	 */
	public static CapacitySettings defaults() {
		return new CapacitySettings(16, 4, 2_000, 120_000, 300_000, 15_000, 300_000, 60_000, 5_000, 1_000, 400, 0.25,
				0.75);
	}

	static long toNanos(long millis) {
		return Duration.ofMillis(millis).toNanos();
	}

}
