package org.rosemaryfront.capacity;

import java.util.Objects;

import org.rosemaryfront.model.VmId;

/**
 * A VM as the cloud knows it.
 *
 * @param id the VM
 * @param token the purchase that it came from
 * @param pool the name of its pool
 * @param sort what it is
 * @param state its state
 * @param address the address of its backend server, empty until it runs
 */
public record CloudVm(VmId id, String token, String pool, OfferKey sort, State state, String address) {

	public CloudVm {
		Objects.requireNonNull(id, "id is null");
		Objects.requireNonNull(sort, "sort is null");
		Objects.requireNonNull(state, "state is null");
	}

	/** The state of a VM. */
	public enum State {

		/** It boots. */
		STARTING,

		/** It runs. */
		RUNNING,

		/** A reclaim notice was given. */
		RECLAIMING,

		/** It is gone. */
		GONE

	}

}
