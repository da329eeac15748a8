package org.rosemaryfront.capacity;

import java.util.List;

import org.rosemaryfront.capacity.CapacityCommand.Source;
import org.rosemaryfront.capacity.CloudVm.State;

/**
 * Asks the platform and the engines for their state. The time between two reads grows
 * with the number of VMs, so that the messages of a lease holder do not.
 */
final class ReadSystem {

	private static final int ENGINE_READS_AT_ONCE = 64;

	private static final int INTENTS_PERIODS = 60;

	private static final int OFFERS_PERIODS = 10;

	private static final int SETTLED_PERIODS = 5;

	/**
	 * While VMs start or leave, their list is read more often by this factor: a
	 * replacement waits for it before its first order.
	 */
	private static final int MOVING_FACTOR = 40;

	private ReadSystem() {
	}

	static void run(CapacityTables tables, long nowNanos, List<CapacityCommand> commands) {
		for (Source source : Source.values()) {
			SourceRow row = tables.sources.get(source);
			if (row.exchanging || (row.nextNanos != Long.MIN_VALUE && nowNanos - row.nextNanos < 0)) {
				continue;
			}
			// The VMs are read after the intents: a purchase that ended in between is
			// then seen
			// as a VM at least.
			if (source == Source.VMS && !tables.sources.get(Source.INTENTS).known) {
				continue;
			}
			row.exchanging = true;
			row.askedNanos = nowNanos;
			commands.add(new CapacityCommand.Read(source, (source == Source.NOTICES) ? tables.lastNotice : 0));
		}
	}

	static void readEngines(CapacityTables tables, long nowNanos, List<CapacityCommand> commands) {
		long asked = tables.vms.values().stream().filter((row) -> row.exchanging).count();
		for (PoolRow pool : tables.pools.values()) {
			if (!pool.servesModels()) {
				continue;
			}
			for (VmRow row : pool.vms) {
				if (asked < ENGINE_READS_AT_ONCE && row.isRunning() && !row.exchanging
						&& nowNanos - row.nextReadNanos >= 0) {
					row.exchanging = true;
					row.nextReadNanos = nowNanos + pause(tables, pool, row);
					commands.add(new CapacityCommand.ReadState(row.id, row.vm.address()));
					asked++;
				}
			}
		}
	}

	static void answered(CapacityTables tables, Source source, boolean known, long nowNanos) {
		SourceRow row = tables.sources.get(source);
		row.exchanging = false;
		row.known |= known;
		long poll = tables.settings.pollMillis();
		row.nextNanos = nowNanos + tables.jittered(known ? switch (source) {
			case VMS -> isMoving(tables) ? Math.max(poll, perVm(tables) / MOVING_FACTOR)
					: Math.max(SETTLED_PERIODS * poll, perVm(tables));
			case OFFERS -> OFFERS_PERIODS * poll;
			// A write of an intent can take effect long after it was given up and
			// repeated.
			case INTENTS -> INTENTS_PERIODS * poll;
			case NOTICES -> poll;
		} : poll);
	}

	private static boolean isMoving(CapacityTables tables) {
		return !tables.intents.isEmpty()
				|| tables.vms.values().stream().anyMatch((row) -> row.vm.state() != State.RUNNING || row.draining);
	}

	private static long pause(CapacityTables tables, PoolRow pool, VmRow row) {
		long poll = tables.settings.pollMillis();
		boolean settled = pool.isReady(row) && tables.isKnown(pool, row) && row.silentSinceNanos.isEmpty()
				&& row.oldVersionsSinceNanos.isEmpty() && row.actual.orElseThrow().loading().isEmpty();
		return tables.jittered(settled ? Math.max(SETTLED_PERIODS * poll, perVm(tables)) : poll);
	}

	private static long perVm(CapacityTables tables) {
		return tables.vms.size() * tables.settings.pollPerVmMillis();
	}

}
