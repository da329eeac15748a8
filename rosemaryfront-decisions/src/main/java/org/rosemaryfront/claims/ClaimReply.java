package org.rosemaryfront.claims;

import java.util.Objects;

import org.rosemaryfront.model.Problem;

/**
 * Final response to a caller.
 */
public sealed interface ClaimReply {

	/**
	 * The call ended without an outcome.
	 *
	 * @param problem the reason and the verdict
	 */
	record Failed(Problem problem) implements ClaimReply {

		public Failed {
			Objects.requireNonNull(problem, "problem is null");
		}

	}

	/**
	 * This request ran the call.
	 *
	 * @param outcome its outcome
	 * @param stored whether the outcome is stored, so that a repeat receives the same one
	 */
	record Ran(ClaimOutcome outcome, boolean stored) implements ClaimReply {

		public Ran {
			Objects.requireNonNull(outcome, "outcome is null");
		}

	}

	/**
	 * An earlier request with the same key ran the call.
	 *
	 * @param outcome its outcome
	 */
	record Repeated(ClaimOutcome outcome) implements ClaimReply {

		public Repeated {
			Objects.requireNonNull(outcome, "outcome is null");
		}

	}

}
