package org.rosemaryfront.capacity;

import java.util.List;

/**
 * The state of the capacity decisions, for operators.
 *
 * @param synchronised whether enough state was read to act
 * @param pools the pools
 * @param vms the VMs
 * @param intents the purchases in progress
 */
public record CapacityStatus(boolean synchronised, List<PoolStatus> pools, List<VmStatus> vms, List<Intent> intents) {

	/**
	 * The status of a pool.
	 *
	 * @param name its name
	 * @param target the number of backend servers it needs
	 * @param wanted the planned number of backend servers, including the reserve for the
	 * loss of a zone
	 * @param survives the number of planned backend servers left after the loss of a zone
	 * @param ready the number of backend servers that serve
	 */
	public record PoolStatus(String name, int target, int wanted, int survives, int ready) {
	}

	/**
	 * The status of a VM.
	 *
	 * @param vm the VM
	 * @param draining whether it is drained
	 * @param drainReason why it is drained, empty if it is not
	 * @param models the models it has loaded
	 * @param running the number of streams that run on it
	 */
	public record VmStatus(CloudVm vm, boolean draining, String drainReason, List<String> models, int running) {
	}

}
