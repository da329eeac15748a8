package org.rosemaryfront.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.rosemaryfront.model.Resource.Fencing;
import org.rosemaryfront.model.Resource.Pool;
import org.rosemaryfront.model.Resource.Serves;

/** A pool with the values that the systems compute for it. */
final class PoolRow {

	Pool pool;

	final List<VmRow> vms = new ArrayList<>();

	final List<IntentRow> intents = new ArrayList<>();

	// The number of VMs and open purchases by zone.
	final Map<String, Integer> countByZone = new TreeMap<>();

	int totalCount;

	int target;

	SpreadPlan plan = SpreadPlan.empty();

	/** The inputs of the current plan, which is computed again when they change. */
	List<Object> planInputs = List.of();

	int peakDemand;

	long nextShrinkNanos;

	/** The minimum number of queued streams during the last complete window. */
	int sustainedQueue;

	int minQueueInWindow;

	long queueWindowEndNanos;

	List<String> desiredModels = List.of();

	List<String> desiredAdapters = List.of();

	PoolRow(Pool pool, long nowNanos) {
		this.pool = pool;
		this.nextShrinkNanos = nowNanos;
		this.queueWindowEndNanos = nowNanos;
	}

	boolean servesModels() {
		return this.pool.serves() == Serves.MODELS;
	}

	boolean ignoresFencing() {
		return this.pool.fencing() == Fencing.IGNORED;
	}

	void reset() {
		this.vms.clear();
		this.intents.clear();
		this.countByZone.clear();
		this.totalCount = 0;
	}

	void add(VmRow row) {
		this.vms.add(row);
		if (row.countsTowardsSize()) {
			count(row.zone());
		}
	}

	void add(IntentRow row) {
		this.intents.add(row);
		count(row.intent.sort().zone());
	}

	int countIn(String zone) {
		return this.countByZone.getOrDefault(zone, 0);
	}

	private void count(String zone) {
		this.countByZone.merge(zone, 1, Integer::sum);
		this.totalCount++;
	}

	// Returns whether a VM serves what its pool serves, in any version.
	boolean isReady(VmRow row) {
		if (!row.countsTowardsSize() || !row.isRunning()) {
			return false;
		}
		return !servesModels() || row.actualState.map((state) -> serves(state.models())).orElse(false);
	}

	private boolean serves(List<String> loaded) {
		return this.pool.models()
			.stream()
			.allMatch((model) -> loaded.stream().anyMatch((name) -> name.startsWith(model + "@")));
	}

}
