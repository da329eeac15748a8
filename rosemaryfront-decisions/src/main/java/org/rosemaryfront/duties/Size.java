package org.rosemaryfront.duties;

/**
 * How many backend servers of one sort run in an availability zone.
 *
 * @param service the service
 * @param zone the availability zone
 * @param servers the backend servers
 * @param reclaimable whether they run on reclaimable VMs
 */
public record Size(String service, String zone, int servers, boolean reclaimable) {

	// What the size is about, whatever the count.
	Sort sort() {
		return new Sort(this.service, this.zone, this.reclaimable);
	}

	/**
	 * Servers that are ordered together.
	 *
	 * @param service the service
	 * @param zone the availability zone
	 * @param reclaimable whether they run on reclaimable VMs
	 */
	record Sort(String service, String zone, boolean reclaimable) {
	}

}
