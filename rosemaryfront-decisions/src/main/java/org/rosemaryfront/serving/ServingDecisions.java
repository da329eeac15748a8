package org.rosemaryfront.serving;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

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

	// -- factories

	/**
	 * The decisions with the parts of the policy that the parameters name.
	 * @param parameters the figures and the parts that are on
	 * @param seed the seed of all random choices
	 * @return decisions with empty tables
	 */
	static ServingDecisions of(ServingParameters parameters, long seed) {
		return TableServingDecisions.of(parameters, seed);
	}

	/**
	 * A simple load balancer to measure against: least in flight, replay on a break, a
	 * bound on open requests.
	 * @param parameters the figures; the parts of the policy are switched off
	 * @param seed the seed of all random choices
	 * @return decisions with empty tables
	 */
	static ServingDecisions baseline(ServingParameters parameters, long seed) {
		Objects.requireNonNull(parameters, "parameters is null");
		return TableServingDecisions.of(parameters.withFeatures(Set.of()), seed);
	}

	// -- decisions

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
	Map<String, Long> tokensInFlight();

	/**
	 * Broken invariants found since the last call; each is a defect of this program that
	 * the caller logs and counts.
	 * @return a sentence for each, empty when all is well
	 */
	default List<String> takeViolations() {
		return List.of();
	}

}
