package org.rosemaryfront.dispatch;

import java.util.Optional;

/**
 * A run of a request at a server, other than one that continues from a copy of an earlier
 * run. Every way to a server asks here whether it may begin.
 *
 * @param mayHaveRun whether a server may have run the request in any earlier attempt
 * @param stopped whether the gateway itself has asked a run of the request to stop
 * @param repeatable whether the route allows a request to run more than once
 * @param whole whether the request can be sent as it came, and the response can go on
 */
public record NewRun(boolean mayHaveRun, boolean stopped, boolean repeatable, boolean whole) {

	/**
	 * Returns why the run must not begin.
	 * @return the reason, empty if it may begin
	 */
	public Optional<Obstacle> obstacle() {
		if ((this.mayHaveRun || this.stopped) && !this.repeatable) {
			return Optional.of(Obstacle.MAY_HAVE_RUN);
		}
		return this.whole ? Optional.empty() : Optional.of(Obstacle.NOT_WHOLE);
	}

	/** Why a run must not begin. */
	public enum Obstacle {

		/** The request may have run and must not run again. */
		MAY_HAVE_RUN,

		/** The request was streamed or the response started. */
		NOT_WHOLE

	}

}
