package org.rosemaryfront.capacity;

import java.util.List;

import org.rosemaryfront.model.VmId;

/**
 * A request that the controller must send to the platform or to a backend server. A
 * {@link CapacityEvent} reports the outcome of each.
 */
public sealed interface CapacityCommand {

	// -- platform

	/**
	 * Reads data from the platform.
	 *
	 * @param source what to read
	 * @param afterNotice the number of the last notice already read, 0 for other sources
	 */
	record Read(Source source, long afterNotice) implements CapacityCommand {
	}

	/**
	 * Writes an intent on the condition that the lease's fencing number is unchanged.
	 *
	 * @param intent the intent
	 * @param reason why this VM type was chosen, for the decision log
	 */
	record WriteIntent(Intent intent, String reason) implements CapacityCommand {
	}

	/**
	 * Buys the VM that a written intent describes.
	 *
	 * @param intent the intent
	 */
	record Buy(Intent intent) implements CapacityCommand {
	}

	/**
	 * Deletes the intent of a purchase that has ended.
	 *
	 * @param token the token of the purchase
	 * @param reason why, for the decision log
	 */
	record DeleteIntent(String token, String reason) implements CapacityCommand {
	}

	/**
	 * Releases a VM to the cloud.
	 *
	 * @param vm the VM
	 * @param reason why, for the decision log
	 */
	record Release(VmId vm, String reason) implements CapacityCommand {
	}

	// -- backend servers

	/**
	 * Reads the state of a model engine.
	 *
	 * @param vm the VM
	 * @param address its address
	 */
	record ReadState(VmId vm, String address) implements CapacityCommand {
	}

	/**
	 * Sends an engine its desired state.
	 *
	 * @param vm the VM
	 * @param address its address
	 * @param models the desired models, each {@code name@version}
	 * @param adapters the desired adapters, each {@code name@version}
	 * @param drain whether the engine must accept no new streams
	 * @param reason why, for the decision log
	 */
	record Order(VmId vm, String address, List<String> models, List<String> adapters, boolean drain,
			String reason) implements CapacityCommand {
	}

	/**
	 * Announces to the entries that a VM is leaving.
	 *
	 * @param vm the VM
	 * @param remainingMillis the time left, in milliseconds
	 * @param reason why, for the decision log
	 */
	record AnnounceLeaving(VmId vm, long remainingMillis, String reason) implements CapacityCommand {
	}

	/** A kind of data that is read from the platform. */
	enum Source {

		/** Open intents. */
		INTENTS,

		/** VMs of the cloud. */
		VMS,

		/** Offers. */
		OFFERS,

		/** Reclaim notices. */
		NOTICES

	}

}
