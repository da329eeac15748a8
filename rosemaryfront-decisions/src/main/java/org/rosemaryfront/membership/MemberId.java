package org.rosemaryfront.membership;

import java.util.Comparator;
import java.util.Objects;

import org.rosemaryfront.model.VmId;

/**
 * The identity of a member: a VM runs one process of each role.
 *
 * @param vm the VM
 * @param role {@link #ENTRY} or {@link #CONTROLLER}
 */
public record MemberId(VmId vm, String role) implements Comparable<MemberId> {

	/** The role of an entry process. */
	public static final String ENTRY = "entry";

	/** The role of a controller process. */
	public static final String CONTROLLER = "controller";

	private static final Comparator<MemberId> ORDER = Comparator.comparing(MemberId::vm).thenComparing(MemberId::role);

	public MemberId {
		Objects.requireNonNull(vm, "vm is null");
		Objects.requireNonNull(role, "role is null");
	}

	@Override
	public int compareTo(MemberId other) {
		return ORDER.compare(this, other);
	}

	@Override
	public String toString() {
		return this.vm + "/" + this.role;
	}

}
