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
	private static final long RETENTION_NANOS = 3_000_000_000L;

	private final Deque<EndedRun> endedRuns = new ArrayDeque<>();

	private double otherStreams;

	private long sampledNanos = Long.MIN_VALUE;

	// -- changes

	void recordEnd(Attempt attempt, long nowNanos) {
		this.endedRuns.add(new EndedRun(attempt.dispatchedNanos, nowNanos));
		while (this.endedRuns.peek().endedNanos() < nowNanos - RETENTION_NANOS) {
			this.endedRuns.remove();
		}
	}

	void applyReport(int streams, long sampledNanos, Collection<Attempt> attempts) {
		this.sampledNanos = sampledNanos;
		long ownStreams = attempts.stream().filter((attempt) -> attempt.dispatchedNanos <= sampledNanos).count();
		ownStreams += this.endedRuns.stream().filter((run) -> run.wasRunningAt(sampledNanos)).count();
		this.otherStreams = Math.max(0, streams - ownStreams);
	}

	// -- queries

	// Returns the age of the state that the last report describes, or 0 without a report.
	long ageNanos(long nowNanos) {
		return (this.sampledNanos != Long.MIN_VALUE) ? nowNanos - this.sampledNanos : 0;
	}

	// Returns the number of streams of other processes at the time of the last report.
	double otherStreams() {
		return this.otherStreams;
	}

	private record EndedRun(long dispatchedNanos, long endedNanos) {

		private boolean wasRunningAt(long nanos) {
			return this.dispatchedNanos <= nanos && nanos < this.endedNanos;
		}

	}

}
