package org.rosemaryfront.services;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.rosemaryfront.model.VmId;

/**
 * Chooses backend servers of plain services: the least calls in flight, the own
 * availability zone first among nearly equal ones, none that keeps failing and none that
 * is full.
 */
final class ServiceRouting {

	private static final int OTHER_ZONE_CALLS = 1;

	private static final int FAILURES_TO_EJECT = 3;

	private static final long EJECTED_NANOS = Duration.ofSeconds(5).toNanos();

	private static final double BUDGET_PER_CALL = 0.1;

	private static final double MOST_BUDGET = 20;

	private final String zone;

	private final Map<VmId, Load> loads = new HashMap<>();

	private double budget = MOST_BUDGET;

	private ServiceRouting(String zone) {
		this.zone = zone;
	}

	static ServiceRouting of(String zone) {
		return new ServiceRouting(zone);
	}

	/**
	 * Chooses a backend server and counts the call as in flight there.
	 * @param servers those of the pool
	 * @param tried those that this call tried before
	 * @param depth the most calls in flight at one
	 * @param nowNanos the time on the monotonic clock, in nanoseconds
	 * @return the backend server, empty when none takes the call
	 */
	synchronized Optional<ServiceServer> choose(List<ServiceServer> servers, Set<VmId> tried, int depth,
			long nowNanos) {
		List<ServiceServer> usable = servers.stream()
			.filter((server) -> !server.leaving() && !tried.contains(server.vm()) && load(server.vm()).open < depth)
			.toList();
		// When all of them fail, the fault may be on this side: one is tried anyway.
		List<ServiceServer> well = usable.stream()
			.filter((server) -> nowNanos - load(server.vm()).ejectedUntil >= 0)
			.toList();
		Optional<ServiceServer> chosen = (well.isEmpty() ? usable : well).stream()
			.min(Comparator.comparingInt(this::cost).thenComparing(ServiceServer::vm));
		chosen.ifPresent((server) -> load(server.vm()).open++);
		return chosen;
	}

	/**
	 * Takes the end of a call.
	 * @param vm where it was
	 * @param failed whether the backend server failed
	 * @param nowNanos the time on the monotonic clock, in nanoseconds
	 * @return whether the backend server is ejected by it
	 */
	synchronized boolean ended(VmId vm, boolean failed, long nowNanos) {
		Load load = load(vm);
		load.open--;
		load.failures = failed ? load.failures + 1 : 0;
		boolean ejects = failed && load.failures >= FAILURES_TO_EJECT;
		if (ejects) {
			load.ejectedUntil = nowNanos + EJECTED_NANOS;
		}
		return ejects;
	}

	/** Counts a call, which earns a tenth of a retry. */
	synchronized void earn() {
		this.budget = Math.min(MOST_BUDGET, this.budget + BUDGET_PER_CALL);
	}

	/**
	 * Takes a retry from the budget. Without one, a zone that goes would triple the load
	 * on what is left.
	 * @return whether a retry may be made
	 */
	synchronized boolean spendRetry() {
		if (this.budget < 1) {
			return false;
		}
		this.budget--;
		return true;
	}

	private int cost(ServiceServer server) {
		return load(server.vm()).open + (server.zone().equals(this.zone) ? 0 : OTHER_ZONE_CALLS);
	}

	private Load load(VmId vm) {
		return this.loads.computeIfAbsent(vm, (_) -> new Load());
	}

	private static final class Load {

		private int open;

		private int failures;

		private long ejectedUntil = System.nanoTime();

	}

}
