package org.rosemaryfront.routes;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * Maps the calls of a host and a path prefix to services.
 *
 * @param name the name of the route
 * @param host the host name in the request
 * @param prefix the prefix of the path, which begins and ends with a slash
 * @param kind whether calls may be retried and how they respond
 * @param timeoutMillis the timeout of a call, in milliseconds
 * @param targetMillis the latency target, in milliseconds
 * @param priority the priority, 0 for the most urgent
 * @param targets the services that share the calls, never empty
 * @param maxAttempts the maximum number of backend servers to which one call is sent
 * @param keyless whether callers need no API key
 * @param resumable whether a stream may be resumed at another backend server
 * @param targetGapMillis the longest pause between the events of a stream that is still
 * in time, in milliseconds; empty if not stated
 */
public record Route(String name, String host, String prefix, CallKind kind, long timeoutMillis, long targetMillis,
		int priority, List<Target> targets, int maxAttempts, boolean keyless, boolean resumable,
		OptionalLong targetGapMillis) {

	public Route {
		Objects.requireNonNull(kind, "kind is null");
		targets = List.copyOf(targets);
		if (targets.isEmpty()) {
			throw new IllegalArgumentException("route " + name + " has no target service");
		}
	}

	/**
	 * Creates a route that states no longest pause between events.
	 * @param name the name of the route
	 * @param host the host name in the request
	 * @param prefix the prefix of the path, which begins and ends with a slash
	 * @param kind whether calls may be retried and how they respond
	 * @param timeoutMillis the timeout of a call, in milliseconds
	 * @param targetMillis the latency target, in milliseconds
	 * @param priority the priority, 0 for the most urgent
	 * @param targets the services that share the calls, never empty
	 * @param maxAttempts the maximum number of backend servers to which one call is sent
	 * @param keyless whether callers need no API key
	 * @param resumable whether a stream may be resumed at another backend server
	 */
	public Route(String name, String host, String prefix, CallKind kind, long timeoutMillis, long targetMillis,
			int priority, List<Target> targets, int maxAttempts, boolean keyless, boolean resumable) {
		this(name, host, prefix, kind, timeoutMillis, targetMillis, priority, targets, maxAttempts, keyless, resumable,
				OptionalLong.empty());
	}

	/**
	 * Returns whether a call that may have run may be sent again.
	 * @return true for idempotent calls and for streams that can be resumed
	 */
	public boolean retryable() {
		return this.kind == CallKind.IDEMPOTENT || (this.kind == CallKind.STREAMING && this.resumable);
	}

	/**
	 * Selects the service for one call in proportion to the weights.
	 * @param draw a random number from 0 (inclusive) to 1 (exclusive)
	 * @return the name of the service
	 */
	public String selectService(double draw) {
		double total = this.targets.stream().mapToDouble(Target::weight).sum();
		double remaining = draw * total;
		for (Target target : this.targets) {
			remaining -= target.weight();
			if (remaining < 0) {
				return target.service();
			}
		}
		return this.targets.getLast().service();
	}

	/**
	 * A service with its weight in a route.
	 *
	 * @param service the name of the service
	 * @param weight the weight, relative to the sum of all weights of the route
	 */
	public record Target(String service, double weight) {
	}

}
