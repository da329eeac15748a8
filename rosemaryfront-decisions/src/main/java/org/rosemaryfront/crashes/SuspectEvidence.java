package org.rosemaryfront.crashes;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.rosemaryfront.crashes.Evidence.State;
import org.rosemaryfront.dispatch.BackendServer.Incarnation;

/**
 * The evidence against one suspect: the servers that crashed, or may have crashed, while
 * they had it.
 */
final class SuspectEvidence {

	/**
	 * The retention of a broken connection while it is unknown whether its server
	 * crashed; a new connection is made or refused within half a second.
	 */
	private static final long SUSPECTED_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(10);

	/**
	 * The delay before the first crash of a suspect is written to the store: by then, a
	 * request that did not cause the crash has been retried and answered, and needs no
	 * row.
	 */
	private static final long FIRST_CRASH_WRITE_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

	/**
	 * The time to wait for a crash that another process reported to appear in the store
	 * before this process writes it: the other process may be unable to reach the store.
	 */
	private static final long RECEIVED_CRASH_WRITE_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

	/**
	 * How long an update is included in the reports to the other processes: several
	 * reports, since some are lost.
	 */
	private static final long REPORT_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(2);

	/**
	 * The longest time between crashes that count as simultaneous, in milliseconds: the
	 * servers of an availability zone fail together, whereas copies of a harmful request
	 * spend different times in the servers' queues.
	 */
	static final long SIMULTANEITY_WINDOW_MILLIS = 250;

	/** The delay before a failed write is retried. */
	private static final long WRITE_RETRY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

	/** The evidence against a suspect without any; never changed. */
	static final SuspectEvidence NONE = new SuspectEvidence();

	final Map<Incarnation, Entry> entries = new LinkedHashMap<>();

	/** Whether a process has, or had, the single probe of the request. */
	boolean probeGranted;

	// The evidence that counts against the suspect, oldest first.
	List<Evidence> unclearedEvidence() {
		return this.entries.values()
			.stream()
			.map((entry) -> entry.evidence)
			.filter((evidence) -> evidence.state() != State.CLEARED)
			.sorted(Comparator.comparingLong(Evidence::atMillis))
			.toList();
	}

	/**
	 * Decides whether a request may be sent, where this is the evidence against it.
	 * @param isExplained tests whether a crash had another cause
	 * @return the decision
	 */
	QuarantineDecision decide(Predicate<Incarnation> isExplained) {
		List<Evidence> uncleared = unclearedEvidence().stream()
			.filter((counted) -> !isExplained.test(counted.crash().server()))
			.toList();
		List<Incarnation> servers = uncleared.stream().map((counted) -> counted.crash().server()).toList();
		if (uncleared.size() < CrashTable.QUARANTINE_THRESHOLD) {
			return new QuarantineDecision.Allowed(servers);
		}
		boolean mayProbe = !this.probeGranted && areSimultaneous(uncleared);
		return mayProbe ? new QuarantineDecision.Probe(servers) : new QuarantineDecision.Quarantined(servers);
	}

	private static boolean areSimultaneous(List<Evidence> sorted) {
		return sorted.getLast().atMillis() - sorted.getFirst().atMillis() <= SIMULTANEITY_WINDOW_MILLIS;
	}

	// Whether the suspect has a single crash, and the store needs no further write of it.
	boolean hasSingleStoredCrash() {
		return this.entries.size() == 1 && this.entries.values().iterator().next().stored;
	}

	/** Evidence with the progress of its writing to the store and its reporting. */
	static final class Entry {

		Evidence evidence;

		/** When this process first recorded the crash. */
		final long recordedNanos;

		/** Whether the store needs no further write for the current state. */
		boolean stored;

		/** Whether the store has a row for the crash, in any state. */
		boolean hasRow;

		/** The earliest time of the next write. */
		private long nextWriteNanos;

		/** The earliest time of the next write while this is the suspect's only crash. */
		private long nextSingleWriteNanos;

		/** The end of the period in which the evidence is reported. */
		private long reportUntilNanos;

		Entry(Evidence evidence, long nowNanos) {
			this.evidence = evidence;
			this.recordedNanos = nowNanos;
			this.reportUntilNanos = nowNanos;
			scheduleWrite(nowNanos);
		}

		CrashSuspect suspect() {
			return this.evidence.crash().suspect();
		}

		private void scheduleWrite(long nanos) {
			this.nextWriteNanos = nanos;
			this.nextSingleWriteNanos = nanos;
		}

		void retryWrite(long nowNanos) {
			scheduleWrite(nowNanos + WRITE_RETRY_INTERVAL_NANOS);
		}

		void changeState(State state, long nowNanos) {
			this.evidence = this.evidence.withState(state);
			this.reportUntilNanos = nowNanos + REPORT_PERIOD_NANOS;
			// Evidence that was cleared before it was written needs no row.
			this.stored = state == State.CLEARED && !this.hasRow;
			this.nextWriteNanos = nowNanos;
			this.nextSingleWriteNanos = nowNanos + ((state == State.CONFIRMED) ? FIRST_CRASH_WRITE_DELAY_NANOS : 0);
		}

		void receive(Evidence received, long nowNanos) {
			this.evidence = received;
			this.stored = received.state() == State.CLEARED && !this.hasRow;
			scheduleWrite(nowNanos + RECEIVED_CRASH_WRITE_DELAY_NANOS);
		}

		void rowLost(long writeNanos) {
			this.hasRow = false;
			this.stored = this.evidence.state() == State.CLEARED;
			scheduleWrite(writeNanos);
		}

		boolean isWriteDue(boolean isOnlyCrash, long nowNanos) {
			boolean due = nowNanos - (isOnlyCrash ? this.nextSingleWriteNanos : this.nextWriteNanos) >= 0;
			return !this.stored && this.evidence.state() != State.SUSPECTED && due;
		}

		boolean isReportDue(long nowNanos) {
			return nowNanos - this.reportUntilNanos < 0;
		}

		// Whether there is nothing left to write or to expire.
		boolean isSettled() {
			return this.stored && (this.evidence.state() == State.CONFIRMED || this.hasRow);
		}

		boolean isExpired(long nowNanos) {
			return switch (this.evidence.state()) {
				case SUSPECTED -> nowNanos - this.recordedNanos >= SUSPECTED_RETENTION_NANOS;
				case CONFIRMED -> false;
				case CLEARED -> !this.hasRow && nowNanos - this.reportUntilNanos >= REPORT_PERIOD_NANOS;
			};
		}

	}

}
