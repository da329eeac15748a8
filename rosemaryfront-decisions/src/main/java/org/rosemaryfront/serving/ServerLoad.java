package org.rosemaryfront.serving;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;

/**
 * The number of streams of other processes on a backend server. A load report describes
 * an earlier moment and counts the streams of all entry processes; the streams that this
 * process had at that moment are subtracted.
 */
final class ServerLoad {

	/** How long an ended attempt is kept, longer than the delay of a load report. */
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

	// Returns the age of the state that the last report describes, or 0 without a report.
	long ageNanos(long nowNanos) {
		return (this.describedNanos != Long.MIN_VALUE) ? nowNanos - this.describedNanos : 0;
	}

	// Returns the number of streams of other processes at the time of the last report.
	double others() {
		return this.others;
	}

	private record Ended(long dispatchedNanos, long endedNanos) {

		private boolean ranAt(long nanos) {
			return this.dispatchedNanos <= nanos && nanos < this.endedNanos;
		}

	}

}
