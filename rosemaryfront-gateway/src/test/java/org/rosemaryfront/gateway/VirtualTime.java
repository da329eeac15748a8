package org.rosemaryfront.gateway;

import java.util.PriorityQueue;

/** Runs tasks in the order of their times, without waiting. */
final class VirtualTime {

	private final PriorityQueue<Task> tasks = new PriorityQueue<>();

	private long nowMillis;

	private long count;

	long nowMillis() {
		return this.nowMillis;
	}

	/**
	 * Schedules a task.
	 * @param delayMillis the delay
	 * @param action the task
	 */
	void after(long delayMillis, Runnable action) {
		this.tasks.add(new Task(this.nowMillis + delayMillis, this.count++, action));
	}

	void run(long untilMillis) {
		while (!this.tasks.isEmpty() && this.tasks.peek().atMillis <= untilMillis) {
			Task next = this.tasks.remove();
			this.nowMillis = next.atMillis;
			next.action.run();
		}
		this.nowMillis = untilMillis;
	}

	private record Task(long atMillis, long number, Runnable action) implements Comparable<Task> {

		@Override
		public int compareTo(Task other) {
			int byTime = Long.compare(this.atMillis, other.atMillis);
			return (byTime != 0) ? byTime : Long.compare(this.number, other.number);
		}

	}

}
