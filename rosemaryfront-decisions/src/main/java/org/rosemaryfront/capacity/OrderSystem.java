package org.rosemaryfront.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import org.rosemaryfront.model.Resource;

/**
 * Orders model engines to the declared state. An order states the whole wanted state, so
 * that repeating it is harmless. A new version is loaded beside the old one, which is
 * dropped only after the new one is there, one zone at a time, so that capacity holds.
 * The old one stays until no stream runs on it or the drain's limit has passed. No more
 * than a bounded number of engines load at a time, for the weight store's rate.
 */
final class OrderSystem {

	private OrderSystem() {
	}

	static void run(CapacityTables tables, long nowNanos, List<CapacityCommand> commands) {
		int loads = tables.settings.loadsAtOnce() - loading(tables);
		for (PoolRow pool : tables.pools.values()) {
			if (!pool.servesModels() || nowNanos - tables.ordersFromNanos(pool) < 0) {
				continue;
			}
			want(tables, pool);
			String updating = updatingZone(tables, pool);
			for (VmRow row : pool.vms) {
				if (!row.isRunning() || row.exchanging || !tables.isKnown(pool, row)) {
					continue;
				}
				Need need = need(tables, pool, row, nowNanos);
				boolean waits = need == Need.LOAD && (loads <= 0 || (isUpdate(row) && !row.zone().equals(updating)));
				if (need == Need.NOTHING || waits) {
					continue;
				}
				loads -= (need == Need.LOAD) ? 1 : 0;
				commands.add(order(pool, row, need));
				row.exchanging = true;
			}
		}
	}

	private static void want(CapacityTables tables, PoolRow pool) {
		pool.models = pool.pool.models()
			.stream()
			.flatMap((name) -> tables.configuration.find(Resource.Model.class, name).stream())
			.map((model) -> model.name() + "@" + model.version())
			.sorted()
			.toList();
		pool.adapters = tables.configuration.all(Resource.Adapter.class)
			.filter((adapter) -> pool.pool.models().contains(adapter.model()))
			.map((adapter) -> adapter.name() + "@" + adapter.version())
			.sorted()
			.toList();
	}

	private static int loading(CapacityTables tables) {
		return (int) tables.vms.values()
			.stream()
			.filter((row) -> row.isRunning() && row.actual.map((state) -> !state.loading().isEmpty()).orElse(false))
			.count();
	}

	private static Need need(CapacityTables tables, PoolRow pool, VmRow row, long nowNanos) {
		ServerState state = row.actual.orElseThrow();
		if (row.draining) {
			return (state.draining() && state.fence() >= tables.fence) ? Need.NOTHING : Need.DRAIN;
		}
		if (lacks(pool, state)) {
			boolean underWay = !state.loading().isEmpty() && state.fence() >= tables.fence
					&& row.ordered.equals(wanted(pool));
			return underWay ? Need.NOTHING : Need.LOAD;
		}
		if (mayDrop(tables, pool, row, nowNanos)) {
			return Need.DROP;
		}
		return (state.fence() < tables.fence) ? Need.ADOPT : Need.NOTHING;
	}

	// Whether there are old versions and they may go. An engine that drops a version may
	// cut off its streams, which callers see as broken answers: they are waited for, but
	// not longer than the drain's limit, so that one endless stream can't hold the memory
	// of a version for good.
	private static boolean mayDrop(CapacityTables tables, PoolRow pool, VmRow row, long nowNanos) {
		ServerState state = row.actual.orElseThrow();
		List<String> old = new ArrayList<>(state.models());
		old.addAll(state.adapters());
		old.removeAll(pool.models);
		old.removeAll(pool.adapters);
		if (old.isEmpty()) {
			row.oldVersionsSinceNanos = OptionalLong.empty();
			return false;
		}
		if (row.oldVersionsSinceNanos.isEmpty()) {
			row.oldVersionsSinceNanos = OptionalLong.of(nowNanos);
		}
		return !state.mayRunOn(old)
				|| DrainSystem.isOver(row.oldVersionsSinceNanos.getAsLong(), tables.settings.drainMillis(), nowNanos);
	}

	private static boolean lacks(PoolRow pool, ServerState state) {
		return !state.models().containsAll(pool.models) || !state.adapters().containsAll(pool.adapters);
	}

	private static boolean isUpdate(VmRow row) {
		return row.actual.map((state) -> !state.models().isEmpty()).orElse(false);
	}

	// The one zone in which engines change what they have loaded, empty for none.
	private static String updatingZone(CapacityTables tables, PoolRow pool) {
		String first = "";
		for (VmRow row : pool.vms) {
			boolean pending = row.counts() && row.isRunning() && tables.isKnown(pool, row) && isUpdate(row)
					&& lacks(pool, row.actual.orElseThrow());
			if (pending && !row.actual.orElseThrow().loading().isEmpty()) {
				return row.zone();
			}
			if (pending && (first.isEmpty() || row.zone().compareTo(first) < 0)) {
				first = row.zone();
			}
		}
		return first;
	}

	private static CapacityCommand order(PoolRow pool, VmRow row, Need need) {
		ServerState state = row.actual.orElseThrow();
		String address = row.vm.address();
		if (need == Need.DRAIN) {
			return new CapacityCommand.Order(row.id, address, state.models(), state.adapters(), true, row.drainReason);
		}
		row.ordered = wanted(pool);
		boolean beside = need != Need.DROP;
		List<String> models = beside ? union(pool.models, state.models()) : pool.models;
		List<String> adapters = beside ? union(pool.adapters, state.adapters()) : pool.adapters;
		return new CapacityCommand.Order(row.id, address, models, adapters, false, switch (need) {
			case LOAD -> isUpdate(row) ? "load-new-beside-old" : "load-first";
			case DROP -> "drop-old";
			default -> "new-lease";
		});
	}

	private static String wanted(PoolRow pool) {
		return pool.models + "|" + pool.adapters;
	}

	private static List<String> union(List<String> first, List<String> second) {
		List<String> all = new ArrayList<>(first);
		second.stream().filter((name) -> !first.contains(name)).forEach(all::add);
		return all;
	}

	/** What an engine must be told. */
	private enum Need {

		NOTHING, LOAD, DROP, ADOPT, DRAIN

	}

}
