package org.rosemaryfront.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.rosemaryfront.capacity.CloudVm.State;

/**
 * Gives VMs back: those that are too many, that no declared pool owns, that never booted
 * or that stay silent. Each is drained first, so that no stream is cut off: it takes no
 * new work, and is released when nothing runs on it or at the drain's limit.
 */
final class DrainSystem {

	private DrainSystem() {
	}

	static void run(CapacityTables tables, long nowNanos, List<CapacityCommand> commands) {
		for (PoolRow row : tables.pools.values()) {
			drainSurplus(tables, row, nowNanos);
			drainSilent(tables, row, nowNanos);
		}
		for (VmRow row : tables.vms.values()) {
			if (!tables.pools.containsKey(row.vm.pool())) {
				row.drain(nowNanos, "no-such-pool");
			}
			if (row.vm.state() == State.STARTING
					&& isOver(row.firstSeenNanos, tables.settings.bootMillis(), nowNanos)) {
				row.drain(nowNanos, "did-not-boot");
			}
			if (row.draining) {
				advance(tables, row, nowNanos, commands);
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
			VmRow least = ready.stream()
				.max(Comparator.comparingInt((VmRow vm) -> excess(row, vm))
					.thenComparingDouble((vm) -> PlacementSystem.score(tables, vm))
					.thenComparing((vm) -> vm.id))
				.orElseThrow();
			ready.remove(least);
			row.counted.merge(least.zone(), -1, Integer::sum);
			row.total--;
			least.drain(nowNanos, "surplus: pool wants " + row.plan.total());
		}
	}

	private static int excess(PoolRow row, VmRow vm) {
		return Math.max(0, row.in(vm.zone()) - row.plan.in(vm.zone()));
	}

	// Replaces engines that no longer answer. When most of a pool is silent, this process
	// is the one that is cut off: giving all of them back would end every stream.
	private static void drainSilent(CapacityTables tables, PoolRow row, long nowNanos) {
		long silent = row.vms.stream().filter((vm) -> vm.silentSinceNanos.isPresent()).count();
		if (silent * 2 > Math.max(2, row.vms.size())) {
			return;
		}
		row.vms.stream()
			.filter((vm) -> vm.counts() && vm.silentSinceNanos.isPresent()
					&& isOver(vm.silentSinceNanos.getAsLong(), tables.settings.unreachableMillis(), nowNanos))
			.forEach((vm) -> vm.drain(nowNanos, "unreachable"));
	}

	private static void advance(CapacityTables tables, VmRow row, long nowNanos, List<CapacityCommand> commands) {
		if (!row.announced) {
			row.announced = true;
			commands.add(new CapacityCommand.AnnounceLeaving(row.id, tables.settings.drainMillis(), row.drainReason));
		}
		if (row.vm.state() == State.RECLAIMING || row.releasing || nowNanos - row.nextReleaseNanos < 0) {
			return;
		}
		PoolRow pool = tables.pools.get(row.vm.pool());
		String ended = ended(tables, pool, row, nowNanos);
		if (!ended.isEmpty()) {
			row.releasing = true;
			commands.add(new CapacityCommand.Release(row.id, row.drainReason + ", " + ended));
		}
	}

	// Why a drained VM may be released now, empty when it may not.
	private static String ended(CapacityTables tables, PoolRow pool, VmRow row, long nowNanos) {
		if (row.vm.state() == State.STARTING) {
			return isOver(row.firstSeenNanos, tables.settings.bootMillis(), nowNanos) ? "never-ran" : "";
		}
		boolean service = pool != null && !pool.servesModels();
		if (service) {
			return isOver(row.drainSinceNanos, tables.settings.serviceDrainMillis(), nowNanos) ? "drain-time-over" : "";
		}
		if (isOver(row.drainSinceNanos, tables.settings.drainMillis(), nowNanos)) {
			return "drain-limit";
		}
		boolean idle = row.actualAskedNanos - row.drainSinceNanos >= 0
				&& row.actual.map((state) -> state.draining() && state.running() == 0).orElse(false);
		return idle ? "idle" : "";
	}

	static boolean isOver(long sinceNanos, long millis, long nowNanos) {
		return nowNanos - sinceNanos >= CapacitySettings.nanos(millis);
	}

}
