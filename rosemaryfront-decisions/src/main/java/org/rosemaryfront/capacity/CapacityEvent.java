package org.rosemaryfront.capacity;

import java.util.List;
import java.util.Map;

import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.VmId;

/**
 * An event that the capacity decisions take into account.
 */
public sealed interface CapacityEvent {

	// -- lease and configuration

	/**
	 * This process took the lease; all state read before may be out of date.
	 *
	 * @param fence the fencing number
	 */
	record LeaseTaken(long fence) implements CapacityEvent {
	}

	/** This process no longer holds the lease. */
	record LeaseLost() implements CapacityEvent {
	}

	/**
	 * A configuration took effect.
	 *
	 * @param configuration the configuration
	 */
	record ConfigurationApplied(Configuration configuration) implements CapacityEvent {
	}

	// -- platform

	/**
	 * The offers were read.
	 *
	 * @param offers all offers
	 */
	record OffersRead(List<Offer> offers) implements CapacityEvent {
	}

	/**
	 * The cloud's VMs were read.
	 *
	 * @param requestedNanos when the list was requested
	 * @param vms all VMs
	 */
	record VmsRead(long requestedNanos, List<CloudVm> vms) implements CapacityEvent {
	}

	/**
	 * Reclaim notices were read.
	 *
	 * @param lastNumber the number of the last notice read
	 * @param remainingMillis the time that each reclaimed VM has left, in milliseconds
	 */
	record NoticesRead(long lastNumber, Map<VmId, Long> remainingMillis) implements CapacityEvent {
	}

	/**
	 * Another process reported that a VM is leaving, which is final.
	 *
	 * @param vm the VM
	 */
	record LeavingReported(VmId vm) implements CapacityEvent {
	}

	/**
	 * A read of the platform failed; it is retried later.
	 *
	 * @param source what was read
	 */
	record ReadFailed(CapacityCommand.Source source) implements CapacityEvent {
	}

	// -- purchases

	/**
	 * All open intents were read.
	 *
	 * @param intents the intents
	 */
	record IntentsRead(List<Intent> intents) implements CapacityEvent {
	}

	/**
	 * An intent was written to the table service.
	 *
	 * @param token the token of the purchase
	 */
	record IntentWritten(String token) implements CapacityEvent {
	}

	/**
	 * An intent could not be written or deleted, or the outcome is unknown.
	 *
	 * @param token the token of the purchase
	 */
	record IntentFailed(String token) implements CapacityEvent {
	}

	/**
	 * An intent is no longer in the table service.
	 *
	 * @param token the token of the purchase
	 */
	record IntentDeleted(String token) implements CapacityEvent {
	}

	/**
	 * The cloud sold a VM.
	 *
	 * @param token the token of the purchase
	 * @param vm the VM
	 */
	record Bought(String token, CloudVm vm) implements CapacityEvent {
	}

	/**
	 * The cloud refused to start a VM.
	 *
	 * @param token the token of the purchase
	 */
	record BuyRefused(String token) implements CapacityEvent {
	}

	/**
	 * It is unknown whether the cloud sold a VM.
	 *
	 * @param token the token of the purchase
	 */
	record BuyOutcomeUnknown(String token) implements CapacityEvent {
	}

	/**
	 * The cloud confirmed the release of a VM.
	 *
	 * @param vm the VM
	 */
	record Released(VmId vm) implements CapacityEvent {
	}

	/**
	 * The cloud did not confirm the release of a VM.
	 *
	 * @param vm the VM
	 */
	record ReleaseFailed(VmId vm) implements CapacityEvent {
	}

	// -- backend servers

	/**
	 * A backend server reported its state in response to a read or an order.
	 *
	 * @param vm the VM
	 * @param requestedNanos when the request was sent
	 * @param state its state
	 */
	record StateRead(VmId vm, long requestedNanos, ServerState state) implements CapacityEvent {
	}

	/**
	 * A backend server did not respond to a read or an order.
	 *
	 * @param vm the VM
	 */
	record StateUnknown(VmId vm) implements CapacityEvent {
	}

}
