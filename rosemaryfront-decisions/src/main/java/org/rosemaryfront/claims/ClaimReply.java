package org.rosemaryfront.claims;

import java.util.Objects;

import org.rosemaryfront.model.Problem;

/**
 * The final answer to a caller.
 */
public sealed interface ClaimReply {

	/**
	 * The call was given up.
	 *
	 * @param problem the reason and the verdict
	 */
	record Failed(Problem problem) implements ClaimReply {

		public Failed {
			Objects.requireNonNull(problem, "problem is null");
		}

	}

	/**
	 * The call ran now.
	 *
	 * @param outcome its outcome
	 * @param stored whether a repeat gets the same outcome
	 */
	record Ran(ClaimOutcome outcome, boolean stored) implements ClaimReply {

		public Ran {
			Objects.requireNonNull(outcome, "outcome is null");
		}

	}

	/**
	 * The call ran before, under an earlier request with the same key.
	 *
	 * @param outcome its outcome
	 */
	record Repeated(ClaimOutcome outcome) implements ClaimReply {

		public Repeated {
			Objects.requireNonNull(outcome, "outcome is null");
		}

	}

}
