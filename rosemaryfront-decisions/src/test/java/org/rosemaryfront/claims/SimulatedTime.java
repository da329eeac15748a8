package org.rosemaryfront.claims;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/**
 * Virtual clock. Tasks run in the order of their times, and tasks with the same time in
 * the order in which they were scheduled.
 */
final class SimulatedTime {

	private static final long MAX_TASKS = 200_000;

	private final PriorityQueue<Task> tasks = new PriorityQueue<>(
			Comparator.comparingLong(Task::at).thenComparingLong(Task::number));

	private long now;

	private long count;

	long now() {
		return this.now;
	}

	void after(long millis, Runnable work) {
		at(this.now + TimeUnit.MILLISECONDS.toNanos(millis), work);
	}

	void at(long nanos, Runnable work) {
		this.tasks.add(new Task(Math.max(nanos, this.now), this.count++, work));
	}

	// Returns false when the tasks exceed their limit.
	boolean run() {
		while (!this.tasks.isEmpty()) {
			Task task = this.tasks.poll();
			this.now = task.at();
			if (task.number() > MAX_TASKS) {
				return false;
			}
			task.work().run();
		}
		return true;
	}

	private record Task(long at, long number, Runnable work) {
	}

}
