package org.rosemaryfront.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The newest order of each service. */
public final class RolloutTable {

	private final Map<String, Rollout> rollouts = new HashMap<>();

	private final double exposureShare;

	private RolloutTable(double exposureShare) {
		this.exposureShare = exposureShare;
	}

	/**
	 * A table without orders.
	 * @param exposureShare what part of a service's calls a bad version may get
	 * @return the table
	 */
	public static RolloutTable empty(double exposureShare) {
		return new RolloutTable(exposureShare);
	}

	/**
	 * Takes an order. One that comes again while it is carried out changes nothing.
	 * @param order the order
	 * @return whether it is new
	 */
	public boolean ordered(RolloutOrder order) {
		Rollout known = this.rollouts.get(order.service());
		if (known != null && !supersedes(order, known)) {
			return false;
		}
		this.rollouts.put(order.service(), Rollout.of(order, this.exposureShare));
		return true;
	}

	private static boolean supersedes(RolloutOrder order, Rollout known) {
		boolean newer = order.number() > known.order().number();
		boolean again = order.to().equals(known.order().to()) && !known.phase().isFinal();
		return newer && !again;
	}

	/**
	 * Takes the withdrawal of an order: none is left for its service.
	 * @param service the service
	 * @return the roll-out that was under way, empty when there was none
	 */
	public Optional<Rollout> withdrawn(String service) {
		return Optional.ofNullable(this.rollouts.remove(service));
	}

	/**
	 * The roll-out of a service.
	 * @param service the service
	 * @return the newest, decided or not
	 */
	public Optional<Rollout> find(String service) {
		return Optional.ofNullable(this.rollouts.get(service));
	}

	/**
	 * All roll-outs.
	 * @return the newest of each service
	 */
	public Collection<Rollout> all() {
		return this.rollouts.values();
	}

}
