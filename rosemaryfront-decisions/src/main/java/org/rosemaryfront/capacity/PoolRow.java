package org.rosemaryfront.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.rosemaryfront.model.Resource.Fencing;
import org.rosemaryfront.model.Resource.Pool;
import org.rosemaryfront.model.Resource.Serves;

/** A pool with what its systems computed in this tick. */
final class PoolRow {

	Pool pool;

	final List<VmRow> vms = new ArrayList<>();

	final List<IntentRow> intents = new ArrayList<>();

	// VMs and open purchases by zone.
	final Map<String, Integer> counted = new TreeMap<>();

	int total;

	int target;

	SpreadPlan plan = SpreadPlan.empty();

	/** What the plan was made from. */
	List<Object> planned = List.of();

	int demandPeak;

	long demandPeakUntilNanos;

	/** The fewest streams that waited at any moment of the last whole window. */
	int steadyQueue;

	int leastQueue;

	long queueWindowEndNanos;

	List<String> models = List.of();

	List<String> adapters = List.of();

	PoolRow(Pool pool, long nowNanos) {
		this.pool = pool;
		this.demandPeakUntilNanos = nowNanos;
		this.queueWindowEndNanos = nowNanos;
	}

	boolean servesModels() {
		return this.pool.serves() == Serves.MODELS;
	}

	boolean ignoresFencing() {
		return this.pool.fencing() == Fencing.IGNORED;
	}

	void begin() {
		this.vms.clear();
		this.intents.clear();
		this.counted.clear();
		this.total = 0;
	}

	void add(VmRow row) {
		this.vms.add(row);
		if (row.counts()) {
			count(row.zone());
		}
	}

	void add(IntentRow row) {
		this.intents.add(row);
		count(row.intent.sort().zone());
	}

	int in(String zone) {
		return this.counted.getOrDefault(zone, 0);
	}

	private void count(String zone) {
		this.counted.merge(zone, 1, Integer::sum);
		this.total++;
	}

	// Whether a VM serves what its pool serves, in any version.
	boolean isReady(VmRow row) {
		if (!row.counts() || !row.isRunning()) {
			return false;
		}
		return !servesModels() || row.actual.map((state) -> serves(state.models())).orElse(false);
	}

	private boolean serves(List<String> loaded) {
		return this.pool.models()
			.stream()
			.allMatch((model) -> loaded.stream().anyMatch((name) -> name.startsWith(model + "@")));
	}

}
