package org.rosemaryfront.dispatch;

/**
 * A backend server as it registered itself.
 *
 * @param id names one start of the server
 * @param service the name of its service
 * @param address its address, {@code host:port}
 * @param zone its availability zone
 * @param slots the requests that it runs at once
 * @param leaving whether it takes no new calls
 * @param reclaimable whether its VM may be reclaimed
 */
public record BackendServer(String id, String service, String address, String zone, int slots, boolean leaving,
		boolean reclaimable) {
}
