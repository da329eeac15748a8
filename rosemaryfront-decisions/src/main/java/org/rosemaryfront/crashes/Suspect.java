package org.rosemaryfront.crashes;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.rosemaryfront.crashes.Evidence.State;
import org.rosemaryfront.dispatch.BackendServer.Start;

/**
 * A request and the evidence of servers that crashed, or may have crashed, while they had
 * it.
 */
final class Suspect {

	/**
	 * The retention of a broken connection while it is unknown whether its server
	 * crashed; a new connection is made or refused within half a second.
	 */
	private static final long SUSPECTED_NANOS = TimeUnit.SECONDS.toNanos(10);

	/**
	 * The delay before the first crash of a request is written to the store: by then, a
	 * request that did not cause the crash has been retried and answered, and needs no
	 * row.
	 */
	private static final long FIRST_WRITE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	/**
	 * The time to wait for a crash that another process reported to appear in the store
	 * before this process writes it: the other process may be unable to reach the store.
	 */
	private static final long HEARD_WRITE_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

	/**
	 * How long an update is included in the reports to the other processes: several
	 * reports, since some are lost.
	 */
	private static final long NEWS_NANOS = TimeUnit.SECONDS.toNanos(2);

	final Map<Start, Entry> entries = new LinkedHashMap<>();

	/** Whether a process has, or had, the single probe of the request. */
	boolean trialGiven;

	// The evidence that counts against the request, oldest first.
	List<Evidence> against() {
		return this.entries.values()
			.stream()
			.map((entry) -> entry.evidence)
			.filter((evidence) -> evidence.state() != State.CLEARED)
			.sorted(Comparator.comparingLong(Evidence::atMillis))
			.toList();
	}

	// Whether the request has a single crash, and the store needs no further write of it.
	boolean isSingleRow() {
		return this.entries.size() == 1 && this.entries.values().iterator().next().stored;
	}

	/** Evidence with the progress of its writing to the store and its reporting. */
	static final class Entry {

		Evidence evidence;

		/** When this process first recorded the crash. */
		final long sinceNanos;

		/** Whether the store needs no further write for the current state. */
		boolean stored;

		/** Whether the store has a row for the crash, in any state. */
		boolean hasRow;

		/** The earliest time of the next write. */
		private long writeNanos;

		/** The earliest time of the next write while this is the request's only crash. */
		private long writeSingleNanos;

		/** The end of the period in which the evidence is reported. */
		private long newsUntilNanos;

		Entry(Evidence evidence, long nowNanos) {
			this.evidence = evidence;
			this.sinceNanos = nowNanos;
			this.newsUntilNanos = nowNanos;
			writeFrom(nowNanos);
		}

		RequestDigest request() {
			return this.evidence.crash().request();
		}

		void writeFrom(long nanos) {
			this.writeNanos = nanos;
			this.writeSingleNanos = nanos;
		}

		void change(State state, long nowNanos) {
			this.evidence = this.evidence.in(state);
			this.newsUntilNanos = nowNanos + NEWS_NANOS;
			// Evidence that was cleared before it was written needs no row.
			this.stored = state == State.CLEARED && !this.hasRow;
			this.writeNanos = nowNanos;
			this.writeSingleNanos = nowNanos + ((state == State.CONFIRMED) ? FIRST_WRITE_NANOS : 0);
		}

		void heard(Evidence told, long nowNanos) {
			this.evidence = told;
			this.stored = told.state() == State.CLEARED && !this.hasRow;
			writeFrom(nowNanos + HEARD_WRITE_NANOS);
		}

		boolean isDue(boolean single, long nowNanos) {
			boolean due = nowNanos - (single ? this.writeSingleNanos : this.writeNanos) >= 0;
			return !this.stored && this.evidence.state() != State.SUSPECTED && due;
		}

		boolean isNews(long nowNanos) {
			return nowNanos - this.newsUntilNanos < 0;
		}

		// Whether there is nothing left to write or to expire.
		boolean isSettled() {
			return this.stored && (this.evidence.state() == State.CONFIRMED || this.hasRow);
		}

		boolean isOver(long nowNanos) {
			return switch (this.evidence.state()) {
				case SUSPECTED -> nowNanos - this.sinceNanos >= SUSPECTED_NANOS;
				case CONFIRMED -> false;
				case CLEARED -> !this.hasRow && nowNanos - this.newsUntilNanos >= NEWS_NANOS;
			};
		}

	}

}
