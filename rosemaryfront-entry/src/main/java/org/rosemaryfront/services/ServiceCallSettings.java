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

}
