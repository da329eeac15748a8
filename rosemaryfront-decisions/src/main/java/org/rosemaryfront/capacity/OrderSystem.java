package org.rosemaryfront.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import org.rosemaryfront.model.Resource;

/**
 * Sends model engines the orders that bring them to the declared state. An order contains
 * the complete desired state, so that repeating it is harmless. A new version is loaded
 * while the old one still serves, in one zone at a time, and the old one is dropped only
 * after the new one is loaded, so that capacity is not reduced. The old version is kept
 * until no stream runs on it or the drain limit has passed. The number of engines that
 * load concurrently is limited because of the throughput of the weight store.
 */
final class OrderSystem {

	private OrderSystem() {
	}

	static void run(CapacityTables tables, long nowNanos, List<CapacityCommand> commands) {
		int availableLoads = tables.settings.loadsAtOnce() - countLoadingEngines(tables);
		for (PoolRow pool : tables.pools.values()) {
			if (!pool.servesModels() || nowNanos - tables.ordersAllowedFromNanos(pool) < 0) {
				continue;
			}
			updateDesiredVersions(tables, pool);
			String updatingZone = updatingZone(tables, pool);
			for (VmRow row : pool.vms) {
				if (!row.isRunning() || row.requestPending || !tables.isStateCurrent(pool, row)) {
					continue;
				}
				Action action = nextAction(tables, pool, row, nowNanos);
				boolean mustWait = action == Action.LOAD
						&& (availableLoads <= 0 || (hasLoadedModels(row) && !row.zone().equals(updatingZone)));
				if (action == Action.NONE || mustWait) {
					continue;
				}
				availableLoads -= (action == Action.LOAD) ? 1 : 0;
				commands.add(createOrder(pool, row, action));
				row.requestPending = true;
			}
		}
	}

	private static void updateDesiredVersions(CapacityTables tables, PoolRow pool) {
		pool.desiredModels = pool.pool.models()
			.stream()
			.flatMap((name) -> tables.configuration.find(Resource.Model.class, name).stream())
			.map((model) -> model.name() + "@" + model.version())
			.sorted()
			.toList();
		pool.desiredAdapters = tables.configuration.all(Resource.Adapter.class)
			.filter((adapter) -> pool.pool.models().contains(adapter.model()))
			.map((adapter) -> adapter.name() + "@" + adapter.version())
			.sorted()
			.toList();
	}

	private static int countLoadingEngines(CapacityTables tables) {
		return (int) tables.vms.values()
			.stream()
			.filter((row) -> row.isRunning()
					&& row.actualState.map((state) -> !state.loading().isEmpty()).orElse(false))
			.count();
	}

	private static Action nextAction(CapacityTables tables, PoolRow pool, VmRow row, long nowNanos) {
		ServerState state = row.actualState.orElseThrow();
		if (row.draining) {
			return (state.draining() && state.fence() >= tables.fence) ? Action.NONE : Action.DRAIN;
		}
		if (isMissingVersions(pool, state)) {
			boolean inProgress = !state.loading().isEmpty() && state.fence() >= tables.fence
					&& row.lastLoadOrder.equals(desiredState(pool));
			return inProgress ? Action.NONE : Action.LOAD;
		}
		if (mayDropOldVersions(tables, pool, row, nowNanos)) {
			return Action.DROP;
		}
		return (state.fence() < tables.fence) ? Action.UPDATE_FENCE : Action.NONE;
	}

	// Returns whether there are old versions that may be dropped. An engine that drops a
	// version may interrupt its streams, which callers see as truncated responses. It
	// keeps the version until they end, but no longer than the drain limit, so that an
	// endless stream cannot keep a version in memory forever.
	private static boolean mayDropOldVersions(CapacityTables tables, PoolRow pool, VmRow row, long nowNanos) {
		ServerState state = row.actualState.orElseThrow();
		List<String> oldVersions = new ArrayList<>(state.models());
		oldVersions.addAll(state.adapters());
		oldVersions.removeAll(pool.desiredModels);
		oldVersions.removeAll(pool.desiredAdapters);
		if (oldVersions.isEmpty()) {
			row.oldVersionsSinceNanos = OptionalLong.empty();
			return false;
		}
		if (row.oldVersionsSinceNanos.isEmpty()) {
			row.oldVersionsSinceNanos = OptionalLong.of(nowNanos);
		}
		return !state.mayHaveStreamsOn(oldVersions) || DrainSystem.hasElapsed(row.oldVersionsSinceNanos.getAsLong(),
				tables.settings.drainMillis(), nowNanos);
	}

	private static boolean isMissingVersions(PoolRow pool, ServerState state) {
		return !state.models().containsAll(pool.desiredModels) || !state.adapters().containsAll(pool.desiredAdapters);
	}

	private static boolean hasLoadedModels(VmRow row) {
		return row.actualState.map((state) -> !state.models().isEmpty()).orElse(false);
	}

	// Returns the only zone in which engines may replace loaded versions, empty if there
	// is none.
	private static String updatingZone(CapacityTables tables, PoolRow pool) {
		String first = "";
		for (VmRow row : pool.vms) {
			boolean pending = row.countsTowardsSize() && row.isRunning() && tables.isStateCurrent(pool, row)
					&& hasLoadedModels(row) && isMissingVersions(pool, row.actualState.orElseThrow());
			if (pending && !row.actualState.orElseThrow().loading().isEmpty()) {
				return row.zone();
			}
			if (pending && (first.isEmpty() || row.zone().compareTo(first) < 0)) {
				first = row.zone();
			}
		}
		return first;
	}

	private static CapacityCommand createOrder(PoolRow pool, VmRow row, Action action) {
		ServerState state = row.actualState.orElseThrow();
		String address = row.vm.address();
		if (action == Action.DRAIN) {
			return new CapacityCommand.Order(row.id, address, state.models(), state.adapters(), true, row.drainReason);
		}
		row.lastLoadOrder = desiredState(pool);
		boolean keepOldVersions = action != Action.DROP;
		List<String> models = keepOldVersions ? union(pool.desiredModels, state.models()) : pool.desiredModels;
		List<String> adapters = keepOldVersions ? union(pool.desiredAdapters, state.adapters()) : pool.desiredAdapters;
		return new CapacityCommand.Order(row.id, address, models, adapters, false, switch (action) {
			case LOAD -> hasLoadedModels(row) ? "load-new-beside-old" : "load-first";
			case DROP -> "drop-old";
			default -> "new-lease";
		});
	}

	private static String desiredState(PoolRow pool) {
		return pool.desiredModels + "|" + pool.desiredAdapters;
	}

	private static List<String> union(List<String> first, List<String> second) {
		List<String> all = new ArrayList<>(first);
		second.stream().filter((name) -> !first.contains(name)).forEach(all::add);
		return all;
	}

	/**
	 * The next order for an engine. {@code UPDATE_FENCE} repeats the desired state with
	 * the fencing number of this lease.
	 */
	private enum Action {

		NONE, LOAD, DROP, UPDATE_FENCE, DRAIN

	}

}
