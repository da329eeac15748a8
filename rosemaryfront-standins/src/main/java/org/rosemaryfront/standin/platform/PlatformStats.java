package org.rosemaryfront.standin.platform;

import java.util.List;

import org.rosemaryfront.platform.CloudClient.Market;

/**
 * What the stand-in platform counted since its start.
 *
 * @param reads reads of rows and objects that were let through
 * @param writes commits and object writes that were let through
 * @param rowsWritten rows written or deleted by commits
 * @param conflicts commits in conflict
 * @param overRate calls refused above a rate
 * @param readsPerSecond reads let through in the last whole second
 * @param writesPerSecond writes let through in the last whole second
 * @param atMillis the time of the count on the platform's clock, in milliseconds
 * @param costs what the VMs cost so far
 */
public record PlatformStats(long reads, long writes, long rowsWritten, long conflicts, long overRate,
		long readsPerSecond, long writesPerSecond, long atMillis, List<Cost> costs) {

	/**
	 * What all VMs cost together.
	 * @return the sum, in the currency of the offers
	 */
	public double cost() {
		return this.costs.stream().mapToDouble(Cost::cost).sum();
	}

	/**
	 * How long all VMs were held together.
	 * @return the sum, in hours
	 */
	public double vmHours() {
		return this.costs.stream().mapToDouble(Cost::vmHours).sum();
	}

	/**
	 * What the VMs of one sort cost.
	 *
	 * @param zone the availability zone
	 * @param machineClass the machine class
	 * @param market how they were sold
	 * @param vmHours how long they were held together, in hours
	 * @param cost the time at the price of the offer
	 */
	public record Cost(String zone, String machineClass, Market market, double vmHours, double cost) {
	}

}
