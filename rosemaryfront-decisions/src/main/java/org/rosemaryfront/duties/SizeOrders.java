package org.rosemaryfront.duties;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.rosemaryfront.duties.Size.Sort;
import org.rosemaryfront.duties.SizePlan.Plan;
import org.rosemaryfront.duties.SizePlan.ZoneSize;
import org.rosemaryfront.routes.ServiceSpec;

/**
 * Which sizes to order now, from the plan, the servers present and what became of earlier
 * orders. Times are on the monotonic clock, in nanoseconds.
 *
 * <p>
 * Reclaimable VMs are ordered first. On-demand ones are given back only once the
 * reclaimable ones serve. While no reclaimable one is to be had in a zone, the service
 * falls back to on-demand ones for what it is short of, until they can be had again.
 */
public final class SizeOrders {

	/** How long an order may take to show before it is given again, beside the boot. */
	private static final long SHOW_NANOS = TimeUnit.SECONDS.toNanos(4);

	/** The pause behind an order that failed, in nanoseconds. */
	private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * The share of the need of late up to which the service falls back to on-demand VMs.
	 * The need has room for peaks, and an on-demand VM costs some five times as much as a
	 * reclaimable one: with all of the need the servers of two days with reclaims cost
	 * 0.24 of what the days were worth, with this share 0.19, while what was served
	 * stayed the same (0.896 and 0.894).
	 */
	private static final double FALLBACK_SHARE = 0.7;

	private final Map<Sort, Placed> orders = new HashMap<>();

	// -- orders

	/**
	 * The orders that bring a service to its plan. They count as given.
	 * @param service the service
	 * @param plan the plan
	 * @param present the servers that take calls, by zone
	 * @param nowNanos the time
	 * @return the orders
	 */
	public List<Size> next(ServiceSpec service, Plan plan, Map<String, ZoneSize> present, long nowNanos) {
		List<Size> sizes = new ArrayList<>();
		boolean shortOf = isShort(plan, present);
		plan.zones().forEach((zone, planned) -> {
			int here = at(present, zone).reclaimable();
			int wanted = shortOf ? Math.max(planned.reclaimable(), here) : planned.reclaimable();
			order(service, new Size(service.name(), zone, wanted, true), here, nowNanos).ifPresent(sizes::add);
		});
		Fallback fallback = fallback(service, plan, present);
		plan.zones().forEach((zone, planned) -> {
			Size lasting = new Size(service.name(), zone, planned.lasting() + fallback.servers(zone), false);
			order(service, lasting, at(present, zone).lasting(), nowNanos).ifPresent(sizes::add);
		});
		return sizes;
	}

	// Guards against a plan that moves servers between zones or sorts in the middle of a
	// wave: it gave a live server back while none of those that should stand in for it
	// was to be had, and a third of the calls of two seconds were late.
	private static boolean isShort(Plan plan, Map<String, ZoneSize> present) {
		return plan.zones()
			.entrySet()
			.stream()
			.anyMatch((zone) -> at(present, zone.getKey()).reclaimable() < zone.getValue().reclaimable());
	}

	// The on-demand servers beyond the plan: those that are there and cannot be spared
	// yet, and in zones that are refused those that the service is short of.
	private Fallback fallback(ServiceSpec service, Plan plan, Map<String, ZoneSize> present) {
		Fallback fallback = new Fallback();
		plan.zones().forEach((zone, planned) -> {
			ZoneSize here = at(present, zone);
			int missing = Math.max(0, planned.reclaimable() - here.reclaimable());
			int kept = Math.clamp(here.lasting() - planned.lasting(), 0, missing);
			boolean refused = isRefused(reclaimable(service, zone, planned));
			fallback.begin(zone, kept, refused ? missing - kept : 0);
		});
		int sure = all(present) - atRisk(service, plan, present);
		int shortOf = Math.max(0, (int) Math.ceil(plan.needOfLate() * FALLBACK_SHARE) - sure);
		// Those that boot stay where they are: cancelled in favour of a zone that is
		// refused later, others would have to boot anew.
		for (Map.Entry<String, ZoneSize> planned : plan.zones().entrySet()) {
			String zone = planned.getKey();
			int booting = lastOrdered(service, zone) - planned.getValue().lasting() - fallback.servers(zone);
			shortOf -= fallback.add(zone, Math.clamp(booting, 0, shortOf));
		}
		for (String zone : plan.zones().keySet()) {
			shortOf -= fallback.add(zone, shortOf);
		}
		return fallback;
	}

	// Guards against waves: reclaims go from zone to zone, some five seconds apart, while
	// nowhere another reclaimable VM is to be had. Ordered with the third zone's notice,
	// on-demand ones come when it is gone, and one server was left of seven for five
	// seconds. Once a zone is refused, the reclaimable servers of the largest one are not
	// counted on any more.
	private int atRisk(ServiceSpec service, Plan plan, Map<String, ZoneSize> present) {
		boolean refused = plan.zones()
			.keySet()
			.stream()
			.anyMatch((zone) -> isRefused(reclaimable(service, zone, ZoneSize.NONE)));
		return refused ? present.values().stream().mapToInt(ZoneSize::reclaimable).max().orElse(0) : 0;
	}

	private int lastOrdered(ServiceSpec service, String zone) {
		Placed last = this.orders.get(new Sort(service.name(), zone, false));
		return (last != null) ? last.size.servers() : 0;
	}

	private static Size reclaimable(ServiceSpec service, String zone, ZoneSize planned) {
		return new Size(service.name(), zone, planned.reclaimable(), true);
	}

	/**
	 * The order of one sort of servers, if one is due. It counts as given.
	 * @param service the service
	 * @param size the size wanted
	 * @param present the servers of that sort that take calls
	 * @param nowNanos the time
	 * @return the order, empty when it is in force or under way
	 */
	public Optional<Size> order(ServiceSpec service, Size size, int present, long nowNanos) {
		Placed last = this.orders.get(size.sort());
		boolean settled = present == size.servers();
		if (last == null && settled) {
			return Optional.empty();
		}
		if (last != null) {
			last.note(present);
			long bootNanos = TimeUnit.MILLISECONDS.toNanos(service.scaling().orElseThrow().bootMillis());
			boolean waits = nowNanos - last.notBeforeNanos < 0;
			boolean due = last.isDue(present, nowNanos, bootNanos + SHOW_NANOS);
			boolean inForce = last.size.equals(size) && (settled || !due);
			if (waits || inForce) {
				return Optional.empty();
			}
		}
		this.orders.put(size.sort(), new Placed(size, nowNanos, isRefused(size)));
		return Optional.of(size);
	}

	// -- what became of them

	/**
	 * An order was taken.
	 * @param size the order
	 */
	public void taken(Size size) {
		placed(size).ifPresent((order) -> order.refused = false);
	}

	/**
	 * An order failed; it is given again after a pause.
	 * @param size the order
	 * @param noneAvailable whether it failed because no VM of its sort is to be had
	 * @param nowNanos the time
	 */
	public void failed(Size size, boolean noneAvailable, long nowNanos) {
		placed(size).ifPresent((order) -> {
			order.failed = true;
			order.refused |= noneAvailable;
			order.notBeforeNanos = nowNanos + RETRY_NANOS;
		});
	}

	// Guards against fallback servers that never come: an order that is given again is
	// open until it is answered. Taken as good meanwhile, it cancelled the fallback each
	// second, which boots for four.
	private boolean isRefused(Size size) {
		Placed order = this.orders.get(size.sort());
		return order != null && order.refused;
	}

	private Optional<Placed> placed(Size size) {
		return Optional.ofNullable(this.orders.get(size.sort())).filter((order) -> order.size.equals(size));
	}

	private static ZoneSize at(Map<String, ZoneSize> present, String zone) {
		return present.getOrDefault(zone, ZoneSize.NONE);
	}

	private static int all(Map<String, ZoneSize> present) {
		return present.values().stream().mapToInt(ZoneSize::servers).sum();
	}

	/** On-demand servers beyond the plan, by zone, and how many more there may be. */
	private static final class Fallback {

		private final Map<String, Integer> servers = new HashMap<>();

		private final Map<String, Integer> room = new HashMap<>();

		private void begin(String zone, int kept, int more) {
			this.servers.put(zone, kept);
			this.room.put(zone, more);
		}

		private int servers(String zone) {
			return this.servers.getOrDefault(zone, 0);
		}

		// Adds as many servers as there is room for, and tells how many.
		private int add(String zone, int wanted) {
			int added = Math.min(wanted, this.room.get(zone));
			this.servers.merge(zone, added, Integer::sum);
			this.room.merge(zone, -added, Integer::sum);
			return added;
		}

	}

	/** The last order of a sort. */
	private static final class Placed {

		private final Size size;

		private final long atNanos;

		private long notBeforeNanos;

		/** Whether no VM of the sort was to be had when it was last asked for. */
		private boolean refused;

		private boolean failed;

		/** The most servers that were there since it was given. */
		private int most;

		private Placed(Size size, long nowNanos, boolean refused) {
			this.size = size;
			this.atNanos = nowNanos;
			this.notBeforeNanos = nowNanos;
			this.refused = refused;
		}

		private void note(int present) {
			this.most = Math.max(this.most, present);
		}

		// Servers that were there and are not any more were reclaimed: waiting for them
		// as for servers that boot would lose the seconds of notice.
		private boolean isDue(int present, long nowNanos, long mostNanos) {
			boolean fewer = present < this.most;
			return this.failed || fewer || nowNanos - this.atNanos >= mostNanos;
		}

	}

}
