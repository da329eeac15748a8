package org.rosemaryfront.traffic;

import java.util.Optional;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.limits.ServerStatements;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.routes.Route;
import org.rosemaryfront.routes.TrafficConfiguration;

/**
 * Decides what happens to calls. All methods are called on the traffic thread. Decisions
 * are returned through {@link Call#send}, {@link Call#refuse} and {@link Call#giveUp},
 * from any thread.
 */
public interface CallPolicy {

	/**
	 * Returns the configuration in force.
	 * @return the newest configuration received, empty before the first one
	 */
	Optional<TrafficConfiguration> configuration();

	/**
	 * Returns whether the gateway is stopping, in which case connections are closed after
	 * their current response.
	 * @return true once a stop was requested
	 */
	boolean isStopping();

	/**
	 * Returns whether a new call is accepted.
	 * @param route the route of the call, empty if there is none
	 * @return false if the gateway is stopping and the call might not complete in time
	 */
	boolean acceptsNewCall(Optional<Route> route);

	/**
	 * Returns whether a call must not be sent because its request is quarantined. This is
	 * checked immediately before the first byte is sent, since the quarantine may have
	 * been reported while the connection was made.
	 * @param call the call
	 * @return true if the call is to be returned to the policy as not sent
	 */
	boolean isQuarantined(Call call);

	/**
	 * Returns whether a server accepts calls. This is checked immediately before the
	 * first byte is sent, since the server may have said otherwise while the connection
	 * was made.
	 * @param server the server
	 * @return false if the call is to be returned to the policy as not sent
	 */
	boolean acceptsCalls(BackendServer server);

	/**
	 * Returns a server that another gateway names, so that calls of that gateway can be
	 * carried to it.
	 * @param server the start of the server
	 * @return the server, empty if it does not accept calls or is not known
	 */
	Optional<BackendServer> eligibleServer(BackendServer.Incarnation server);

	/**
	 * Called when a call is ready to be sent to a backend server.
	 * @param call the call
	 */
	void admit(Call call);

	/**
	 * Called when a call has started to run, that is with its first token or its
	 * response.
	 * @param call the call
	 */
	void runStarted(Call call);

	/**
	 * Called when the head of a response was received, whatever its status.
	 * @param server the server
	 * @param requestId the request that the server responds to
	 * @param statements what the server states about itself
	 * @param sentNanos when the request was sent, on the monotonic clock
	 */
	void stated(BackendServer server, String requestId, ServerStatements statements, long sentNanos);

	/**
	 * Called when a call is not expected to get a response of its backend server any
	 * more, but waits for it, since it must not be sent again.
	 * @param call the call
	 */
	void pathLost(Call call);

	/**
	 * Called when an attempt at a backend server failed.
	 * @param call the call
	 * @param server the server
	 * @param failure the failure
	 */
	void failed(Call call, BackendServer server, Failure failure);

	/**
	 * Called when a call ended without a failure at its backend server.
	 * @param call the call
	 * @param server the server
	 * @param ending how it ended
	 */
	void ended(Call call, BackendServer server, Ending ending);

	/**
	 * Called when a call ended while it was assigned to no backend server.
	 * @param call the call
	 */
	void endedWithoutServer(Call call);

	/** How a call ended at a backend server other than by a failure. */
	enum Ending {

		/** The response is complete and not a success. */
		RESPONDED,

		/** The response is complete by its framing, and a success. */
		SUCCEEDED,

		/** A success ended with its connection, so that it may be incomplete. */
		CLOSED,

		/** The deadline passed before the server responded. */
		TIMED_OUT,

		/** The caller disconnected, or the call ended before it was sent. */
		ABANDONED

	}

	/**
	 * A failed attempt to run a call at a backend server.
	 *
	 * @param verdict whether the call may have run
	 * @param sent whether anything was sent to the server
	 * @param responded whether the server sent a complete error response, which the call
	 * keeps
	 * @param cause the cause, for the log
	 * @param pathLost whether the path to the server failed and not the server
	 */
	record Failure(Verdict verdict, boolean sent, boolean responded, String cause, boolean pathLost) {

		/**
		 * Returns whether the server responded that it did not run the call.
		 * @return false if there was no response or the call may have run
		 */
		public boolean isRejection() {
			return this.responded && this.verdict instanceof Verdict.NotRun;
		}

	}

}
