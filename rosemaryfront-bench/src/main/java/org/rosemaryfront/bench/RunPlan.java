package org.rosemaryfront.bench;

import java.util.List;
import java.util.function.Consumer;

/**
 * What a run consists of, the same for every policy.
 *
 * @param deployment the declarations
 * @param machines the runners at the start
 * @param entries the number of entry processes
 * @param work the requests, by time
 * @param durationNanos the time that costs count for
 * @param faults plans what goes wrong
 */
record RunPlan(Deployment deployment, List<Machine> machines, int entries, List<WorkItem> work, long durationNanos,
		Consumer<Run> faults) {

	RunPlan withWork(List<WorkItem> other) {
		return new RunPlan(this.deployment, this.machines, this.entries, other, this.durationNanos, this.faults);
	}

	RunPlan withMachines(List<Machine> other) {
		return new RunPlan(this.deployment, other, this.entries, this.work, this.durationNanos, this.faults);
	}

}
