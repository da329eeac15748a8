package org.rosemaryfront.claims;

import java.util.Objects;
import java.util.Optional;

/**
 * What happened to a claimed call.
 */
public sealed interface ClaimEvent {

	// -- table service

	/** A read gave no answer. */
	record ReadFailed() implements ClaimEvent {
	}

	/**
	 * A read was answered.
	 *
	 * @param row the row, empty when there is none
	 * @param version its version, 0 when there is none
	 * @param holderEnded whether the entry that holds it certainly serves it no more
	 */
	record RowRead(Optional<ClaimRow> row, long version, boolean holderEnded) implements ClaimEvent {

		public RowRead {
			Objects.requireNonNull(row, "row is null");
		}

	}

	/** A write did not take effect, because the row had another version. */
	record WriteConflicted() implements ClaimEvent {
	}

	/** A write certainly has no effect, now or later. */
	record WriteRefused() implements ClaimEvent {
	}

	/** A write may have taken effect, or may yet. */
	record WriteUncertain() implements ClaimEvent {
	}

	/**
	 * A write took effect.
	 *
	 * @param version the version of the row
	 */
	record Written(long version) implements ClaimEvent {
	}

	// -- backend server

	/**
	 * The backend server answered.
	 *
	 * @param attempt the number of the attempt
	 * @param outcome its answer
	 */
	record Answered(int attempt, ClaimOutcome outcome) implements ClaimEvent {

		public Answered {
			Objects.requireNonNull(outcome, "outcome is null");
		}

	}

	/**
	 * The attempt ended without an answer after something was sent.
	 *
	 * @param attempt the number of the attempt
	 */
	record Broken(int attempt) implements ClaimEvent {
	}

	/**
	 * The attempt certainly did not run: nothing was sent, or the backend server refused
	 * it.
	 *
	 * @param attempt the number of the attempt
	 * @param retry whether another backend server may be tried
	 */
	record NotRun(int attempt, boolean retry) implements ClaimEvent {
	}

	/**
	 * A new connection is open and the first byte could be sent.
	 *
	 * @param attempt the number of the attempt
	 */
	record ReadyToSend(int attempt) implements ClaimEvent {
	}

	// -- time

	/** The time asked for has come. */
	record Woken() implements ClaimEvent {
	}

}
