package org.rosemaryfront.rollout;

import java.util.Objects;

import org.rosemaryfront.tables.StoreVersion;

/**
 * An operator's order to move the calls of a service to another version of its servers.
 *
 * @param service the service
 * @param targetVersion the candidate version, to which the calls are moved
 * @param durationMillis the time from the order until the roll-out must be complete, in
 * milliseconds
 * @param number the version of the store with which it was written, so that a delayed
 * order cannot replace a newer one
 */
public record RolloutOrder(String service, String targetVersion, long durationMillis, long number) {

	public RolloutOrder {
		Objects.requireNonNull(service, "service is null");
		Objects.requireNonNull(targetVersion, "to is null");
	}

	/**
	 * Returns whether this order is another one as it was written again, because the
	 * store came back from a copy and assigns its versions again.
	 * @param other the other order
	 * @return true if they differ at most in their numbers, which are of different
	 * generations of the store
	 */
	public boolean isRewriteOf(RolloutOrder other) {
		boolean sameContent = this.service.equals(other.service) && this.targetVersion.equals(other.targetVersion)
				&& this.durationMillis == other.durationMillis;
		return sameContent && !StoreVersion.sameGeneration(this.number, other.number);
	}

}
