package org.rosemaryfront.capacity;

import java.util.List;

/**
 * What the capacity decisions know, for people.
 *
 * @param synchronised whether enough is known to act
 * @param pools the pools
 * @param vms the VMs
 * @param intents the purchases under way
 */
public record CapacityStatus(boolean synchronised, List<PoolStatus> pools, List<VmStatus> vms, List<Intent> intents) {

	/**
	 * A pool.
	 *
	 * @param name its name
	 * @param target the backend servers it needs
	 * @param wanted the backend servers it wants, with those that make up for a lost zone
	 * @param survives the backend servers left of those after the loss of a zone
	 * @param ready the backend servers that serve
	 */
	public record PoolStatus(String name, int target, int wanted, int survives, int ready) {
	}

	/**
	 * A VM.
	 *
	 * @param vm the VM
	 * @param draining whether it is drained
	 * @param drainReason why it is drained, empty when it is not
	 * @param models the models it has loaded
	 * @param running the streams on it
	 */
	public record VmStatus(CloudVm vm, boolean draining, String drainReason, List<String> models, int running) {
	}

}
