package org.rosemaryfront.standin.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.rosemaryfront.model.VmId;
import org.rosemaryfront.platform.CloudClient.Listed;

/**
 * The VM list: shows every change only after a lag, and none while it is frozen.
 */
final class VmList {

	private final long lagMillis;

	private final Map<VmId, Listed> visible = new TreeMap<>();

	private final Map<VmId, Listed> actual = new TreeMap<>();

	private final Deque<Change> pending = new ArrayDeque<>();

	private VmList(long lagMillis) {
		this.lagMillis = lagMillis;
	}

	/**
	 * An empty list.
	 * @param lagMillis how late changes show, in milliseconds
	 * @return the list
	 */
	static VmList of(long lagMillis) {
		return new VmList(lagMillis);
	}

	/**
	 * Puts a VM into the list, in place of its earlier entry.
	 * @param listed the entry
	 * @param nowMillis the time now, in milliseconds
	 */
	void add(Listed listed, long nowMillis) {
		this.actual.put(listed.vm(), listed);
		this.pending.add(new Change(nowMillis + this.lagMillis, listed.vm(), Optional.of(listed)));
	}

	/**
	 * Marks a VM as leaving, when it is in the list.
	 * @param vm the VM
	 * @param nowMillis the time now, in milliseconds
	 */
	void leaving(VmId vm, long nowMillis) {
		find(vm).ifPresent((listed) -> add(
				new Listed(vm, listed.role(), listed.pool(), listed.zone(), listed.address(), true), nowMillis));
	}

	/**
	 * Takes a VM out of the list.
	 * @param vm the VM
	 * @param nowMillis the time now, in milliseconds
	 */
	void remove(VmId vm, long nowMillis) {
		if (this.actual.remove(vm) != null) {
			this.pending.add(new Change(nowMillis + this.lagMillis, vm, Optional.empty()));
		}
	}

	/**
	 * The entry of a VM as it is, without the lag.
	 * @param vm the VM
	 * @return the entry, empty when there is none
	 */
	Optional<Listed> find(VmId vm) {
		return Optional.ofNullable(this.actual.get(vm));
	}

	/**
	 * All entries as they are, without the lag.
	 * @return the entries by VM
	 */
	List<Listed> actual() {
		return List.copyOf(this.actual.values());
	}

	/**
	 * What a reader sees.
	 * @param frozen whether the list stays as it was last seen
	 * @param nowMillis the time now, in milliseconds
	 * @return the entries by VM
	 */
	List<Listed> visible(boolean frozen, long nowMillis) {
		while (!frozen && !this.pending.isEmpty() && this.pending.peek().showMillis <= nowMillis) {
			Change change = this.pending.remove();
			change.listed.ifPresentOrElse((listed) -> this.visible.put(change.vm, listed),
					() -> this.visible.remove(change.vm));
		}
		return List.copyOf(this.visible.values());
	}

	private record Change(long showMillis, VmId vm, Optional<Listed> listed) {
	}

}
