package org.rosemaryfront.membership;

import java.util.Objects;

import org.rosemaryfront.model.VmId;

/**
 * A backend server is leaving; final for its VM.
 *
 * @param vm the VM
 * @param remainingMillis the time left when this was said, in milliseconds, negative when
 * unknown
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
