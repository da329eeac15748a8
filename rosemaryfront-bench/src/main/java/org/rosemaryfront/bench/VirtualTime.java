package org.rosemaryfront.bench;

import java.util.PriorityQueue;

/** A clock whose time passes only from one planned action to the next. */
final class VirtualTime {

	static final long MICRO = 1_000;

	static final long MILLI = 1_000_000;

	static final long SECOND = 1_000_000_000;

	private final PriorityQueue<Planned> planned = new PriorityQueue<>();

	private long now;

	private long count;

	long now() {
		return this.now;
	}

	// Plans an action; actions of the same time run in the order planned.
	void at(long time, Runnable action) {
		this.planned.add(new Planned(Math.max(time, this.now), this.count++, action));
	}

	void after(long nanos, Runnable action) {
		at(this.now + nanos, action);
	}

	void every(long nanos, Runnable action) {
		after(nanos, () -> {
			action.run();
			every(nanos, action);
		});
	}

	void runUntil(long end) {
		while (!this.planned.isEmpty() && this.planned.peek().time() <= end) {
			Planned next = this.planned.remove();
			this.now = next.time();
			next.action().run();
		}
		this.now = end;
	}

	private record Planned(long time, long number, Runnable action) implements Comparable<Planned> {

		@Override
		public int compareTo(Planned other) {
			int byTime = Long.compare(this.time, other.time);
			return (byTime != 0) ? byTime : Long.compare(this.number, other.number);
		}

	}

}
