package org.rosemaryfront.capacity;

import java.util.List;

import org.rosemaryfront.capacity.CapacityCommand.Source;
import org.rosemaryfront.capacity.CloudVm.State;

/**
 * Reads the state of the platform and the engines. The interval between two reads grows
 * with the number of VMs, so that the message rate of the lease holder does not.
 */
final class PollSystem {

	private static final int MAX_CONCURRENT_ENGINE_READS = 64;

	private static final int INTENTS_INTERVAL_FACTOR = 60;

	private static final int OFFERS_INTERVAL_FACTOR = 10;

	private static final int STABLE_INTERVAL_FACTOR = 5;

	/**
	 * Divides the interval between reads of the VM list while VMs start or leave, because
	 * a replacement receives its first order only after the list shows that it runs.
	 */
	private static final int CHANGING_INTERVAL_DIVISOR = 40;

	private PollSystem() {
	}

	static void run(CapacityTables tables, long nowNanos, List<CapacityCommand> commands) {
		for (Source source : Source.values()) {
			SourceRow row = tables.sources.get(source);
			if (row.requestPending || (row.nextReadNanos != Long.MIN_VALUE && nowNanos - row.nextReadNanos < 0)) {
				continue;
			}
			// The VMs are read after the intents, so that a purchase that ends between
			// the two reads is seen at least as a VM.
			if (source == Source.VMS && !tables.sources.get(Source.INTENTS).readUnderLease) {
				continue;
			}
			row.requestPending = true;
			row.requestedNanos = nowNanos;
			commands.add(new CapacityCommand.Read(source, (source == Source.NOTICES) ? tables.lastNoticeNumber : 0));
		}
	}

	static void readEngines(CapacityTables tables, long nowNanos, List<CapacityCommand> commands) {
		long pendingRequests = tables.vms.values().stream().filter((row) -> row.requestPending).count();
		for (PoolRow pool : tables.pools.values()) {
			if (!pool.servesModels()) {
				continue;
			}
			for (VmRow row : pool.vms) {
				if (pendingRequests < MAX_CONCURRENT_ENGINE_READS && row.isRunning() && !row.requestPending
						&& nowNanos - row.nextReadNanos >= 0) {
					row.requestPending = true;
					row.nextReadNanos = nowNanos + engineReadIntervalNanos(tables, pool, row);
					commands.add(new CapacityCommand.ReadState(row.id, row.vm.address()));
					pendingRequests++;
				}
			}
		}
	}

	static void readCompleted(CapacityTables tables, Source source, boolean succeeded, long nowNanos) {
		SourceRow row = tables.sources.get(source);
		row.requestPending = false;
		row.readUnderLease |= succeeded;
		long pollMillis = tables.settings.pollMillis();
		row.nextReadNanos = nowNanos + tables.jittered(succeeded ? switch (source) {
			case VMS ->
				isChanging(tables) ? Math.max(pollMillis, fleetIntervalMillis(tables) / CHANGING_INTERVAL_DIVISOR)
						: Math.max(STABLE_INTERVAL_FACTOR * pollMillis, fleetIntervalMillis(tables));
			case OFFERS -> OFFERS_INTERVAL_FACTOR * pollMillis;
			// Intents are read again because a write can take effect long after it was
			// given up and retried.
			case INTENTS -> INTENTS_INTERVAL_FACTOR * pollMillis;
			case NOTICES -> pollMillis;
		} : pollMillis);
	}

	private static boolean isChanging(CapacityTables tables) {
		return !tables.intents.isEmpty()
				|| tables.vms.values().stream().anyMatch((row) -> row.vm.state() != State.RUNNING || row.draining);
	}

	private static long engineReadIntervalNanos(CapacityTables tables, PoolRow pool, VmRow row) {
		long pollMillis = tables.settings.pollMillis();
		boolean stable = pool.isReady(row) && tables.isStateCurrent(pool, row) && row.unresponsiveSinceNanos.isEmpty()
				&& row.oldVersionsSinceNanos.isEmpty() && row.actualState.orElseThrow().loading().isEmpty();
		return tables
			.jittered(stable ? Math.max(STABLE_INTERVAL_FACTOR * pollMillis, fleetIntervalMillis(tables)) : pollMillis);
	}

	private static long fleetIntervalMillis(CapacityTables tables) {
		return tables.vms.size() * tables.settings.pollPerVmMillis();
	}

}
