package org.rosemaryfront.claims;

import java.util.Objects;

/**
 * Action to perform for a claimed call. At most one {@link Write} or {@link Read} is
 * outstanding at a time, and each results in exactly one event.
 */
public sealed interface ClaimCommand {

	/**
	 * Abort the attempt and close its connection; no byte may be sent afterwards.
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

	/** The machine is finished and can be discarded. */
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
	 * Send the final response to the caller.
	 *
	 * @param reply the final response
	 */
	record Reply(ClaimReply reply) implements ClaimCommand {

		public Reply {
			Objects.requireNonNull(reply, "reply is null");
		}

	}

	/**
	 * Report a violated invariant.
	 *
	 * @param invariant the violated invariant
	 */
	record Report(String invariant) implements ClaimCommand {

		public Report {
			Objects.requireNonNull(invariant, "invariant is null");
		}

	}

	/**
	 * Write the row of the key if it has the expected version.
	 *
	 * @param version the expected version of the row, 0 when no row may exist
	 * @param row the new row
	 */
	record Write(long version, ClaimRow row) implements ClaimCommand {

		public Write {
			Objects.requireNonNull(row, "row is null");
		}

	}

}
