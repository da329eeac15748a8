package org.rosemaryfront.entry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.model.VmId;
import org.rosemaryfront.platform.CloudClient.Listed;
import org.rosemaryfront.serving.ServingEvent;
import org.rosemaryfront.serving.ServingEvent.LeavingSource;

/**
 * The backend servers that this process knows, and which of them are leaving.
 *
 * <p>
 * Leaving is final for a VM and comes from whichever source is first: an old list that
 * still shows the VM as alive changes nothing. Readers get immutable snapshots.
 */
final class ServerDirectory {

	/** Polls of the VM list that must miss a VM in a row before it counts as gone. */
	private static final int MISSED_LISTS_UNTIL_GONE = 3;

	private static final int GREATEST_DEPARTED = 20_000;

	private final VmId own;

	private final Listener listener;

	private final Set<VmId> leaving = new HashSet<>();

	private final Map<VmId, Integer> missed = new TreeMap<>();

	private volatile Map<VmId, Known> servers = Map.of();

	ServerDirectory(VmId own, Listener listener) {
		this.own = Objects.requireNonNull(own, "own is null");
		this.listener = Objects.requireNonNull(listener, "listener is null");
	}

	// -- changes

	/**
	 * Takes the VM list.
	 * @param list the VMs listed; other entry VMs are left out
	 */
	synchronized void listed(List<Listed> list) {
		Map<VmId, Known> next = new TreeMap<>(this.servers);
		Set<VmId> present = new HashSet<>();
		for (Listed vm : list) {
			if (!vm.role().equals("entry") && !vm.address().isEmpty()) {
				present.add(vm.vm());
				see(next, vm);
			}
		}
		forgetMissing(next, present);
		this.servers = Map.copyOf(next);
		list.stream()
			.filter((vm) -> vm.leaving() && (!vm.role().equals("entry") || vm.vm().equals(this.own)))
			.forEach((vm) -> left(vm.vm(), LeavingSource.VM_LIST, -1));
	}

	/**
	 * Notes that a backend server, or the VM of this process, is leaving.
	 * @param vm the VM
	 * @param source who said so
	 * @param remainingMillis the time left, in milliseconds, negative when unknown
	 * @return whether it was not known before
	 */
	synchronized boolean left(VmId vm, LeavingSource source, long remainingMillis) {
		// Guards against an entry that takes the notice of its own VM for a backend
		// server's: it would serve on until the VM ends and lose what it holds. Every
		// source passes here. A later source may know the time that an earlier one did
		// not.
		if (vm.equals(this.own)) {
			this.listener.reclaimed(remainingMillis);
			return this.leaving.add(vm);
		}
		if (this.leaving.size() >= GREATEST_DEPARTED) {
			this.leaving.retainAll(this.servers.keySet());
		}
		if (!this.leaving.add(vm)) {
			return false;
		}
		Map<VmId, Known> next = new TreeMap<>(this.servers);
		next.computeIfPresent(vm, (_, known) -> known.departing());
		this.servers = Map.copyOf(next);
		EventLog.info(ServingEvents.SERVER_LEAVING, "server", vm, "source", source, "remainingMillis", remainingMillis);
		this.listener.leaving(vm, source, remainingMillis);
		return true;
	}

	private void see(Map<VmId, Known> next, Listed vm) {
		this.missed.remove(vm.vm());
		Known known = new Known(vm.vm(), vm.role(), vm.pool(), vm.zone(), vm.address(), this.leaving.contains(vm.vm()));
		Known before = next.put(vm.vm(), known);
		if (known.isRunner() && !known.leaving() && !vm.leaving() && !known.equals(before)) {
			this.listener.post(new ServingEvent.ServerDiscovered(vm.vm(), vm.pool(), vm.zone(), vm.address()));
		}
	}

	private void forgetMissing(Map<VmId, Known> next, Set<VmId> present) {
		for (VmId vm : List.copyOf(next.keySet())) {
			if (!present.contains(vm) && this.missed.merge(vm, 1, Integer::sum) >= MISSED_LISTS_UNTIL_GONE) {
				this.missed.remove(vm);
				next.remove(vm);
				EventLog.info(ServingEvents.SERVER_GONE, "server", vm);
				this.listener.post(new ServingEvent.ServerTerminated(vm));
			}
		}
	}

	// -- queries

	/**
	 * All backend servers known.
	 * @return a snapshot
	 */
	List<Known> all() {
		return new ArrayList<>(this.servers.values());
	}

	/**
	 * The model runners known, leaving ones left out.
	 * @return a snapshot
	 */
	List<Known> runners() {
		return this.servers.values().stream().filter((known) -> known.isRunner() && !known.leaving()).toList();
	}

	/**
	 * Finds a backend server.
	 * @param vm the VM
	 * @return the server, empty when it is not known
	 */
	Optional<Known> find(VmId vm) {
		return Optional.ofNullable(this.servers.get(vm));
	}

	/**
	 * A backend server.
	 *
	 * @param vm the VM
	 * @param role {@code runner} or {@code service}
	 * @param pool the name of its pool
	 * @param zone its availability zone
	 * @param address its address, {@code host:port}
	 * @param leaving whether it is leaving
	 */
	record Known(VmId vm, String role, String pool, String zone, String address, boolean leaving) {

		boolean isRunner() {
			return this.role.equals("runner");
		}

		Known departing() {
			return new Known(this.vm, this.role, this.pool, this.zone, this.address, true);
		}

	}

	/** Learns what changed. */
	interface Listener {

		/**
		 * Takes an event for the control thread.
		 * @param event what changed
		 */
		void post(ServingEvent event);

		/**
		 * A backend server is leaving; told once a VM.
		 * @param vm the VM
		 * @param source who said so
		 * @param remainingMillis the time left, in milliseconds, negative when unknown
		 */
		void leaving(VmId vm, LeavingSource source, long remainingMillis);

		/**
		 * The VM of this process is leaving; told by each source.
		 * @param remainingMillis the time left, in milliseconds, negative when unknown
		 */
		void reclaimed(long remainingMillis);

	}

}
