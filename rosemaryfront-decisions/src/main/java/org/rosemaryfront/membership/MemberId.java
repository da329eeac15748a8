package org.rosemaryfront.membership;

import java.util.Objects;

import org.rosemaryfront.model.VmId;

/**
 * Identity of a member. A VM runs one process per role.
 *
 * @param vm the VM
 * @param role {@link #ENTRY} or {@link #CONTROLLER}
 */
public record MemberId(VmId vm, String role) implements Comparable<MemberId> {

	/** The role of an entry process. */
	public static final String ENTRY = "entry";

	/** The role of a controller process. */
	public static final String CONTROLLER = "controller";

	public MemberId {
		Objects.requireNonNull(vm, "vm is null");
		Objects.requireNonNull(role, "role is null");
	}

	@Override
	public int compareTo(MemberId other) {
		int byVm = this.vm.compareTo(other.vm);
		return (byVm != 0) ? byVm : this.role.compareTo(other.role);
	}

	@Override
	public String toString() {
		return this.vm + "/" + this.role;
	}

}
