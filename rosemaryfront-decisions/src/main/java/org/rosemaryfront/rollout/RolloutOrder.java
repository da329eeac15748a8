package org.rosemaryfront.rollout;

import java.util.Objects;

/**
 * An operator's order to move the calls of a service to another version of its servers.
 *
 * @param service the service
 * @param to the version that its calls are moved to
 * @param durationMillis the time from the order until the roll-out is to be decided, in
 * milliseconds
 * @param number grows with each order, so that a late one is not taken for the newest
 */
public record RolloutOrder(String service, String to, long durationMillis, long number) {

	public RolloutOrder {
		Objects.requireNonNull(service, "service is null");
		Objects.requireNonNull(to, "to is null");
	}

}
