package org.rosemaryfront.peer;

import java.util.Objects;

import org.rosemaryfront.membership.MemberState;
import org.rosemaryfront.model.VmId;

/**
 * A member as this process knows it now.
 *
 * @param vm the VM it runs on
 * @param address the address of its peer listener, {@code host:port}
 * @param zone its availability zone
 * @param role {@code entry} or {@code controller}
 * @param state what is known of it
 * @param incarnation tells its runs on one VM apart; grows
 * @param revision the configuration revision last heard to be in force there
 */
public record MemberView(VmId vm, String address, String zone, String role, MemberState state, long incarnation,
		long revision) {

	public MemberView {
		Objects.requireNonNull(vm, "vm is null");
		Objects.requireNonNull(address, "address is null");
		Objects.requireNonNull(zone, "zone is null");
		Objects.requireNonNull(role, "role is null");
		Objects.requireNonNull(state, "state is null");
	}

}
