package org.rosemaryfront.gateway;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.BackendTable;
import org.rosemaryfront.duties.CapacityPlanner;
import org.rosemaryfront.duties.CapacityPlanner.Demand;
import org.rosemaryfront.duties.CapacityPlanner.ZoneSize;
import org.rosemaryfront.duties.PoolSize;
import org.rosemaryfront.duties.ScalingOrders;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.ports.Duties;
import org.rosemaryfront.ports.StoreException;
import org.rosemaryfront.routes.ServiceSpec;
import org.rosemaryfront.routes.TrafficConfiguration;

/**
 * Orders the sizes of services while this process holds the duties. Used on the control
 * thread.
 */
final class SizeDuty {

	/** The interval between measurements of the demand, in nanoseconds. */
	private static final long MEASURE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * The time after the last registration of a service's server after which all its
	 * servers are assumed to have registered: twice the longest interval observed between
	 * two registrations during a start.
	 */
	private static final long REGISTRATION_SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_400);

	/** The number of reclaimable servers ordered per zone before there is a plan. */
	private static final int INITIAL_RECLAIMABLE = 2;

	private final BackendTable servers;

	/** The rate at which a server of a service prefills prompts, learned from calls. */
	private final ToDoubleFunction<String> tokensPerMilli;

	/** Tests whether a server counts towards the capacity of its service. */
	private final Predicate<BackendServer> countsTowardsCapacity;

	/** Tests whether a server takes only a limited number of requests. */
	private final Predicate<BackendServer> hasLimit;

	private final Duties duties;

	private final List<String> zones;

	private final Consumer<Runnable> control;

	private final Runnable onFenced;

	private final Map<String, CapacityPlanner> planners = new HashMap<>();

	/** The newest plan by service. */
	private final Map<String, CapacityPlanner.Plan> newestPlans = new HashMap<>();

	private final ScalingOrders orders = new ScalingOrders();

	/** The servers seen when orders were last derived, by service. */
	private final Map<String, Map<String, ZoneSize>> lastPresent = new HashMap<>();

	private final Map<String, RegistrationState> registrations = new HashMap<>();

	private long measuredNanos;

	private boolean measured;

	/** Whether there are plans that no order was derived from yet. */
	private boolean plansPending;

	/**
	 * Whether a reclaimable VM was refused. Its replacement takes seconds to boot, so it
	 * is ordered immediately.
	 */
	private boolean replacementPending;

	/** The fencing number of the last orders, 0 before the first. */
	private long lastFence;

	private double lastTokens;

	private double tokensPerSecond;

	SizeDuty(BackendTable servers, ToDoubleFunction<String> tokensPerMilli,
			Predicate<BackendServer> countsTowardsCapacity, Predicate<BackendServer> hasLimit, Duties duties,
			List<String> zones, Consumer<Runnable> control, Runnable onFenced) {
		this.tokensPerMilli = tokensPerMilli;
		this.countsTowardsCapacity = countsTowardsCapacity;
		this.hasLimit = hasLimit;
		this.onFenced = onFenced;
		this.servers = servers;
		this.duties = duties;
		this.zones = zones;
		this.control = control;
	}

	/**
	 * Measures the demand and plans the sizes. Every gateway does this, so that a new
	 * holder of the duties knows the recently required capacity. Without it, a successor
	 * released the servers that its predecessor had ordered, during a correlated reclaim.
	 * @param configuration the configuration in force
	 * @param prefillTokens the prompt tokens prefilled by servers since the start
	 * @param now the current time on the monotonic clock, in nanoseconds
	 */
	void updatePlans(TrafficConfiguration configuration, double prefillTokens, long now) {
		if (this.measured && now - this.measuredNanos < MEASURE_INTERVAL_NANOS) {
			return;
		}
		measure(prefillTokens, now);
		configuration.services()
			.stream()
			.filter((service) -> service.scaling().isPresent() && isSettled(service.name(), now))
			.forEach((service) -> this.newestPlans.put(service.name(), plan(service, now)));
		this.plansPending = true;
	}

	/**
	 * Orders the servers that the plans lack, while this process holds the duties: with
	 * each new plan, and immediately when servers register or are removed.
	 * @param fence the fencing number
	 * @param configuration the configuration in force
	 * @param now the current time on the monotonic clock, in nanoseconds
	 */
	void act(long fence, TrafficConfiguration configuration, long now) {
		if (fence != this.lastFence) {
			this.lastFence = fence;
			this.orders.dutiesTaken();
		}
		boolean due = this.plansPending || this.replacementPending;
		this.plansPending = false;
		this.replacementPending = false;
		configuration.services()
			.stream()
			.filter((service) -> service.scaling().isPresent())
			.forEach((service) -> act(fence, service, due, now));
	}

	private void act(long fence, ServiceSpec service, boolean due, long now) {
		CapacityPlanner.Plan plan = this.newestPlans.get(service.name());
		if (plan == null) {
			this.zones.forEach((zone) -> orderInitial(fence, service, zone, now));
			return;
		}
		Map<String, ZoneSize> current = presentServers(service.name());
		boolean changed = !current.equals(this.lastPresent.put(service.name(), current));
		if (due || changed) {
			this.orders.nextOrders(service, plan, current, now).forEach((size) -> order(fence, size));
		}
	}

	private void measure(double prefillTokens, long now) {
		if (this.measured) {
			double rate = (prefillTokens - this.lastTokens) * 1e9 / (now - this.measuredNanos);
			// Averages with the previous rate, because a single prompt may dominate one
			// second.
			this.tokensPerSecond = (this.tokensPerSecond + Math.max(0, rate)) / 2;
		}
		this.measured = true;
		this.measuredNanos = now;
		this.lastTokens = prefillTokens;
	}

	// The servers of a starting service register one after the other. A plan made from
	// the first of them released the others: the traffic began with four servers where it
	// needed seven, and in its first six seconds only 0.5 of it was in time.
	private boolean isSettled(String service, long now) {
		RegistrationState previous = this.registrations.getOrDefault(service, RegistrationState.NONE);
		if (previous.settled) {
			return true;
		}
		Collection<ZoneSize> current = presentServers(service).values();
		// Reclaimable servers are ordered by this duty and do not show whether the others
		// have registered.
		int onDemand = onDemandCount(current);
		boolean anyPresent = current.stream().anyMatch((zone) -> zone.servers() > 0);
		boolean grew = onDemand > previous.maxOnDemand || (anyPresent && !previous.anyPresent);
		long since = grew ? now : previous.sinceNanos;
		boolean settled = !grew && anyPresent && now - since >= REGISTRATION_SETTLE_NANOS;
		this.registrations.put(service,
				new RegistrationState(Math.max(onDemand, previous.maxOnDemand), anyPresent, since, settled));
		return settled;
	}

	private CapacityPlanner.Plan plan(ServiceSpec service, long now) {
		Map<String, Double> prices = service.scaling().orElseThrow().zonePrices();
		List<String> cheapestFirst = this.zones.stream()
			.sorted(Comparator.comparingDouble((zone) -> prices.getOrDefault(zone, 1.0)))
			.toList();
		Demand demand = new Demand(this.tokensPerSecond, 1_000 * this.tokensPerMilli.applyAsDouble(service.name()),
				this.servers.callsOf(service.name()), onDemandCount(presentServers(service.name()).values()),
				limitedServers(service.name()));
		return this.planners.computeIfAbsent(service.name(), (_) -> new CapacityPlanner())
			.plan(service, cheapestFirst, demand, now);
	}

	private int limitedServers(String service) {
		return (int) this.servers.serversOf(service)
			.stream()
			.filter((server) -> !server.leaving() && this.hasLimit.test(server))
			.count();
	}

	// Some reclaimable servers are needed whatever the plan will be. Ordered now, they
	// boot while the running servers register, and take over from them seconds earlier.
	private void orderInitial(long fence, ServiceSpec service, String zone, long now) {
		ServiceSpec.ScalingSpec bounds = service.scaling().orElseThrow();
		if (presentServers(service.name()).get(zone).reclaimable() == 0) {
			int servers = Math.clamp(INITIAL_RECLAIMABLE, bounds.min(), bounds.max());
			this.orders.nextOrder(service, new PoolSize(service.name(), zone, servers, true), 0, now)
				.ifPresent((size) -> order(fence, size));
		}
	}

	private void order(long fence, PoolSize size) {
		ZoneSize current = presentServers(size.service()).get(size.zone());
		EventLog.info(GatewayEvents.SIZE_ORDERED, "service", size.service(), "zone", size.zone(), "servers",
				size.servers(), "reclaimable", size.reclaimable(), "present",
				size.reclaimable() ? current.reclaimable() : current.onDemand(), "tokensPerSecond",
				Math.round(this.tokensPerSecond), "serverTokensPerMilli",
				Math.round(this.tokensPerMilli.applyAsDouble(size.service())), "calls",
				this.servers.callsOf(size.service()), "fence", fence);
		this.duties.resize(fence, size).subscribe((_) -> {
		}, (failure) -> this.control.accept(() -> failed(size, failure)),
				() -> this.control.accept(() -> this.orders.recordAccepted(size)));
	}

	private void failed(PoolSize size, Throwable failure) {
		EventLog.info(GatewayEvents.SIZE_NOT_ORDERED, "service", size.service(), "zone", size.zone(), "servers",
				size.servers(), "reclaimable", size.reclaimable(), "cause", failure.getMessage());
		if (failure instanceof StoreException ex && ex.reason() == StoreException.Reason.FENCED) {
			this.onFenced.run();
		}
		boolean noneAvailable = failure instanceof StoreException ex
				&& ex.reason() == StoreException.Reason.NONE_AVAILABLE;
		this.orders.recordFailure(size, noneAvailable, System.nanoTime());
		if (noneAvailable) {
			this.replacementPending = true;
		}
	}

	private Map<String, ZoneSize> presentServers(String service) {
		Map<String, ZoneSize> present = new HashMap<>();
		this.zones.forEach((zone) -> present.put(zone, ZoneSize.NONE));
		this.servers.servers()
			.stream()
			.filter((server) -> server.service().equals(service) && !server.leaving()
					&& this.countsTowardsCapacity.test(server))
			.forEach((server) -> present.computeIfPresent(server.zone(), (_, current) -> add(current, server)));
		return present;
	}

	private static int onDemandCount(Collection<ZoneSize> current) {
		return current.stream().mapToInt(ZoneSize::onDemand).sum();
	}

	private static ZoneSize add(ZoneSize current, BackendServer server) {
		return server.reclaimable() ? new ZoneSize(current.onDemand(), current.reclaimable() + 1)
				: new ZoneSize(current.onDemand() + 1, current.reclaimable());
	}

	/**
	 * The servers of a service that have registered since the start.
	 *
	 * @param maxOnDemand the maximum number of on-demand servers seen at the same time
	 * @param anyPresent whether any server was present at the last check
	 * @param sinceNanos when that state last grew, on the monotonic clock
	 * @param settled whether all servers are assumed to have registered
	 */
	private record RegistrationState(int maxOnDemand, boolean anyPresent, long sinceNanos, boolean settled) {

		private static final RegistrationState NONE = new RegistrationState(0, false, 0, false);

	}

}
