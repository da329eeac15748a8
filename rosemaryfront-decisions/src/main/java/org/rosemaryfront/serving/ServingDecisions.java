package org.rosemaryfront.serving;

import java.util.List;

/**
 * Decides for one entry process which requests run where, when they move and which are
 * refused. Deterministic: no input or output, the time and the seed are passed in. Used
 * by one thread only, the control thread.
 *
 * <pre>
 * decisions.accept(new ServingEvent.RequestArrived(request, spec));
 * decisions.tick(now).forEach(traffic::execute);
 * </pre>
 */
public interface ServingDecisions {

	/**
	 * Takes an event into the tables.
	 * @param event what happened
	 * @param nowNanos the time on the monotonic clock, in nanoseconds
	 */
	void accept(ServingEvent event, long nowNanos);

	/**
	 * Runs all systems over the tables.
	 * @param nowNanos the time on the monotonic clock, in nanoseconds
	 * @return what the traffic threads must do, in order
	 */
	List<ServingCommand> tick(long nowNanos);

	/**
	 * What this process uses, for its peers.
	 * @return tokens in flight by organisation
	 */
	java.util.Map<String, Long> tokensInFlight();

}
