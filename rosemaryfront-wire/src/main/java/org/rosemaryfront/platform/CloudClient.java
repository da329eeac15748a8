package org.rosemaryfront.platform;

import java.util.List;

import reactor.core.publisher.Mono;

import org.rosemaryfront.model.VmId;

/**
 * The platform's cloud API and VM list; docs/INTERFACES.md gives the protocol.
 */
public interface CloudClient {

	/**
	 * Buys a VM; idempotent by its client token.
	 * @param purchase what to buy
	 * @return the VM; an error of {@link PlatformException}, with the verdict not-run
	 * when the cloud refused the start
	 */
	Mono<Vm> buy(Purchase purchase);

	/**
	 * Gives a VM back; idempotent.
	 * @param vm the VM
	 * @return when the cloud has taken it
	 */
	Mono<Void> release(VmId vm);

	/**
	 * All VMs that were bought, as the cloud knows them now.
	 * @return the VMs
	 */
	Mono<List<Vm>> vms();

	/**
	 * What VMs cost, and how often they are reclaimed.
	 * @return the offers
	 */
	Mono<List<Offer>> offers();

	/**
	 * Reclaim notices.
	 * @param after the number of the last notice known, 0 for none
	 * @return later notices
	 */
	Mono<List<Notice>> notices(long after);

	/**
	 * The lagging list of live and leaving VMs.
	 * @return the list
	 */
	Mono<List<Listed>> vmList();

	// -- values

	/**
	 * An order for a VM.
	 *
	 * @param clientToken names the purchase, so that repeating it buys nothing twice
	 * @param pool the name of the pool it is for
	 * @param zone the availability zone
	 * @param machineClass the machine class
	 * @param market how it is sold
	 */
	record Purchase(String clientToken, String pool, String zone, String machineClass, Market market) {
	}

	/**
	 * A VM as the cloud knows it.
	 *
	 * @param id the VM
	 * @param clientToken the purchase it came from
	 * @param pool the name of its pool
	 * @param zone its availability zone
	 * @param machineClass its machine class
	 * @param market how it was sold
	 * @param state its state
	 * @param address the address of its backend server, {@code host:port}, empty until it
	 * runs
	 */
	record Vm(VmId id, String clientToken, String pool, String zone, String machineClass, Market market, VmState state,
			String address) {
	}

	/**
	 * What VMs of one sort cost.
	 *
	 * @param zone the availability zone
	 * @param machineClass the machine class
	 * @param market how they are sold
	 * @param pricePerHour the price of one VM for an hour
	 * @param reclaimsPerHour how many of a hundred are reclaimed an hour, divided by 100
	 */
	record Offer(String zone, String machineClass, Market market, double pricePerHour, double reclaimsPerHour) {
	}

	/**
	 * A reclaim notice.
	 *
	 * @param number the number of the notice
	 * @param vm the VM
	 * @param remainingMillis the time left when the answer was sent, in milliseconds
	 */
	record Notice(long number, VmId vm, long remainingMillis) {
	}

	/**
	 * A VM in the lagging list.
	 *
	 * @param vm the VM
	 * @param role {@code runner}, {@code service} or {@code entry}
	 * @param pool the name of its pool, empty for entry VMs
	 * @param zone its availability zone
	 * @param address its address, {@code host:port}; for entry VMs that of the peer
	 * listener
	 * @param leaving whether it is leaving
	 */
	record Listed(VmId vm, String role, String pool, String zone, String address, boolean leaving) {
	}

	/** How a VM is sold. */
	enum Market {

		/** Cheap, and may be reclaimed at short notice. */
		RECLAIMABLE,

		/** Kept until given back. */
		ON_DEMAND

	}

	/** The state of a VM. */
	enum VmState {

		/** It is starting. */
		STARTING,

		/** It runs. */
		RUNNING,

		/** A reclaim notice was given. */
		RECLAIMING,

		/** It is gone. */
		GONE

	}

}
