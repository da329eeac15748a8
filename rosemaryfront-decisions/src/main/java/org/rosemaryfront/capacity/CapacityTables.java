package org.rosemaryfront.capacity;

import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.rosemaryfront.capacity.CapacityCommand.Source;
import org.rosemaryfront.model.Configuration;
import org.rosemaryfront.model.VmId;

/** The entities that the capacity systems process; owned by the control thread. */
final class CapacityTables {

	private static final int MAX_LEAVING_VMS = 4_000;

	final CapacitySettings settings;

	final SplittableRandom random;

	final SortedMap<VmId, VmRow> vms = new TreeMap<>();

	/** VMs reported as leaving, which is final; kept across leases. */
	final Set<VmId> leaving = new LinkedHashSet<>();

	final SortedMap<String, IntentRow> intents = new TreeMap<>();

	final SortedMap<OfferKey, OfferRow> offers = new TreeMap<>();

	final SortedMap<String, PoolRow> pools = new TreeMap<>();

	final Map<Source, SourceRow> sources = new EnumMap<>(Source.class);

	Configuration configuration = Configuration.empty();

	boolean leaseHeld;

	long fence;

	long leaseTakenNanos;

	long lastNoticeNumber;

	long purchaseCount;

	CapacityTables(CapacitySettings settings, long seed) {
		this.settings = settings;
		this.random = new SplittableRandom(seed);
		for (Source source : Source.values()) {
			this.sources.put(source, new SourceRow());
		}
	}

	// Returns whether enough state was read under this lease to act. Without the intents,
	// purchases of an earlier lease holder would be repeated; without the VMs, every VM
	// would be bought again.
	boolean isSynchronised() {
		return this.leaseHeld && this.configuration.revision() > 0
				&& this.sources.values().stream().allMatch((source) -> source.readUnderLease);
	}

	// Returns the time from which orders may be sent to a pool. Engines that ignore the
	// fencing number may accept an order of the previous lease holder while it is valid.
	long ordersAllowedFromNanos(PoolRow pool) {
		return pool.ignoresFencing()
				? this.leaseTakenNanos + CapacitySettings.toNanos(this.settings.orderValidityMillis())
				: this.leaseTakenNanos;
	}

	// Returns whether the engine's last report is recent enough to act on under this
	// lease.
	boolean isStateCurrent(PoolRow pool, VmRow row) {
		return row.actualState.isPresent() && row.stateRequestedNanos - ordersAllowedFromNanos(pool) >= 0;
	}

	// Returns a random time from half to one and a half times the given one, in
	// nanoseconds.
	long jittered(long millis) {
		long nanos = CapacitySettings.toNanos(millis);
		return nanos / 2 + this.random.nextLong(nanos + 1);
	}

	// Records that a VM is leaving. A process without the lease has no row for the VM;
	// without this record it would return the VM to service after taking the lease, while
	// the entries no longer send requests to it.
	void markLeaving(VmId vm) {
		this.leaving.add(vm);
		if (this.leaving.size() > MAX_LEAVING_VMS) {
			this.leaving.remove(this.leaving.iterator().next());
		}
	}

	VmRow findOrAdd(CloudVm vm, long nowNanos) {
		VmRow row = this.vms.computeIfAbsent(vm.id(), (_) -> new VmRow(vm, nowNanos));
		if (this.leaving.contains(vm.id())) {
			row.startDrain(nowNanos, "said-to-be-leaving");
		}
		return row;
	}

	// Groups VMs and open purchases by pool, for the systems of this tick.
	void groupByPool() {
		this.pools.values().forEach(PoolRow::reset);
		for (VmRow row : this.vms.values()) {
			PoolRow pool = this.pools.get(row.vm.pool());
			if (pool != null) {
				pool.add(row);
			}
		}
		this.offers.values().forEach((offer) -> offer.openPurchases = 0);
		for (IntentRow row : this.intents.values()) {
			if (row.isOpen()) {
				countPurchase(row);
			}
		}
	}

	void countPurchase(IntentRow row) {
		PoolRow pool = this.pools.get(row.intent.pool());
		if (pool != null) {
			pool.add(row);
		}
		OfferRow offer = this.offers.get(row.intent.sort());
		if (offer != null) {
			offer.openPurchases++;
		}
	}

}
