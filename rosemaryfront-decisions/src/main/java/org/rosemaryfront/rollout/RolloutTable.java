package org.rosemaryfront.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The latest roll-out of each service. */
public final class RolloutTable {

	private final Map<String, Rollout> rollouts = new HashMap<>();

	private final double exposureShare;

	private RolloutTable(double exposureShare) {
		this.exposureShare = exposureShare;
	}

	/**
	 * Creates an empty table.
	 * @param exposureShare the maximum share of a service's calls that a failing
	 * candidate version may get
	 * @return the table
	 */
	public static RolloutTable empty(double exposureShare) {
		return new RolloutTable(exposureShare);
	}

	/**
	 * Adds an order, which replaces an older one of the service. Ignored are orders whose
	 * number is not higher, orders for the version to which the service is already being
	 * moved, and orders that were written again after a restore of the store.
	 * @param order the order
	 * @return whether the order was added
	 */
	public boolean addOrder(RolloutOrder order) {
		Rollout current = this.rollouts.get(order.service());
		if (current != null && !supersedes(order, current)) {
			return false;
		}
		this.rollouts.put(order.service(), Rollout.of(order, this.exposureShare));
		return true;
	}

	private static boolean supersedes(RolloutOrder order, Rollout current) {
		boolean newer = order.number() > current.order().number();
		boolean isDuplicate = order.targetVersion().equals(current.order().targetVersion())
				&& !current.phase().isFinal();
		return newer && !isDuplicate && !order.isRewriteOf(current.order());
	}

	/**
	 * Removes the roll-out of a service whose order was withdrawn.
	 * @param service the service
	 * @return the removed roll-out, empty if there was none
	 */
	public Optional<Rollout> withdraw(String service) {
		return Optional.ofNullable(this.rollouts.remove(service));
	}

	/**
	 * Returns the roll-out of a service.
	 * @param service the service
	 * @return the latest roll-out, also if it is complete, empty if there is none
	 */
	public Optional<Rollout> find(String service) {
		return Optional.ofNullable(this.rollouts.get(service));
	}

	/**
	 * Returns the roll-outs of all services.
	 * @return the latest roll-out of each service
	 */
	public Collection<Rollout> all() {
		return this.rollouts.values();
	}

}
