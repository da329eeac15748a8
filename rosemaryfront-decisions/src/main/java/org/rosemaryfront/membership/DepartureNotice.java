package org.rosemaryfront.membership;

import java.util.Objects;

import org.rosemaryfront.model.VmId;

/**
 * Notice that a backend server is leaving; a departure is final for its VM.
 *
 * @param vm the VM
 * @param remainingMillis the time until the VM terminates, counted from the creation of
 * the notice, in milliseconds; negative when unknown
 */
public record DepartureNotice(VmId vm, long remainingMillis) {

	private static final int FIXED_BYTES = 16;

	public DepartureNotice {
		Objects.requireNonNull(vm, "vm is null");
	}

	int estimatedBytes() {
		return FIXED_BYTES + this.vm.value().length();
	}

}
