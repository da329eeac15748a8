package org.rosemaryfront.duties;

/**
 * The number of backend servers in a pool.
 *
 * @param service the service
 * @param zone the availability zone
 * @param servers the number of backend servers
 * @param reclaimable whether they run on reclaimable VMs
 */
public record PoolSize(String service, String zone, int servers, boolean reclaimable) {

	// Returns the pool to which the size applies.
	Pool pool() {
		return new Pool(this.service, this.zone, this.reclaimable);
	}

	/**
	 * A pool: the backend servers of one service and one kind of VM in an availability
	 * zone, which are ordered together.
	 *
	 * @param service the service
	 * @param zone the availability zone
	 * @param reclaimable whether they run on reclaimable VMs
	 */
	record Pool(String service, String zone, boolean reclaimable) {
	}

}
