package org.rosemaryfront.standin.platform;

import org.rosemaryfront.model.VmId;

/** What the cloud does to the machine behind a slot. */
public sealed interface MachineAction {

	/**
	 * The address of the machine.
	 * @return {@code host:port}
	 */
	String address();

	/**
	 * The VM.
	 * @return its identifier
	 */
	VmId vm();

	/**
	 * A VM boots on the machine.
	 *
	 * @param vm the VM
	 * @param pool the name of its pool
	 * @param address the address of the machine
	 */
	record Boot(VmId vm, String pool, String address) implements MachineAction {
	}

	/**
	 * The VM ends; the machine loses everything at once.
	 *
	 * @param vm the VM
	 * @param address the address of the machine
	 */
	record Halt(VmId vm, String address) implements MachineAction {
	}

}
