package org.rosemaryfront.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.rosemaryfront.capacity.CloudVm.State;

/**
 * Releases VMs that are surplus, belong to no declared pool, did not boot or have an
 * unresponsive engine. Each VM is drained first so that no stream is interrupted: it
 * accepts no new work and is released when nothing runs on it or when the drain limit has
 * passed.
 */
final class DrainSystem {

	private DrainSystem() {
	}

	static void run(CapacityTables tables, long nowNanos, List<CapacityCommand> commands) {
		for (PoolRow row : tables.pools.values()) {
			drainSurplus(tables, row, nowNanos);
			drainUnresponsive(tables, row, nowNanos);
		}
		for (VmRow row : tables.vms.values()) {
			if (!tables.pools.containsKey(row.vm.pool())) {
				row.startDrain(nowNanos, "no-such-pool");
			}
			if (row.vm.state() == State.STARTING
					&& hasElapsed(row.firstSeenNanos, tables.settings.bootMillis(), nowNanos)) {
				row.startDrain(nowNanos, "did-not-boot");
			}
			if (row.draining) {
				advanceDrain(tables, row, nowNanos, commands);
			}
		}
	}

	private static void drainSurplus(CapacityTables tables, PoolRow row, long nowNanos) {
		List<VmRow> ready = new ArrayList<>(row.vms.stream().filter(row::isReady).toList());
		int surplus = ready.size() - row.plan.total();
		if (surplus <= 0 || (row.plan.total() == 0 && row.pool.minimum() > 0)) {
			return;
		}
		for (int i = 0; i < surplus; i++) {
			VmRow selected = ready.stream()
				.max(Comparator.comparingInt((VmRow vm) -> excess(row, vm))
					.thenComparingDouble((vm) -> PlacementSystem.effectivePrice(tables, vm))
					.thenComparing((vm) -> vm.id))
				.orElseThrow();
			ready.remove(selected);
			row.countByZone.merge(selected.zone(), -1, Integer::sum);
			row.totalCount--;
			selected.startDrain(nowNanos, "surplus: planned pool size is " + row.plan.total());
		}
	}

	private static int excess(PoolRow row, VmRow vm) {
		return Math.max(0, row.countIn(vm.zone()) - row.plan.countIn(vm.zone()));
	}

	// Replaces engines that no longer respond. If more than half of a pool is
	// unresponsive, this process is assumed to be disconnected: releasing all these VMs
	// would end every stream.
	private static void drainUnresponsive(CapacityTables tables, PoolRow row, long nowNanos) {
		long unresponsive = row.vms.stream().filter((vm) -> vm.unresponsiveSinceNanos.isPresent()).count();
		if (unresponsive * 2 > Math.max(2, row.vms.size())) {
			return;
		}
		row.vms.stream()
			.filter((vm) -> vm.countsTowardsSize() && vm.unresponsiveSinceNanos.isPresent()
					&& hasElapsed(vm.unresponsiveSinceNanos.getAsLong(), tables.settings.unreachableMillis(), nowNanos))
			.forEach((vm) -> vm.startDrain(nowNanos, "unreachable"));
	}

	private static void advanceDrain(CapacityTables tables, VmRow row, long nowNanos, List<CapacityCommand> commands) {
		if (!row.leavingAnnounced) {
			row.leavingAnnounced = true;
			commands.add(new CapacityCommand.AnnounceLeaving(row.id, tables.settings.drainMillis(), row.drainReason));
		}
		if (row.vm.state() == State.RECLAIMING || row.releasePending || nowNanos - row.nextReleaseNanos < 0) {
			return;
		}
		PoolRow pool = tables.pools.get(row.vm.pool());
		String releaseReason = releaseReason(tables, pool, row, nowNanos);
		if (!releaseReason.isEmpty()) {
			row.releasePending = true;
			commands.add(new CapacityCommand.Release(row.id, row.drainReason + ", " + releaseReason));
		}
	}

	// Returns why a drained VM may be released now, empty if it may not.
	private static String releaseReason(CapacityTables tables, PoolRow pool, VmRow row, long nowNanos) {
		if (row.vm.state() == State.STARTING) {
			return hasElapsed(row.firstSeenNanos, tables.settings.bootMillis(), nowNanos) ? "never-ran" : "";
		}
		boolean service = pool != null && !pool.servesModels();
		if (service) {
			return hasElapsed(row.drainStartNanos, tables.settings.serviceDrainMillis(), nowNanos) ? "drain-time-over"
					: "";
		}
		if (hasElapsed(row.drainStartNanos, tables.settings.drainMillis(), nowNanos)) {
			return "drain-limit";
		}
		boolean idle = row.stateRequestedNanos - row.drainStartNanos >= 0
				&& row.actualState.map((state) -> state.draining() && state.running() == 0).orElse(false);
		return idle ? "idle" : "";
	}

	static boolean hasElapsed(long sinceNanos, long millis, long nowNanos) {
		return nowNanos - sinceNanos >= CapacitySettings.toNanos(millis);
	}

}
