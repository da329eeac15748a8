package org.rosemaryfront.ports;

import java.time.Duration;

import reactor.core.publisher.Mono;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.moves.CopyAnswer;

/** Copies runs from one model engine to another. */
public interface EngineRuns {

	/**
	 * Copies the KV cache entries of a run. Repeated, it copies only what is new.
	 * @param source the server of the run
	 * @param requestId identifies the run
	 * @param target the server that gets the copy
	 * @param last whether the run stops first
	 * @param timeout the time within which the copy must be complete
	 * @return the answer, {@link CopyAnswer.Failed} if there is none in time
	 */
	Mono<CopyAnswer> copy(BackendServer source, String requestId, BackendServer target, boolean last, Duration timeout);

	/**
	 * Frees a copy at both ends.
	 * @param source the server that made it
	 * @param handle identifies it
	 * @return whether the server confirmed that; a copy that is not used is freed by the
	 * servers after some time
	 */
	Mono<Boolean> drop(BackendServer source, String handle);

}
