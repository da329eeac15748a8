package org.rosemaryfront.duties;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.rosemaryfront.routes.ServiceSpec;

/**
 * Plans the number of backend servers of a service in each availability zone.
 *
 * <p>
 * Servers are billed by the second, whether busy or idle, and are the largest cost of a
 * day without incidents. The required capacity follows from the prompt tokens prefilled
 * and the calls running. It is distributed so that the remaining zones provide it when
 * all reclaimable VMs of one zone are reclaimed while no other VM is available.
 */
public final class CapacityPlanner {

	/**
	 * The planned utilisation of an engine's prefill time. Prompt lengths differ by a
	 * factor of a hundred; at a utilisation of 0.65 the waiting time in the queue is
	 * about twice the prefill time, well within the latency targets seen.
	 */
	private static final double PREFILL_UTILISATION = 0.65;

	/** The planned utilisation of an engine's slots. */
	private static final double SLOT_UTILISATION = 0.4;

	/**
	 * The fraction of the initial number of servers that is assumed to be required until
	 * traffic shows the actual requirement.
	 */
	private static final double INITIAL_FRACTION = 0.6;

	/**
	 * How long the initial requirement applies; traffic begins some time after the
	 * processes start.
	 */
	private static final long INITIAL_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(30);

	/**
	 * How long a peak of the required capacity is retained. With a shorter retention,
	 * servers released after a traffic peak are needed again half a minute later and
	 * start with cold caches.
	 */
	private static final long PEAK_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(25);

	/**
	 * The age up to which a peak of the required capacity counts as recent: about the
	 * time that it takes to carry out an order.
	 */
	private static final long RECENT_PEAK_NANOS = TimeUnit.SECONDS.toNanos(6);

	/**
	 * The fraction of the required capacity that the reclaimable servers of a single zone
	 * provide together with the on-demand ones. Engines are then busy 0.83 of the time
	 * instead of half of it, while two zones are reclaimed, which lasts about ten
	 * seconds. With an on-demand server instead of each spare reclaimable one, days with
	 * two correlated reclaims cost the same and were short of servers in both.
	 */
	private static final double SINGLE_ZONE_FRACTION = 0.6;

	/**
	 * The fraction of the required capacity beyond {@link #NEVER_ON_DEMAND} that runs on
	 * on-demand VMs. Reclaims are correlated and go from zone to zone while no other VM
	 * is available: without on-demand VMs a single one takes every server of the service.
	 * On a day with four reclaims and otherwise low load, a fraction of 0.65 instead of
	 * 0.4 raised the benefit from 0.79 to 0.92.
	 */
	private static final double ON_DEMAND_FRACTION = 0.65;

	/**
	 * The minimum number of on-demand servers of a service. Without any, a correlated
	 * reclaim of all zones left no server for models for 16 s of a day, and no order
	 * could be carried out.
	 */
	private static final int MIN_ON_DEMAND = 1;

	/**
	 * The part of the required capacity, in servers, that is never on on-demand VMs:
	 * rounding up to whole servers in each zone gives a small service about this much
	 * spare capacity.
	 */
	private static final double NEVER_ON_DEMAND = 1.5;

	private final Deque<CapacitySample> peaks = new ArrayDeque<>();

	/**
	 * The initial required capacity until traffic shows the actual one; grows as servers
	 * register.
	 */
	private double initialRequired;

	/** When the first plan was made; empty before it. */
	private OptionalLong firstPlanNanos = OptionalLong.empty();

	/**
	 * Plans the size of a service.
	 * @param service the service
	 * @param zones the availability zones, the cheapest first
	 * @param demand the load of the service
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the required capacity and the servers in each zone
	 */
	public Plan plan(ServiceSpec service, List<String> zones, Demand demand, long nowNanos) {
		if (this.firstPlanNanos.isEmpty()) {
			this.firstPlanNanos = OptionalLong.of(nowNanos);
		}
		ServiceSpec.ScalingSpec bounds = service.scaling().orElseThrow();
		int slots = service.engine().map(ServiceSpec.EngineSpec::slots).orElse(1);
		double prefillServers = demand.tokensPerSecond() / demand.serverTokensPerSecond() / PREFILL_UTILISATION;
		double decodeServers = demand.runningCalls() / (slots * SLOT_UTILISATION);
		double requiredNow = Math.max(prefillServers, decodeServers) + demand.limitedServers();
		double requiredCapacity = Math.max(initialRequiredServers(demand, nowNanos),
				retainedPeak(requiredNow, nowNanos));
		double recentCapacity = recentPeak(requiredNow, nowNanos);
		int onDemand = onDemandServers(requiredCapacity, bounds, zones.size());
		int perZone = reclaimablePerZone(requiredCapacity, onDemand, bounds, zones.size());
		Map<String, ZoneSize> sizes = new LinkedHashMap<>();
		for (int i = 0; i < zones.size(); i++) {
			int onDemandHere = Math.min(bounds.max(),
					onDemand / zones.size() + ((i < onDemand % zones.size()) ? 1 : 0));
			int reclaimable = Math.clamp(perZone, Math.max(0, bounds.min() - onDemandHere),
					bounds.max() - onDemandHere);
			sizes.put(zones.get(i), new ZoneSize(onDemandHere, reclaimable));
		}
		boolean peaksKnown = nowNanos - this.firstPlanNanos.orElseThrow() >= PEAK_RETENTION_NANOS;
		return new Plan(requiredCapacity, recentCapacity, sizes, peaksKnown);
	}

	// If a spare reclaimable server in every zone costs less than one on-demand server,
	// the service survives correlated reclaims with spare reclaimable servers.
	private static boolean sparesAreCheap(ServiceSpec.ScalingSpec bounds, int zones) {
		return bounds.reclaimablePrice() * zones < 1;
	}

	private static int onDemandServers(double requiredCapacity, ServiceSpec.ScalingSpec bounds, int zones) {
		int share = (int) Math.round((requiredCapacity - NEVER_ON_DEMAND) * ON_DEMAND_FRACTION);
		return sparesAreCheap(bounds, zones) ? MIN_ON_DEMAND : Math.max(MIN_ON_DEMAND, share);
	}

	// Enough for the required capacity when one zone is lost, and for a fraction of it
	// when all zones but one are lost.
	private static int reclaimablePerZone(double requiredCapacity, int onDemand, ServiceSpec.ScalingSpec bounds,
			int zones) {
		int withoutOne = (int) Math.ceil((requiredCapacity - onDemand) / Math.max(1, zones - 1));
		int onlyOne = (int) Math.ceil(requiredCapacity * SINGLE_ZONE_FRACTION - onDemand);
		return sparesAreCheap(bounds, zones) ? Math.max(withoutOne, onlyOne) : withoutOne;
	}

	// The peak of the required capacity within the time that it takes to carry out an
	// order.
	private double recentPeak(double requiredNow, long nowNanos) {
		return this.peaks.stream()
			.filter((sample) -> nowNanos - sample.atNanos() <= RECENT_PEAK_NANOS)
			.mapToDouble(CapacitySample::required)
			.reduce(requiredNow, Math::max);
	}

	// Before there is traffic, the initial number of servers is the best available
	// estimate. The servers register one after the other, so that the first plan sees
	// only some of them.
	private double initialRequiredServers(Demand demand, long nowNanos) {
		if (nowNanos - this.firstPlanNanos.orElseThrow() >= INITIAL_PERIOD_NANOS) {
			return 0;
		}
		this.initialRequired = Math.max(this.initialRequired, demand.onDemand() * INITIAL_FRACTION);
		return this.initialRequired;
	}

	private double retainedPeak(double requiredCapacity, long nowNanos) {
		while (!this.peaks.isEmpty() && nowNanos - this.peaks.getFirst().atNanos() > PEAK_RETENTION_NANOS) {
			this.peaks.removeFirst();
		}
		while (!this.peaks.isEmpty() && this.peaks.getLast().required() <= requiredCapacity) {
			this.peaks.removeLast();
		}
		this.peaks.addLast(new CapacitySample(requiredCapacity, nowNanos));
		return this.peaks.getFirst().required();
	}

	/**
	 * A plan for one service.
	 *
	 * @param requiredServers the servers required to meet the latency targets, including
	 * recent peaks
	 * @param recentRequiredServers the servers required in the last seconds
	 * @param zones the planned servers of each zone, including those that replace a lost
	 * zone
	 * @param peaksKnown whether the demand was measured for as long as its peaks are
	 * retained; until then more servers may be required
	 */
	public record Plan(double requiredServers, double recentRequiredServers, Map<String, ZoneSize> zones,
			boolean peaksKnown) {
	}

	/**
	 * The load of a service.
	 *
	 * @param tokensPerSecond the prompt tokens that its servers prefill per second,
	 * without tokens found in caches
	 * @param serverTokensPerSecond the prompt tokens that one server prefills per second
	 * in addition to its other work
	 * @param runningCalls the number of running calls
	 * @param onDemand the number of its on-demand servers
	 * @param limitedServers the number of its servers that take only few requests
	 */
	public record Demand(double tokensPerSecond, double serverTokensPerSecond, int runningCalls, int onDemand,
			int limitedServers) {
	}

	/**
	 * The number of servers in a zone.
	 *
	 * @param onDemand the number of servers on on-demand VMs
	 * @param reclaimable the number of servers on reclaimable VMs
	 */
	public record ZoneSize(int onDemand, int reclaimable) {

		/** No servers. */
		public static final ZoneSize NONE = new ZoneSize(0, 0);

		/**
		 * Returns the number of servers on both kinds of VM.
		 * @return the number of servers
		 */
		public int servers() {
			return this.onDemand + this.reclaimable;
		}

	}

	private record CapacitySample(double required, long atNanos) {
	}

}
