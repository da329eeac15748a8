package org.rosemaryfront.gateway;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.rosemaryfront.dispatch.BackendTable;
import org.rosemaryfront.duties.SizePlan;
import org.rosemaryfront.duties.SizePlan.Demand;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.ports.Duties;
import org.rosemaryfront.ports.Duties.Size;
import org.rosemaryfront.ports.StoreException;
import org.rosemaryfront.routes.ServiceSpec;
import org.rosemaryfront.routes.TrafficConfiguration;

/**
 * Orders the size of services, as the holder of the duties. Used on the control thread.
 *
 * <p>
 * Reclaimable VMs are ordered first; on-demand ones are given back only once the
 * reclaimable ones serve, and asked for only while no reclaimable one is to be had.
 */
final class SizeDuty {

	/** The time between two looks at the sizes, in nanoseconds. */
	private static final long LOOK_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** How long an order may take to show before it is given again, beside the boot. */
	private static final long SHOW_NANOS = TimeUnit.SECONDS.toNanos(4);

	/** How long the servers of a service may take to register themselves at the start. */
	private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

	/** The reclaimable servers of a zone that are ordered before a plan can be made. */
	private static final int FIRST_RECLAIMABLE = 2;

	/** The pause behind an order that failed, in nanoseconds. */
	private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final BackendTable servers;

	private final Duties duties;

	private final List<String> zones;

	private final Consumer<Runnable> control;

	private final Runnable fenced;

	private final Map<String, SizePlan> plans = new HashMap<>();

	/** The last order by service, zone and sort. */
	private final Map<Sort, Order> orders = new HashMap<>();

	private final Map<String, Long> firstSeenNanos = new HashMap<>();

	private long lookedNanos;

	private boolean looked;

	private double lastTokens;

	private double tokensPerSecond;

	SizeDuty(BackendTable servers, Duties duties, List<String> zones, Consumer<Runnable> control, Runnable fenced) {
		this.fenced = fenced;
		this.servers = servers;
		this.duties = duties;
		this.zones = zones;
		this.control = control;
	}

	/**
	 * Looks at the sizes.
	 * @param fence the fencing number
	 * @param configuration the configuration in force
	 * @param readingTokens the prompt tokens read by servers since the start
	 * @param now the time
	 */
	void act(long fence, TrafficConfiguration configuration, double readingTokens, long now) {
		if (this.looked && now - this.lookedNanos < LOOK_NANOS) {
			return;
		}
		if (this.looked) {
			double rate = (readingTokens - this.lastTokens) * 1e9 / (now - this.lookedNanos);
			// Half of the newest second: one prompt may be a large part of a second's.
			this.tokensPerSecond = (this.tokensPerSecond + Math.max(0, rate)) / 2;
		}
		this.looked = true;
		this.lookedNanos = now;
		this.lastTokens = readingTokens;
		for (ServiceSpec service : configuration.services()) {
			if (service.scaling().isPresent() && isSettled(service.name(), now)) {
				plan(fence, service, now);
			}
			else if (service.scaling().isPresent()) {
				this.zones.forEach((zone) -> begin(fence, service, zone, now));
			}
		}
	}

	// The servers of a service that starts register themselves one after the other; a
	// plan made from the first of them would give the others back.
	private boolean isSettled(String service, long now) {
		if (present(service) == 0) {
			return this.firstSeenNanos.containsKey(service);
		}
		return now - this.firstSeenNanos.computeIfAbsent(service, (_) -> now) >= SETTLE_NANOS;
	}

	private void plan(long fence, ServiceSpec service, long now) {
		Map<String, Double> prices = service.scaling().orElseThrow().zonePrices();
		List<String> cheapestFirst = this.zones.stream()
			.sorted(Comparator.comparingDouble((zone) -> prices.getOrDefault(zone, 1.0)))
			.toList();
		Demand demand = new Demand(this.tokensPerSecond, this.servers.callsOf(service.name()), present(service.name()),
				onDemand(service.name()));
		SizePlan.Plan plan = this.plans.computeIfAbsent(service.name(), (_) -> new SizePlan())
			.plan(service, cheapestFirst, demand, now);
		int shortOf = Math.max(0, (int) Math.ceil(plan.need()) - demand.present());
		plan.zones().forEach((zone, size) -> {
			int reclaimable = count(service.name(), zone, true);
			int lasting = count(service.name(), zone, false);
			order(fence, service, new Size(service.name(), zone, size.reclaimable(), true), reclaimable, now);
			int missing = Math.max(0, size.reclaimable() - reclaimable);
			int surplus = Math.clamp(lasting - size.lasting(), 0, missing);
			int stopgap = refused(service.name(), zone) ? Math.max(surplus, Math.min(missing, shortOf)) : surplus;
			order(fence, service, new Size(service.name(), zone, size.lasting() + stopgap, false), lasting, now);
		});
	}

	private int onDemand(String service) {
		return this.zones.stream().mapToInt((zone) -> count(service, zone, false)).sum();
	}

	private int present(String service) {
		return (int) this.servers.servers()
			.stream()
			.filter((server) -> server.service().equals(service) && !server.leaving())
			.count();
	}

	private void order(long fence, ServiceSpec service, Size size, int present, long now) {
		Sort sort = new Sort(size.service(), size.zone(), size.reclaimable());
		Order last = this.orders.get(sort);
		long boot = TimeUnit.MILLISECONDS.toNanos(service.scaling().orElseThrow().bootMillis());
		boolean same = last != null && last.size.equals(size);
		boolean settled = present == size.servers();
		if (last != null && now - last.notBeforeNanos < 0) {
			return;
		}
		boolean underWay = same && now - last.atNanos < boot + SHOW_NANOS;
		boolean inForce = settled && (same || last == null);
		if (underWay || inForce) {
			return;
		}
		Order order = new Order(size, now);
		this.orders.put(sort, order);
		EventLog.info(GatewayEvents.SIZE_ORDERED, "service", size.service(), "zone", size.zone(), "servers",
				size.servers(), "reclaimable", size.reclaimable(), "present", present, "tokensPerSecond",
				Math.round(this.tokensPerSecond), "calls", this.servers.callsOf(size.service()), "fence", fence);
		this.duties.resize(fence, size).subscribe((_) -> {
		}, (failure) -> this.control.accept(() -> failed(order, failure)));
	}

	private void failed(Order order, Throwable failure) {
		EventLog.info(GatewayEvents.SIZE_NOT_ORDERED, "service", order.size.service(), "zone", order.size.zone(),
				"servers", order.size.servers(), "reclaimable", order.size.reclaimable(), "cause",
				failure.getMessage());
		if (failure instanceof StoreException ex && ex.reason() == StoreException.Reason.FENCED) {
			this.fenced.run();
		}
		order.refused = failure instanceof StoreException ex && ex.reason() == StoreException.Reason.NONE_AVAILABLE;
		order.notBeforeNanos = System.nanoTime() + RETRY_NANOS;
		// Whatever it was: it is ordered again at the next look.
		order.atNanos = order.atNanos - TimeUnit.MINUTES.toNanos(1);
	}

	// Some reclaimable servers are needed whatever the plan says: they boot while the
	// servers that run register themselves, and take over from them seconds earlier.
	private void begin(long fence, ServiceSpec service, String zone, long now) {
		ServiceSpec.ScalingSpec bounds = service.scaling().orElseThrow();
		if (count(service.name(), zone, true) == 0) {
			int servers = Math.clamp(FIRST_RECLAIMABLE, bounds.min(), bounds.max());
			order(fence, service, new Size(service.name(), zone, servers, true), 0, now);
		}
	}

	private boolean refused(String service, String zone) {
		Order order = this.orders.get(new Sort(service, zone, true));
		return order != null && order.refused;
	}

	private int count(String service, String zone, boolean reclaimable) {
		return (int) this.servers.servers()
			.stream()
			.filter((server) -> server.service().equals(service) && server.zone().equals(zone))
			.filter((server) -> server.reclaimable() == reclaimable && !server.leaving())
			.count();
	}

	private record Sort(String service, String zone, boolean reclaimable) {
	}

	private static final class Order {

		private final Size size;

		private long atNanos;

		private long notBeforeNanos;

		private boolean refused;

		private Order(Size size, long nowNanos) {
			this.size = size;
			this.atNanos = nowNanos;
			this.notBeforeNanos = nowNanos;
		}

	}

}
