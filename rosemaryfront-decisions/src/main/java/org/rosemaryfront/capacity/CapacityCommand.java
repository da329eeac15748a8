package org.rosemaryfront.capacity;

import java.util.List;

import org.rosemaryfront.model.VmId;

/**
 * Something that the controller must ask of the platform or of a backend server. Each one
 * is answered by a {@link CapacityEvent}.
 */
public sealed interface CapacityCommand {

	// -- platform

	/**
	 * Read from the platform.
	 *
	 * @param source what to read
	 * @param after for notices: the number of the last one known
	 */
	record Read(Source source, long after) implements CapacityCommand {
	}

	/**
	 * Write an intent on the condition that the lease's fencing number still stands.
	 *
	 * @param intent the intent
	 * @param reason why this sort of VM, for the decision log
	 */
	record WriteIntent(Intent intent, String reason) implements CapacityCommand {
	}

	/**
	 * Buy what a written intent says.
	 *
	 * @param intent the intent
	 */
	record Buy(Intent intent) implements CapacityCommand {
	}

	/**
	 * Delete an intent that has ended.
	 *
	 * @param token the purchase
	 * @param reason why, for the decision log
	 */
	record DeleteIntent(String token, String reason) implements CapacityCommand {
	}

	/**
	 * Give a VM back.
	 *
	 * @param vm the VM
	 * @param reason why, for the decision log
	 */
	record Release(VmId vm, String reason) implements CapacityCommand {
	}

	// -- backend servers

	/**
	 * Read the state of a model engine.
	 *
	 * @param vm the VM
	 * @param address its address
	 */
	record ReadState(VmId vm, String address) implements CapacityCommand {
	}

	/**
	 * Order a wanted state.
	 *
	 * @param vm the VM
	 * @param address its address
	 * @param models the models wanted, each {@code name@version}
	 * @param adapters the adapters wanted, each {@code name@version}
	 * @param drain whether it must take no new streams
	 * @param reason why, for the decision log
	 */
	record Order(VmId vm, String address, List<String> models, List<String> adapters, boolean drain,
			String reason) implements CapacityCommand {
	}

	/**
	 * Tell the entries that a VM is leaving.
	 *
	 * @param vm the VM
	 * @param remainingMillis the time left, in milliseconds
	 * @param reason why, for the decision log
	 */
	record AnnounceLeaving(VmId vm, long remainingMillis, String reason) implements CapacityCommand {
	}

	/** What is read from the platform. */
	enum Source {

		/** Open intents. */
		INTENTS,

		/** The cloud's VMs. */
		VMS,

		/** Offers. */
		OFFERS,

		/** Reclaim notices. */
		NOTICES

	}

}
