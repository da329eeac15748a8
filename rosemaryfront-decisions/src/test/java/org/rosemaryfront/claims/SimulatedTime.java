package org.rosemaryfront.claims;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

/**
 * Virtual time: tasks run in the order of their times, those of one time as scheduled.
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

	// False when the tasks do not end.
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
