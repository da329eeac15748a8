package org.rosemaryfront.crashes;

/**
 * Evidence of one crash, or possible crash, of a server that had a request.
 *
 * @param crash the server and the request
 * @param state how certain the crash is
 * @param atMillis when the connection to the server broke, in milliseconds since 1970, by
 * the clock of the process that observed it
 */
public record Evidence(Crash crash, State state, long atMillis) {

	/**
	 * Returns evidence of the same crash in another state.
	 * @param newer the state
	 * @return the evidence, the same instance if the state is unchanged
	 */
	Evidence withState(State newer) {
		return (newer == this.state) ? this : new Evidence(this.crash, newer, this.atMillis);
	}

	/** The certainty of a crash; a later state replaces an earlier one. */
	public enum State {

		/**
		 * A connection broke while the server had the request. This alone does not show a
		 * crash: live servers also truncate responses, and connections are reset.
		 */
		SUSPECTED,

		/** The server has crashed since then, and it was not already leaving. */
		CONFIRMED,

		/**
		 * The crash does not count against the request: the server responded again, the
		 * request got a complete response, or an operator released it. Retained for some
		 * time, so that late updates about the crash have no effect.
		 */
		CLEARED

	}

}
