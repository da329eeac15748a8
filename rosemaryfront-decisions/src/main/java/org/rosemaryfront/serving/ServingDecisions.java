package org.rosemaryfront.serving;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Decides for one entry process which requests run on which backend server, when they
 * move and which are refused. Deterministic: performs no input or output, and receives
 * the time and the seed from the caller. Used by a single thread, the control thread.
 *
 * <pre>
 * decisions.accept(new ServingEvent.RequestArrived(request, spec));
 * decisions.tick(now).forEach(traffic::execute);
 * </pre>
 */
public interface ServingDecisions {

	// -- factories

	/**
	 * Creates decisions with the policy features that the parameters enable.
	 * @param parameters the parameters and the enabled features
	 * @param seed the seed of all random choices
	 * @return decisions with empty tables
	 */
	static ServingDecisions of(ServingParameters parameters, long seed) {
		return TableServingDecisions.of(parameters, seed);
	}

	/**
	 * Creates a simple load balancer as the baseline of measurements: least requests in
	 * flight, replay after a failure, and a limit of the open requests.
	 * @param parameters the parameters; all policy features are disabled
	 * @param seed the seed of all random choices
	 * @return decisions with empty tables
	 */
	static ServingDecisions baseline(ServingParameters parameters, long seed) {
		Objects.requireNonNull(parameters, "parameters is null");
		return TableServingDecisions.of(parameters.withFeatures(Set.of()), seed);
	}

	// -- decisions

	/**
	 * Records an event in the tables.
	 * @param event the event
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void accept(ServingEvent event, long nowNanos);

	/**
	 * Runs all systems over the tables.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the commands for the traffic threads, in order
	 */
	List<ServingCommand> tick(long nowNanos);

	/**
	 * Returns the usage of this process, which is reported to its peers.
	 * @return tokens in flight by organisation
	 */
	Map<String, Long> tokensInFlight();

	/**
	 * Returns the invariant violations found since the last call; each is a defect of
	 * this program that the caller logs and counts.
	 * @return a sentence for each violation, empty if there is none
	 */
	default List<String> takeViolations() {
		return List.of();
	}

}
