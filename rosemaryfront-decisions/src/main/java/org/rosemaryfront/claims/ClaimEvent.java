package org.rosemaryfront.claims;

import java.util.Objects;
import java.util.Optional;

/**
 * Input to {@link ClaimMachine}.
 */
public sealed interface ClaimEvent {

	// -- table service

	/** A read failed or timed out. */
	record ReadFailed() implements ClaimEvent {
	}

	/**
	 * A read succeeded.
	 *
	 * @param row the row, empty when there is none
	 * @param version its version, 0 when there is none
	 * @param holderEnded whether the request that holds the claim has certainly ended
	 */
	record RowRead(Optional<ClaimRow> row, long version, boolean holderEnded) implements ClaimEvent {

		public RowRead {
			Objects.requireNonNull(row, "row is null");
		}

	}

	/** A write did not take effect, because the row had another version. */
	record WriteConflicted() implements ClaimEvent {
	}

	/** A write certainly did not take effect and never will. */
	record WriteRefused() implements ClaimEvent {
	}

	/** A write may have taken effect or may still take effect. */
	record WriteUncertain() implements ClaimEvent {
	}

	/**
	 * A write took effect.
	 *
	 * @param version the new version of the row
	 */
	record Written(long version) implements ClaimEvent {
	}

	// -- backend server

	/**
	 * The backend server responded.
	 *
	 * @param attempt the number of the attempt
	 * @param outcome its response
	 */
	record ResponseReceived(int attempt, ClaimOutcome outcome) implements ClaimEvent {

		public ResponseReceived {
			Objects.requireNonNull(outcome, "outcome is null");
		}

	}

	/**
	 * The attempt ended without a response after something was sent.
	 *
	 * @param attempt the number of the attempt
	 */
	record ConnectionBroken(int attempt) implements ClaimEvent {
	}

	/**
	 * The attempt certainly did not run, because nothing was sent or the backend server
	 * refused it.
	 *
	 * @param attempt the number of the attempt
	 * @param retry whether another backend server may be tried
	 */
	record NotRun(int attempt, boolean retry) implements ClaimEvent {
	}

	/**
	 * A new connection is open and the first byte can be sent.
	 *
	 * @param attempt the number of the attempt
	 */
	record ReadyToSend(int attempt) implements ClaimEvent {
	}

	// -- timer

	/** The time returned by {@link ClaimMachine#wakeAt()} has been reached. */
	record TimerFired() implements ClaimEvent {
	}

}
