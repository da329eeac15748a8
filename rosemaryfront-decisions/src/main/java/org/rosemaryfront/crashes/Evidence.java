package org.rosemaryfront.crashes;

/**
 * What is known of one crash of a server that had a request.
 *
 * @param crash the server and the request
 * @param state how sure it is
 * @param atMillis when the server's connection broke, in milliseconds since 1970, by the
 * clock of the process that saw it
 */
public record Evidence(Crash crash, State state, long atMillis) {

	/**
	 * The same crash in another state.
	 * @param newer the state
	 * @return the evidence
	 */
	Evidence in(State newer) {
		return (newer == this.state) ? this : new Evidence(this.crash, newer, this.atMillis);
	}

	/** How sure a crash is; a later state takes the place of an earlier one. */
	public enum State {

		/**
		 * A connection broke off while the server had the request. That alone shows no
		 * crash: answers are cut by servers that live, and connections are reset.
		 */
		SUSPECTED,

		/** The server has crashed since, and it had not been about to leave. */
		CONFIRMED,

		/**
		 * It does not speak against the request: the server answered again, the request
		 * was answered whole, or an operator released it. Kept for a while, so that late
		 * news of the crash does not count.
		 */
		CLEARED

	}

}
