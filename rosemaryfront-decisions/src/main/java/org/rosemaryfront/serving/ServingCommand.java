package org.rosemaryfront.serving;

import org.rosemaryfront.model.AttemptId;
import org.rosemaryfront.model.Problem;
import org.rosemaryfront.model.RequestId;
import org.rosemaryfront.model.VmId;

/**
 * Something that the traffic threads must do, with the reason for the decision log.
 */
public sealed interface ServingCommand {

	/**
	 * The request that it concerns.
	 * @return the request
	 */
	RequestId request();

	/**
	 * Run the request on a backend server.
	 *
	 * @param request the request
	 * @param attempt the new attempt; answers of earlier attempts are dropped from now on
	 * @param server the VM
	 * @param address its address, {@code host:port}
	 * @param mode how the answer is continued
	 * @param reason why this backend server, for the decision log
	 */
	record Dispatch(RequestId request, AttemptId attempt, VmId server, String address, Mode mode,
			String reason) implements ServingCommand {
	}

	/**
	 * Cancel an attempt at its backend server.
	 *
	 * @param request the request
	 * @param attempt the attempt
	 * @param reason why
	 */
	record Cancel(RequestId request, AttemptId attempt, String reason) implements ServingCommand {
	}

	/**
	 * Give the caller the final answer that the request failed, at once.
	 *
	 * @param request the request
	 * @param problem what the caller reads
	 */
	record Refuse(RequestId request, Problem problem) implements ServingCommand {
	}

	/**
	 * How an answer is begun or continued.
	 */
	sealed interface Mode {

		/** Begin the answer. */
		record Fresh() implements Mode {
		}

		/** Send the prompt and the emitted tokens; the engine computes them again. */
		record Replay() implements Mode {
		}

		/**
		 * Move the KV cache from another backend server, then go on; replay when the move
		 * fails.
		 *
		 * @param source the VM that has the cache
		 * @param sourceAddress its address, {@code host:port}
		 * @param sourceAttempt the attempt that runs there
		 */
		record Import(VmId source, String sourceAddress, AttemptId sourceAttempt) implements Mode {
		}

		/**
		 * Attach again to the engine's stream over a new connection at the offset
		 * reached.
		 *
		 * @param earlier the attempt under which the stream was opened
		 */
		record Reattach(AttemptId earlier) implements Mode {
		}

	}

}
