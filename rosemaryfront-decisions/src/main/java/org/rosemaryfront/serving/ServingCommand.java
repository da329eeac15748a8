package org.rosemaryfront.serving;

import org.rosemaryfront.model.AttemptId;
import org.rosemaryfront.model.Problem;
import org.rosemaryfront.model.RequestId;
import org.rosemaryfront.model.VmId;

/** A command for the traffic threads, with the reason for the decision log. */
public sealed interface ServingCommand {

	/**
	 * Returns the request that the command concerns.
	 * @return the request
	 */
	RequestId request();

	/**
	 * Runs the request on a backend server.
	 *
	 * @param request the request
	 * @param attempt the new attempt; answers of earlier attempts are dropped from now on
	 * @param server the VM of the backend server
	 * @param address its address, {@code host:port}
	 * @param mode how the answer is started or continued
	 * @param reason why this backend server was chosen, for the decision log
	 */
	record Dispatch(RequestId request, AttemptId attempt, VmId server, String address, Mode mode,
			String reason) implements ServingCommand {
	}

	/**
	 * Cancels an attempt at its backend server.
	 *
	 * @param request the request
	 * @param attempt the attempt
	 * @param reason the reason for the decision log
	 */
	record Cancel(RequestId request, AttemptId attempt, String reason) implements ServingCommand {
	}

	/**
	 * Immediately sends the caller the final response that the request failed.
	 *
	 * @param request the request
	 * @param problem the error for the caller
	 */
	record Refuse(RequestId request, Problem problem) implements ServingCommand {
	}

	/** How an answer is started or continued. */
	sealed interface Mode {

		/** Starts the answer. */
		record Fresh() implements Mode {
		}

		/** Sends the prompt and the emitted tokens; the engine computes them again. */
		record Replay() implements Mode {
		}

		/**
		 * Transfers the KV cache from another backend server and continues the answer;
		 * the request is replayed if the transfer fails.
		 *
		 * @param source the VM that has the cache
		 * @param sourceAddress its address, {@code host:port}
		 * @param sourceAttempt the attempt that runs there
		 */
		record Import(VmId source, String sourceAddress, AttemptId sourceAttempt) implements Mode {
		}

		/**
		 * Reattaches to the engine's stream over a new connection at the current offset.
		 *
		 * @param earlier the attempt under which the stream was opened
		 */
		record Reattach(AttemptId earlier) implements Mode {
		}

	}

}
