package org.rosemaryfront.services;

import java.util.Objects;

import org.rosemaryfront.model.VmId;

/**
 * How this entry calls plain services.
 *
 * @param vm the VM of this entry, written into every claim
 * @param zone the availability zone of this entry
 * @param callMillis the time from the arrival of a call to its final answer, in
 * milliseconds
 * @param storeMillis the part of it kept for storing the outcome, in milliseconds
 * @param connectMillis the time to open a connection to a backend server, in milliseconds
 * @param waitMillis how long a repeat waits for the running call, in milliseconds
 * @param groupMillis how long a claim write waits for others to share its transaction, in
 * milliseconds; 0 sends each alone
 * @param requestLimit the largest body of a call, in bytes
 * @param answerLimit the largest answer of a non-idempotent call, in bytes
 * @param outcomeLimit the largest answer kept for repeats, in bytes
 * @param openLimit the greatest number of non-idempotent calls that are open, those
 * answered and not yet settled in the table service included
 * @param retriesPerCall the greatest number of further backend servers tried for a call
 */
public record ServiceCallSettings(VmId vm, String zone, int callMillis, int storeMillis, int connectMillis,
		int waitMillis, int groupMillis, int requestLimit, int answerLimit, int outcomeLimit, int openLimit,
		int retriesPerCall) {

	public ServiceCallSettings {
		Objects.requireNonNull(vm, "vm is null");
		Objects.requireNonNull(zone, "zone is null");
		if (callMillis <= storeMillis) {
			throw new IllegalArgumentException("callMillis must be greater than storeMillis");
		}
	}

	/**
	 * The settings that hold when nothing is said.
	 * @param vm the VM of this entry
	 * @param zone the availability zone of this entry
	 * @return 20 s for a call, 2 s of them for storing, 1 s for a connection, 3 ms for
	 * grouping, 1 MiB for a call, 4 MiB for an answer, 64 KiB for a kept one
	 */
	public static ServiceCallSettings standard(VmId vm, String zone) {
		return new ServiceCallSettings(vm, zone, 20_000, 2_000, 1_000, 15_000, 3, 1 << 20, 4 << 20, 64 << 10, 4_000, 2);
	}

}
