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
import org.rosemaryfront.duties.Size;
import org.rosemaryfront.duties.SizeOrders;
import org.rosemaryfront.duties.SizePlan;
import org.rosemaryfront.duties.SizePlan.Demand;
import org.rosemaryfront.duties.SizePlan.ZoneSize;
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
	private static final long LOOK_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * The time after the last registration of a service's server after which all its
	 * servers are assumed to have registered: twice the longest interval observed between
	 * two registrations during a start.
	 */
	private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_400);

	/** The number of reclaimable servers ordered per zone before there is a plan. */
	private static final int FIRST_RECLAIMABLE = 2;

	private final BackendTable servers;

	/** The rate at which a server of a service prefills prompts, learned from calls. */
	private final ToDoubleFunction<String> tokensPerMilli;

	/** Tests whether a server counts towards the capacity of its service. */
	private final Predicate<BackendServer> counted;

	private final Duties duties;

	private final List<String> zones;

	private final Consumer<Runnable> control;

	private final Runnable fenced;

	private final Map<String, SizePlan> plans = new HashMap<>();

	/** The newest plan by service. */
	private final Map<String, SizePlan.Plan> needs = new HashMap<>();

	private final SizeOrders orders = new SizeOrders();

	/** The servers seen when orders were last derived, by service. */
	private final Map<String, Map<String, ZoneSize>> lastPresent = new HashMap<>();

	private final Map<String, Registered> registered = new HashMap<>();

	private long lookedNanos;

	private boolean looked;

	/** Whether there are plans that no order was derived from yet. */
	private boolean planned;

	/**
	 * Whether a reclaimable VM was refused. Its replacement takes seconds to boot, so it
	 * is ordered immediately.
	 */
	private boolean fallbackWanted;

	private double lastTokens;

	private double tokensPerSecond;

	SizeDuty(BackendTable servers, ToDoubleFunction<String> tokensPerMilli, Predicate<BackendServer> counted,
			Duties duties, List<String> zones, Consumer<Runnable> control, Runnable fenced) {
		this.tokensPerMilli = tokensPerMilli;
		this.counted = counted;
		this.fenced = fenced;
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
	 * @param readingTokens the prompt tokens prefilled by servers since the start
	 * @param now the current time on the monotonic clock, in nanoseconds
	 */
	void look(TrafficConfiguration configuration, double readingTokens, long now) {
		if (this.looked && now - this.lookedNanos < LOOK_NANOS) {
			return;
		}
		measure(readingTokens, now);
		configuration.services()
			.stream()
			.filter((service) -> service.scaling().isPresent() && isSettled(service.name(), now))
			.forEach((service) -> this.needs.put(service.name(), plan(service, now)));
		this.planned = true;
	}

	/**
	 * Orders the servers that the plans lack, while this process holds the duties: with
	 * each new plan, and immediately when servers register or are removed.
	 * @param fence the fencing number
	 * @param configuration the configuration in force
	 * @param now the current time on the monotonic clock, in nanoseconds
	 */
	void act(long fence, TrafficConfiguration configuration, long now) {
		boolean due = this.planned || this.fallbackWanted;
		this.planned = false;
		this.fallbackWanted = false;
		configuration.services()
			.stream()
			.filter((service) -> service.scaling().isPresent())
			.forEach((service) -> act(fence, service, due, now));
	}

	private void act(long fence, ServiceSpec service, boolean due, long now) {
		SizePlan.Plan plan = this.needs.get(service.name());
		if (plan == null) {
			this.zones.forEach((zone) -> begin(fence, service, zone, now));
			return;
		}
		Map<String, ZoneSize> here = present(service.name());
		boolean moved = !here.equals(this.lastPresent.put(service.name(), here));
		if (due || moved) {
			this.orders.next(service, plan, here, now).forEach((size) -> order(fence, size));
		}
	}

	private void measure(double readingTokens, long now) {
		if (this.looked) {
			double rate = (readingTokens - this.lastTokens) * 1e9 / (now - this.lookedNanos);
			// Averages with the previous rate, because a single prompt may dominate one
			// second.
			this.tokensPerSecond = (this.tokensPerSecond + Math.max(0, rate)) / 2;
		}
		this.looked = true;
		this.lookedNanos = now;
		this.lastTokens = readingTokens;
	}

	// The servers of a starting service register one after the other. A plan made from
	// the first of them released the others: the traffic began with four servers where it
	// needed seven, and in its first six seconds only 0.5 of it was in time.
	private boolean isSettled(String service, long now) {
		Registered before = this.registered.getOrDefault(service, Registered.NONE);
		if (before.settled) {
			return true;
		}
		Collection<ZoneSize> here = present(service).values();
		// Reclaimable servers are ordered by this duty and do not show whether the others
		// have registered.
		int lasting = lasting(here);
		boolean any = here.stream().anyMatch((zone) -> zone.servers() > 0);
		boolean more = lasting > before.lasting || (any && !before.any);
		long since = more ? now : before.sinceNanos;
		boolean settled = !more && any && now - since >= SETTLE_NANOS;
		this.registered.put(service, new Registered(Math.max(lasting, before.lasting), any, since, settled));
		return settled;
	}

	private SizePlan.Plan plan(ServiceSpec service, long now) {
		Map<String, Double> prices = service.scaling().orElseThrow().zonePrices();
		List<String> cheapestFirst = this.zones.stream()
			.sorted(Comparator.comparingDouble((zone) -> prices.getOrDefault(zone, 1.0)))
			.toList();
		Demand demand = new Demand(this.tokensPerSecond, 1_000 * this.tokensPerMilli.applyAsDouble(service.name()),
				this.servers.callsOf(service.name()), lasting(present(service.name()).values()));
		return this.plans.computeIfAbsent(service.name(), (_) -> new SizePlan())
			.plan(service, cheapestFirst, demand, now);
	}

	// Some reclaimable servers are needed whatever the plan will be. Ordered now, they
	// boot while the running servers register, and take over from them seconds earlier.
	private void begin(long fence, ServiceSpec service, String zone, long now) {
		ServiceSpec.ScalingSpec bounds = service.scaling().orElseThrow();
		if (present(service.name()).get(zone).reclaimable() == 0) {
			int servers = Math.clamp(FIRST_RECLAIMABLE, bounds.min(), bounds.max());
			this.orders.order(service, new Size(service.name(), zone, servers, true), 0, now)
				.ifPresent((size) -> order(fence, size));
		}
	}

	private void order(long fence, Size size) {
		ZoneSize here = present(size.service()).get(size.zone());
		EventLog.info(GatewayEvents.SIZE_ORDERED, "service", size.service(), "zone", size.zone(), "servers",
				size.servers(), "reclaimable", size.reclaimable(), "present",
				size.reclaimable() ? here.reclaimable() : here.lasting(), "tokensPerSecond",
				Math.round(this.tokensPerSecond), "serverTokensPerMilli",
				Math.round(this.tokensPerMilli.applyAsDouble(size.service())), "calls",
				this.servers.callsOf(size.service()), "fence", fence);
		this.duties.resize(fence, size).subscribe((_) -> {
		}, (failure) -> this.control.accept(() -> failed(size, failure)),
				() -> this.control.accept(() -> this.orders.taken(size)));
	}

	private void failed(Size size, Throwable failure) {
		EventLog.info(GatewayEvents.SIZE_NOT_ORDERED, "service", size.service(), "zone", size.zone(), "servers",
				size.servers(), "reclaimable", size.reclaimable(), "cause", failure.getMessage());
		if (failure instanceof StoreException ex && ex.reason() == StoreException.Reason.FENCED) {
			this.fenced.run();
		}
		boolean none = failure instanceof StoreException ex && ex.reason() == StoreException.Reason.NONE_AVAILABLE;
		this.orders.failed(size, none, System.nanoTime());
		if (none) {
			this.fallbackWanted = true;
		}
	}

	private Map<String, ZoneSize> present(String service) {
		Map<String, ZoneSize> present = new HashMap<>();
		this.zones.forEach((zone) -> present.put(zone, ZoneSize.NONE));
		this.servers.servers()
			.stream()
			.filter((server) -> server.service().equals(service) && !server.leaving() && this.counted.test(server))
			.forEach((server) -> present.computeIfPresent(server.zone(), (_, here) -> with(here, server)));
		return present;
	}

	private static int lasting(Collection<ZoneSize> here) {
		return here.stream().mapToInt(ZoneSize::lasting).sum();
	}

	private static ZoneSize with(ZoneSize here, BackendServer server) {
		return server.reclaimable() ? new ZoneSize(here.lasting(), here.reclaimable() + 1)
				: new ZoneSize(here.lasting() + 1, here.reclaimable());
	}

	/**
	 * The servers of a service that have registered since the start.
	 *
	 * @param lasting the maximum number of on-demand servers seen at the same time
	 * @param any whether any server was present at the last check
	 * @param sinceNanos when that state last grew, on the monotonic clock
	 * @param settled whether all servers are assumed to have registered
	 */
	private record Registered(int lasting, boolean any, long sinceNanos, boolean settled) {

		private static final Registered NONE = new Registered(0, false, 0, false);

	}

}
