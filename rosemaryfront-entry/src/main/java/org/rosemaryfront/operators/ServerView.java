package org.rosemaryfront.operators;

import java.util.List;
import java.util.Objects;

import org.rosemaryfront.model.VmId;

/**
 * A backend server as this entry knows it now.
 *
 * @param vm the VM it runs on
 * @param pool the name of its pool
 * @param zone its availability zone
 * @param address its address, {@code host:port}
 * @param state what is known of it, such as {@code serving} or {@code leaving}
 * @param models the models it has loaded, {@code name@version}
 * @param inFlight the requests that this entry has sent to it and that are not answered
 */
public record ServerView(VmId vm, String pool, String zone, String address, String state, List<String> models,
		int inFlight) {

	public ServerView {
		Objects.requireNonNull(vm, "vm is null");
		Objects.requireNonNull(pool, "pool is null");
		Objects.requireNonNull(zone, "zone is null");
		Objects.requireNonNull(address, "address is null");
		Objects.requireNonNull(state, "state is null");
		models = List.copyOf(models);
	}

}
