package org.rosemaryfront.crashes;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.rosemaryfront.crashes.Evidence.State;
import org.rosemaryfront.dispatch.BackendServer.Start;

/**
 * A request with the servers that crashed, or may have crashed, while they had it.
 */
final class Suspect {

	/**
	 * How long a broken connection is remembered until it is known whether its server
	 * crashed; a new connection is made or refused within half a second.
	 */
	private static final long SUSPECTED_NANOS = TimeUnit.SECONDS.toNanos(10);

	/**
	 * How long the first crash of a request waits for its way to the store: innocent
	 * requests that are sent again are answered by then, and need no row.
	 */
	private static final long FIRST_WRITE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	/**
	 * How long a crash that another process told of may take to come from the store,
	 * before this one writes it: the other may not reach the store.
	 */
	private static final long HEARD_WRITE_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

	/** How long news are told to the other processes: several reports, some get lost. */
	private static final long NEWS_NANOS = TimeUnit.SECONDS.toNanos(2);

	final Map<Start, Entry> entries = new LinkedHashMap<>();

	/** Whether some process has, or had, the one trial of the request. */
	boolean trialGiven;

	// What speaks against it, in the order of time.
	List<Evidence> against() {
		return this.entries.values()
			.stream()
			.map((entry) -> entry.evidence)
			.filter((evidence) -> evidence.state() != State.CLEARED)
			.sorted(Comparator.comparingLong(Evidence::atMillis))
			.toList();
	}

	// Whether all that the store has of it is one crash.
	boolean isSingleRow() {
		return this.entries.size() == 1 && this.entries.values().iterator().next().stored;
	}

	/** Evidence with where it was told. */
	static final class Entry {

		Evidence evidence;

		/** When this process knew of the crash. */
		final long sinceNanos;

		/** Whether the store needs no row in this state any more. */
		boolean stored;

		/** Whether the store has a row of it, in whichever state. */
		boolean hasRow;

		/** When it is written at the earliest. */
		private long writeNanos;

		/** The same while it is the only crash of its request. */
		private long writeSingleNanos;

		/** Until when the other processes are told. */
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
			// What was cleared before it was written needs no row.
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

		// Whether neither the store nor time changes anything of it.
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
