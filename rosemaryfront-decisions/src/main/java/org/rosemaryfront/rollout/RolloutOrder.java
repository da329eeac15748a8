package org.rosemaryfront.rollout;

import java.util.Objects;

/**
 * An operator's order to move the calls of a service to another version of its servers.
 *
 * @param service the service
 * @param targetVersion the candidate version, to which the calls are moved
 * @param durationMillis the time from the order until the roll-out must be complete, in
 * milliseconds
 * @param number the sequence number, which increases with each order, so that a delayed
 * order cannot replace a newer one
 */
public record RolloutOrder(String service, String targetVersion, long durationMillis, long number) {

	public RolloutOrder {
		Objects.requireNonNull(service, "service is null");
		Objects.requireNonNull(targetVersion, "to is null");
	}

}
