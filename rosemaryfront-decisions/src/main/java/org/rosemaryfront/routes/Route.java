package org.rosemaryfront.routes;

import java.util.List;
import java.util.Objects;

/**
 * Where the calls of a host and a path prefix go.
 *
 * @param name the name of the route
 * @param host the host that callers name
 * @param prefix the prefix of the path, with a slash at both ends
 * @param kind what may be repeated
 * @param timeoutMillis the longest time a call is kept waiting, in milliseconds
 * @param targetMillis the latency target, in milliseconds
 * @param priority the rank, 0 for the most urgent
 * @param targets the services that share the calls, never empty
 * @param maxAttempts the greatest number of backend servers that one call is sent to
 * @param open whether callers need no key
 * @param resumable whether a stream may go on at another backend server
 */
public record Route(String name, String host, String prefix, CallKind kind, long timeoutMillis, long targetMillis,
		int priority, List<Target> targets, int maxAttempts, boolean open, boolean resumable) {

	public Route {
		Objects.requireNonNull(kind, "kind is null");
		targets = List.copyOf(targets);
		if (targets.isEmpty()) {
			throw new IllegalArgumentException("route " + name + " has no service");
		}
	}

	/**
	 * Whether a call may run again although it may have run before.
	 * @return true for idempotent calls, and for streams as long as they can be resumed
	 */
	public boolean repeatable() {
		return this.kind == CallKind.IDEMPOTENT || (this.kind == CallKind.STREAMING && this.resumable);
	}

	/**
	 * The service for one call, in proportion to the weights.
	 * @param draw a number from 0 to 1, 1 excluded
	 * @return the name of the service
	 */
	public String service(double draw) {
		double total = this.targets.stream().mapToDouble(Target::weight).sum();
		double left = draw * total;
		for (Target target : this.targets) {
			left -= target.weight();
			if (left < 0) {
				return target.service();
			}
		}
		return this.targets.getLast().service();
	}

	/**
	 * A service with its share of a route.
	 *
	 * @param service the name of the service
	 * @param weight the share, against the sum of all shares of the route
	 */
	public record Target(String service, double weight) {
	}

}
