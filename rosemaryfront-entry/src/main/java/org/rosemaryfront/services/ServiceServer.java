package org.rosemaryfront.services;

import java.util.Objects;

import org.rosemaryfront.model.VmId;

/**
 * A backend server of a plain service, as this entry knows it now.
 *
 * @param vm its VM
 * @param pool the name of its pool
 * @param zone its availability zone
 * @param address its address, {@code host:port}
 * @param leaving whether it takes no new work
 */
public record ServiceServer(VmId vm, String pool, String zone, String address, boolean leaving) {

	public ServiceServer {
		Objects.requireNonNull(vm, "vm is null");
		Objects.requireNonNull(pool, "pool is null");
		Objects.requireNonNull(zone, "zone is null");
		Objects.requireNonNull(address, "address is null");
	}

}
