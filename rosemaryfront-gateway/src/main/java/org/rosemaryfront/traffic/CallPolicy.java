package org.rosemaryfront.traffic;

import java.util.Optional;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.routes.Route;
import org.rosemaryfront.routes.TrafficConfiguration;

/**
 * Decides about calls. Called on the traffic thread; what it decides comes back by
 * {@link Call#send}, {@link Call#refuse} and {@link Call#giveUp}, from any thread.
 */
public interface CallPolicy {

	/**
	 * The configuration in force.
	 * @return the newest known, empty while none is known
	 */
	Optional<TrafficConfiguration> configuration();

	/**
	 * Whether this process is stopping, so that connections end with their answer.
	 * @return true once a stop was asked for
	 */
	boolean stopping();

	/**
	 * Whether a new call is taken.
	 * @param route its route, empty when there is none
	 * @return false once a stop is so far that the call may not come to its end
	 */
	boolean accepting(Optional<Route> route);

	/**
	 * Whether a call must not be sent any more; asked right before its bytes leave, since
	 * news of its request may have come while its connection was made.
	 * @param call the call
	 * @return true when it is to be given back as not sent
	 */
	boolean isHeldBack(Call call);

	/**
	 * Whether a server still takes calls; asked right before the bytes of one leave,
	 * since the server may have said that it leaves while the connection was made.
	 * @param server the server
	 * @return false when the call is to be given back as not sent
	 */
	boolean takesCalls(BackendServer server);

	/**
	 * A call came in and wants a backend server.
	 * @param call the call
	 */
	void admit(Call call);

	/**
	 * A call began to run: its first token came, or its answer.
	 * @param call the call
	 */
	void began(Call call);

	/**
	 * A backend server did not answer a call to a good end.
	 * @param call the call
	 * @param server the server
	 * @param failure what happened
	 */
	void failed(Call call, BackendServer server, Failure failure);

	/**
	 * A call is over at a backend server.
	 * @param call the call
	 * @param server the server
	 * @param ending how it ended
	 */
	void ended(Call call, BackendServer server, Ending ending);

	/**
	 * A call is over that no backend server has.
	 * @param call the call
	 */
	void dropped(Call call);

	/** How a call ended at a backend server that did not fail it. */
	enum Ending {

		/** It was answered. */
		ANSWERED,

		/** Its time was over before the server answered. */
		UNANSWERED,

		/** Its caller left, or it ended before it was sent. */
		ABANDONED

	}

	/**
	 * How a backend server failed a call.
	 *
	 * @param verdict whether the call may have run
	 * @param sent whether anything was sent to the server
	 * @param answered whether the server itself gave a final answer, kept by the call
	 * @param cause what happened, for the log
	 */
	record Failure(Verdict verdict, boolean sent, boolean answered, String cause) {
	}

}
