package org.rosemaryfront.crashes;

import org.rosemaryfront.dispatch.BackendServer.Incarnation;

/**
 * Evidence of one crash, or possible crash, of a server that had a request or a segment
 * of a prompt.
 *
 * @param crash the server and the suspect
 * @param state how certain the crash is
 * @param atMillis when the connection to the server broke, in milliseconds since 1970, by
 * the clock of the process that observed it
 * @param request the suspected request, or one that had the suspected segment
 */
public record Evidence(Crash crash, State state, long atMillis, RequestDigest request) {

	/**
	 * Creates evidence against a request.
	 * @param request the request
	 * @param server the server that had it
	 * @param state how certain the crash is
	 * @param atMillis when the connection to the server broke, in milliseconds since 1970
	 * @return the evidence
	 */
	public static Evidence against(RequestDigest request, Incarnation server, State state, long atMillis) {
		return new Evidence(new Crash(request, server), state, atMillis, request);
	}

	/**
	 * Returns evidence of the same crash in another state.
	 * @param newer the state
	 * @return the evidence, the same instance if the state is unchanged
	 */
	Evidence withState(State newer) {
		return (newer == this.state) ? this : new Evidence(this.crash, newer, this.atMillis, this.request);
	}

	/** The certainty of a crash; a later state replaces an earlier one. */
	public enum State {

		/**
		 * A connection broke while the server had the suspect. This alone does not show a
		 * crash: live servers also truncate responses, and connections are reset.
		 */
		SUSPECTED,

		/** The server has crashed since then, and it was not already leaving. */
		CONFIRMED,

		/**
		 * The crash does not count against the suspect: the server responded again, a
		 * request with it got a complete response, or an operator released it. Retained
		 * for some time, so that late updates about the crash have no effect.
		 */
		CLEARED

	}

}
