package org.rosemaryfront.claims;

import java.util.Objects;

/**
 * Row of an idempotency key in the table service. The token identifies the request that
 * wrote the claim; only that request may turn the row into {@link Stored} or
 * {@link Voided}.
 */
public sealed interface ClaimRow {

	/**
	 * Returns the fingerprint of the call that first used the key.
	 * @return the fingerprint
	 */
	String fingerprint();

	/**
	 * Returns the token of the request that claimed the key.
	 * @return the token
	 */
	String token();

	// -- variants

	/**
	 * A request has claimed the key; it may be about to run, running or finished.
	 *
	 * @param token the token of the request
	 * @param vm the VM of its entry process
	 * @param fingerprint the fingerprint of the call
	 * @param heldMillis the time after which the request has ended, in milliseconds since
	 * the row was written
	 */
	record Held(String token, String vm, String fingerprint, long heldMillis) implements ClaimRow {

		public Held {
			Objects.requireNonNull(token, "token is null");
			Objects.requireNonNull(vm, "vm is null");
			Objects.requireNonNull(fingerprint, "fingerprint is null");
		}

		/**
		 * Returns the row of a request that ended without an outcome.
		 * @return the same claim with an unknown outcome
		 */
		public Unknown toUnknown() {
			return new Unknown(this.token, this.fingerprint);
		}

	}

	/**
	 * The call ran and this is its outcome.
	 *
	 * @param token the token of the request that ran
	 * @param fingerprint the fingerprint of the call
	 * @param outcome the outcome
	 */
	record Stored(String token, String fingerprint, ClaimOutcome outcome) implements ClaimRow {

		public Stored {
			Objects.requireNonNull(token, "token is null");
			Objects.requireNonNull(fingerprint, "fingerprint is null");
			Objects.requireNonNull(outcome, "outcome is null");
		}

	}

	/**
	 * The call may have run and must not run again.
	 *
	 * @param token the token of the request that may have run
	 * @param fingerprint the fingerprint of the call
	 */
	record Unknown(String token, String fingerprint) implements ClaimRow {

		public Unknown {
			Objects.requireNonNull(token, "token is null");
			Objects.requireNonNull(fingerprint, "fingerprint is null");
		}

	}

	/**
	 * The call certainly did not run, and a repeat may claim the key.
	 *
	 * @param token the token of the request that did not run
	 * @param fingerprint the fingerprint of the call
	 */
	record Voided(String token, String fingerprint) implements ClaimRow {

		public Voided {
			Objects.requireNonNull(token, "token is null");
			Objects.requireNonNull(fingerprint, "fingerprint is null");
		}

	}

}
