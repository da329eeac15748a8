package org.rosemaryfront.entry;

import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;
import java.util.stream.Stream;

import org.rosemaryfront.membership.MemberState;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.peer.MemberView;
import org.rosemaryfront.peer.PeerSettings;

/**
 * The other entry processes as this one knows them now.
 */
final class OtherEntries {

	private final VmId own;

	private final Supplier<List<MemberView>> members;

	private OtherEntries(VmId own, Supplier<List<MemberView>> members) {
		this.own = own;
		this.members = members;
	}

	/**
	 * The other entries among the members.
	 * @param own the VM of this process
	 * @param members the members as known now
	 * @return the other entries
	 */
	static OtherEntries of(VmId own, Supplier<List<MemberView>> members) {
		return new OtherEntries(Objects.requireNonNull(own, "own is null"),
				Objects.requireNonNull(members, "members is null"));
	}

	/**
	 * The peer listeners of the entries that take requests.
	 * @return addresses, {@code host:port}
	 */
	List<String> addresses() {
		return alive().map(MemberView::address).toList();
	}

	/**
	 * How many entries take requests, this one included.
	 * @return the number
	 */
	int live() {
		return (int) alive().count() + 1;
	}

	/**
	 * Whether the entry on a VM is dead as far as the members know. One that is leaving
	 * still finishes what it holds; it counts as gone once it answers no more.
	 * @param vm the VM
	 * @return false also for an entry that was never heard of
	 */
	boolean gone(VmId vm) {
		return others().anyMatch((member) -> member.vm().equals(vm) && member.state() == MemberState.DEAD);
	}

	private Stream<MemberView> alive() {
		return others().filter((member) -> member.state() == MemberState.ALIVE);
	}

	private Stream<MemberView> others() {
		return this.members.get()
			.stream()
			.filter((member) -> member.role().equals(PeerSettings.ENTRY) && !member.vm().equals(this.own));
	}

}
