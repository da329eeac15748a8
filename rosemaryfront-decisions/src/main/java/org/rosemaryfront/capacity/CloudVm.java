package org.rosemaryfront.capacity;

import java.util.Objects;

import org.rosemaryfront.model.VmId;

/**
 * A VM as reported by the cloud.
 *
 * @param id the VM
 * @param token the token of its purchase
 * @param pool the name of its pool
 * @param sort its VM type
 * @param state its state
 * @param address the address of its backend server, empty before it runs
 */
public record CloudVm(VmId id, String token, String pool, OfferKey sort, State state, String address) {

	public CloudVm {
		Objects.requireNonNull(id, "id is null");
		Objects.requireNonNull(sort, "sort is null");
		Objects.requireNonNull(state, "state is null");
	}

	/** The state of a VM. */
	public enum State {

		/** The VM boots. */
		STARTING,

		/** The VM runs. */
		RUNNING,

		/** The cloud has sent a reclaim notice. */
		RECLAIMING,

		/** The VM is terminated. */
		GONE

	}

}
