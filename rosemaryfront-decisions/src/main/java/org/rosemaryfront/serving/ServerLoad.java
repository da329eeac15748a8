package org.rosemaryfront.serving;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;

/**
 * How many streams a backend server has by now. A load report describes an earlier moment
 * and counts the streams of all entry processes; those of this process are replaced by
 * what it knows for certain.
 */
final class ServerLoad {

	/** How long an ended attempt is remembered, longer than a report is late. */
	private static final long MEMORY_NANOS = 3_000_000_000L;

	private final Deque<Ended> ended = new ArrayDeque<>();

	private double others;

	private long describedNanos = Long.MIN_VALUE;

	// -- changes

	void attemptEnded(Attempt attempt, long nowNanos) {
		this.ended.add(new Ended(attempt.dispatchedNanos, nowNanos));
		while (this.ended.peek().endedNanos() < nowNanos - MEMORY_NANOS) {
			this.ended.remove();
		}
	}

	void reported(int streams, long describedNanos, Collection<Attempt> attempts) {
		this.describedNanos = describedNanos;
		long own = attempts.stream().filter((attempt) -> attempt.dispatchedNanos <= describedNanos).count();
		own += this.ended.stream().filter((end) -> end.ranAt(describedNanos)).count();
		this.others = Math.max(0, streams - own);
	}

	// -- queries

	// The age of what the last report describes, 0 without one.
	long ageNanos(long nowNanos) {
		return (this.describedNanos != Long.MIN_VALUE) ? nowNanos - this.describedNanos : 0;
	}

	// The streams of other processes when the last report was made.
	double others() {
		return this.others;
	}

	private record Ended(long dispatchedNanos, long endedNanos) {

		private boolean ranAt(long nanos) {
			return this.dispatchedNanos <= nanos && nanos < this.endedNanos;
		}

	}

}
