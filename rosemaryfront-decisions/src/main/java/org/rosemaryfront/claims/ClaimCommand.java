package org.rosemaryfront.claims;

import java.util.Objects;

/**
 * What must be done for a claimed call. At most one {@link Write} or {@link Read} is open
 * at a time, and each is answered by exactly one event.
 */
public sealed interface ClaimCommand {

	/**
	 * Drop the attempt and its connection; no byte may go out after it.
	 *
	 * @param attempt the number of the attempt
	 */
	record Abort(int attempt) implements ClaimCommand {
	}

	/**
	 * Choose a backend server and connect to it.
	 *
	 * @param attempt the number of the attempt
	 */
	record Connect(int attempt) implements ClaimCommand {
	}

	/** The machine is finished: forget it. */
	record Finish() implements ClaimCommand {
	}

	/**
	 * Send the call now.
	 *
	 * @param attempt the number of the attempt
	 */
	record Permit(int attempt) implements ClaimCommand {
	}

	/** Read the row of the key. */
	record Read() implements ClaimCommand {
	}

	/**
	 * Answer the caller.
	 *
	 * @param reply the final answer
	 */
	record Reply(ClaimReply reply) implements ClaimCommand {

		public Reply {
			Objects.requireNonNull(reply, "reply is null");
		}

	}

	/**
	 * Report a broken invariant.
	 *
	 * @param invariant what should have held
	 */
	record Report(String invariant) implements ClaimCommand {

		public Report {
			Objects.requireNonNull(invariant, "invariant is null");
		}

	}

	/**
	 * Write the row of the key on a condition.
	 *
	 * @param version the version that the row must have, 0 when there must be none
	 * @param row the new row
	 */
	record Write(long version, ClaimRow row) implements ClaimCommand {

		public Write {
			Objects.requireNonNull(row, "row is null");
		}

	}

}
