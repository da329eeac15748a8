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
 * How many backend servers a service needs in each availability zone.
 *
 * <p>
 * Servers are billed by the second, whether they work or not, and are the largest price
 * of a calm day. The need follows the prompt tokens read and the calls running, and is
 * spread so that the zones that remain carry it when one is reclaimed as a whole while
 * nowhere another VM is to be had.
 */
public final class SizePlan {

	/**
	 * The share of an engine's reading time that is planned to be used. Prompts differ by
	 * a factor of a hundred; a queue of such at 0.65 waits about twice the time that it
	 * takes to read one, well within the targets seen.
	 */
	private static final double READING_SHARE = 0.65;

	/** The share of an engine's slots that is planned to be used. */
	private static final double SLOT_SHARE = 0.4;

	/**
	 * The share of the first size that is taken as needed until traffic shows the need.
	 */
	private static final double FIRST_SHARE = 0.6;

	/** How long that is; traffic begins some time after the processes. */
	private static final long FIRST_NANOS = TimeUnit.SECONDS.toNanos(30);

	/**
	 * How long the greatest need of late is kept. Shorter than that and a wave of traffic
	 * gives servers back that it needs again half a minute later, with cold caches.
	 */
	private static final long PEAK_NANOS = TimeUnit.SECONDS.toNanos(25);

	/** What of the need's peaks is still there when an order is carried out. */
	private static final long LATE_NANOS = TimeUnit.SECONDS.toNanos(6);

	/**
	 * The part of the need that the servers of a single zone carry beside the lasting
	 * ones: engines are then busy 0.83 of the time in place of half of it, for as long as
	 * waves take two zones, some ten seconds. With a lasting server in place of each
	 * spare, days with two waves cost the same and were short of servers in both.
	 */
	private static final double LAST_ZONE_SHARE = 0.6;

	/**
	 * The share of the need beyond {@link #LOSABLE} that runs on VMs that cannot be
	 * reclaimed. Reclaims come in waves, zone after zone while nowhere another VM is to
	 * be had: without such a share one wave takes every server of the service. On a calm
	 * day with four reclaims a share of 0.65 instead of 0.4 brought 0.92 of the benefit
	 * in place of 0.79.
	 */
	private static final double LASTING_SHARE = 0.65;

	/**
	 * The lasting servers of the smallest service: with none, a wave through all zones
	 * left nobody to serve models for 16 s of a day, and no order could be carried out.
	 */
	private static final int LASTING_LEAST = 1;

	/**
	 * The part of the need, in servers, that is never on lasting VMs: rounding to whole
	 * servers in each zone gives a small pool about that much more than it needs.
	 */
	private static final double LOSABLE = 1.5;

	private final Deque<Need> recent = new ArrayDeque<>();

	/** Taken as needed until traffic shows the need; grows as servers register. */
	private double firstNeed;

	/** Until when that is; empty before the first plan. */
	private OptionalLong firstUntilNanos = OptionalLong.empty();

	/**
	 * Plans the size.
	 * @param service the service
	 * @param zones the availability zones, the cheapest first
	 * @param demand what the service has to do
	 * @param nowNanos the time
	 * @return the need and the servers of each zone
	 */
	public Plan plan(ServiceSpec service, List<String> zones, Demand demand, long nowNanos) {
		ServiceSpec.ScalingSpec bounds = service.scaling().orElseThrow();
		int slots = service.engine().map(ServiceSpec.EngineSpec::slots).orElse(1);
		double reading = demand.tokensPerSecond() / demand.serverTokensPerSecond() / READING_SHARE;
		double generating = demand.running() / (slots * SLOT_SHARE);
		double now = Math.max(reading, generating);
		double need = Math.max(first(demand, nowNanos), peak(now, nowNanos));
		double ofLate = needOfLate(now, nowNanos);
		int lasting = lasting(need, bounds, zones.size());
		int each = eachZone(need, lasting, bounds, zones.size());
		Map<String, ZoneSize> sizes = new LinkedHashMap<>();
		for (int i = 0; i < zones.size(); i++) {
			int kept = Math.min(bounds.max(), lasting / zones.size() + ((i < lasting % zones.size()) ? 1 : 0));
			int reclaimable = Math.clamp(each, Math.max(0, bounds.min() - kept), bounds.max() - kept);
			sizes.put(zones.get(i), new ZoneSize(kept, reclaimable));
		}
		return new Plan(need, ofLate, sizes);
	}

	// Where a spare reclaimable server in every zone costs less than one server that
	// lasts, spares are what carries the service through waves.
	private static boolean sparesAreCheap(ServiceSpec.ScalingSpec bounds, int zones) {
		return bounds.reclaimablePrice() * zones < 1;
	}

	private static int lasting(double need, ServiceSpec.ScalingSpec bounds, int zones) {
		int share = (int) Math.round((need - LOSABLE) * LASTING_SHARE);
		return sparesAreCheap(bounds, zones) ? LASTING_LEAST : Math.max(LASTING_LEAST, share);
	}

	// Enough for the need when one zone is lost, and for a part of it when all but one
	// are.
	private static int eachZone(double need, int lasting, ServiceSpec.ScalingSpec bounds, int zones) {
		int withoutOne = (int) Math.ceil((need - lasting) / Math.max(1, zones - 1));
		int onlyOne = (int) Math.ceil(need * LAST_ZONE_SHARE - lasting);
		return sparesAreCheap(bounds, zones) ? Math.max(withoutOne, onlyOne) : withoutOne;
	}

	// The greatest need within the time that an order takes to be carried out.
	private double needOfLate(double now, long nowNanos) {
		return this.recent.stream()
			.filter((need) -> nowNanos - need.atNanos() <= LATE_NANOS)
			.mapToDouble(Need::need)
			.reduce(now, Math::max);
	}

	// Nothing is known yet of what is to come: whoever set the first size knew more. The
	// servers register one after the other, so that the first plan sees a part of them.
	private double first(Demand demand, long nowNanos) {
		if (this.firstUntilNanos.isEmpty()) {
			this.firstUntilNanos = OptionalLong.of(nowNanos + FIRST_NANOS);
		}
		if (nowNanos - this.firstUntilNanos.getAsLong() >= 0) {
			return 0;
		}
		this.firstNeed = Math.max(this.firstNeed, demand.lasting() * FIRST_SHARE);
		return this.firstNeed;
	}

	private double peak(double need, long nowNanos) {
		while (!this.recent.isEmpty() && nowNanos - this.recent.getFirst().atNanos() > PEAK_NANOS) {
			this.recent.removeFirst();
		}
		while (!this.recent.isEmpty() && this.recent.getLast().need() <= need) {
			this.recent.removeLast();
		}
		this.recent.addLast(new Need(need, nowNanos));
		return this.recent.getFirst().need();
	}

	/**
	 * A plan.
	 *
	 * @param need the servers that the service needs to be in time, with its peaks
	 * @param needOfLate the servers that it needed in the last seconds
	 * @param zones the servers to have in each zone, with those for a zone that is lost
	 */
	public record Plan(double need, double needOfLate, Map<String, ZoneSize> zones) {
	}

	/**
	 * What a service has to do.
	 *
	 * @param tokensPerSecond the prompt tokens that its servers read in a second, without
	 * those found in caches
	 * @param serverTokensPerSecond the prompt tokens that one server reads in a second
	 * beside its other work
	 * @param running the calls running
	 * @param lasting its servers that cannot be reclaimed
	 */
	public record Demand(double tokensPerSecond, double serverTokensPerSecond, int running, int lasting) {
	}

	/**
	 * The servers of a zone.
	 *
	 * @param lasting those on VMs that cannot be reclaimed
	 * @param reclaimable those on VMs that can
	 */
	public record ZoneSize(int lasting, int reclaimable) {

		/** No servers. */
		public static final ZoneSize NONE = new ZoneSize(0, 0);

		/**
		 * The servers of both sorts.
		 * @return the count
		 */
		public int servers() {
			return this.lasting + this.reclaimable;
		}

	}

	private record Need(double need, long atNanos) {
	}

}
