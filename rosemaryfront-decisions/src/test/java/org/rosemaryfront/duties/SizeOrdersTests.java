package org.rosemaryfront.duties;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import org.rosemaryfront.duties.SizePlan.Plan;
import org.rosemaryfront.duties.SizePlan.ZoneSize;
import org.rosemaryfront.routes.ServiceSpec;
import org.rosemaryfront.routes.ServiceSpec.EngineSpec;
import org.rosemaryfront.routes.ServiceSpec.ScalingSpec;

import static org.assertj.core.api.Assertions.assertThat;

class SizeOrdersTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final ServiceSpec LLM = new ServiceSpec("llm", 100, Optional.of(new EngineSpec(64, 500_000, 0, 0)),
			Optional.of(new ScalingSpec(1, 6, 4_000, 0.2, Map.of("a", 0.8, "b", 1.0))));

	/** Two servers are needed at the least, two reclaimable ones in each zone. */
	private static final Plan PLAN = new Plan(2.8, 2.8,
			new TreeMap<>(Map.of("a", new ZoneSize(1, 2), "b", new ZoneSize(0, 2))));

	private static final Map<String, ZoneSize> COMPLETE = Map.of("a", new ZoneSize(1, 2), "b", new ZoneSize(0, 2));

	private static final Map<String, ZoneSize> WITHOUT_B = Map.of("a", new ZoneSize(1, 2), "b", ZoneSize.NONE);

	private static final Size RECLAIMABLE_IN_A = new Size("llm", "a", 2, true);

	private static final Size RECLAIMABLE_IN_B = new Size("llm", "b", 2, true);

	private static final Size FALLBACK = new Size("llm", "b", 1, false);

	private final SizeOrders orders = new SizeOrders();

	@Test
	void shouldOrderNothingWhenPlanIsThere() {
		assertThat(next(COMPLETE, 0)).isEmpty();
	}

	// Callers wait and are refused for as long as a zone is missing. The reclaimable
	// servers of a zone are reclaimed; their order was given seconds ago, so that it
	// still counts as under way, and it is given again only after the time of a boot.
	@Test
	void shouldOrderAnewAtOnceWhenServersThatWereThereAreReclaimed() {
		next(WITHOUT_B, 0);
		next(COMPLETE, SECOND);
		assertThat(next(WITHOUT_B, 2 * SECOND)).containsExactly(RECLAIMABLE_IN_B);
	}

	// The same, while the zone was about to grow: not all that was ordered had come.
	@Test
	void shouldOrderAnewAtOnceWhenSomeOfServersUnderWayAreReclaimed() {
		next(WITHOUT_B, 0);
		next(Map.of("a", new ZoneSize(1, 2), "b", new ZoneSize(0, 1)), SECOND);
		assertThat(next(WITHOUT_B, 2 * SECOND)).containsExactly(RECLAIMABLE_IN_B);
	}

	// Zones are reclaimed one after the other. Fallback servers that boot in the one were
	// cancelled and ordered in the next as soon as that was refused too.
	@Test
	void shouldLeaveFallbackServersWhereTheyBoot() {
		next(WITHOUT_B, 0);
		this.orders.failed(RECLAIMABLE_IN_B, true, 0);
		assertThat(next(WITHOUT_B, SECOND / 10)).containsExactly(FALLBACK);
		Map<String, ZoneSize> left = Map.of("a", new ZoneSize(1, 1), "b", ZoneSize.NONE);
		assertThat(next(left, SECOND / 5)).containsExactly(RECLAIMABLE_IN_A);
		this.orders.failed(RECLAIMABLE_IN_A, true, SECOND / 5);
		assertThat(next(left, SECOND / 2)).isEmpty();
	}

	@Test
	void shouldNotRepeatOrderThatIsUnderWay() {
		next(WITHOUT_B, 0);
		assertThat(next(WITHOUT_B, 2 * SECOND)).isEmpty();
		assertThat(next(WITHOUT_B, 9 * SECOND)).containsExactly(RECLAIMABLE_IN_B);
	}

	// Callers are refused for as long as no reclaimable VM is to be had, although others
	// are. Each order of a reclaimable one that is given again took the refusal of the
	// one before for void, and the fallback servers were cancelled in the middle of their
	// boot.
	@Test
	void shouldKeepFallbackServersWhileReclaimableOnesAreAskedForAgain() {
		next(WITHOUT_B, 0);
		this.orders.failed(RECLAIMABLE_IN_B, true, 0);
		assertThat(next(WITHOUT_B, SECOND / 10)).containsExactly(FALLBACK);
		this.orders.taken(FALLBACK);
		assertThat(next(WITHOUT_B, 2 * SECOND)).containsExactly(RECLAIMABLE_IN_B);
		assertThat(next(WITHOUT_B, 3 * SECOND)).isEmpty();
	}

	@Test
	void shouldGiveFallbackServersBackOnceReclaimableOnesServe() {
		next(WITHOUT_B, 0);
		this.orders.failed(RECLAIMABLE_IN_B, true, 0);
		next(WITHOUT_B, SECOND);
		Map<String, ZoneSize> standing = Map.of("a", new ZoneSize(1, 2), "b", new ZoneSize(1, 0));
		this.orders.taken(RECLAIMABLE_IN_B);
		assertThat(next(standing, 6 * SECOND)).isEmpty();
		Map<String, ZoneSize> both = Map.of("a", new ZoneSize(1, 2), "b", new ZoneSize(1, 2));
		assertThat(next(both, 9 * SECOND)).containsExactly(new Size("llm", "b", 0, false));
	}

	// Reclaims go from zone to zone while nowhere another VM is to be had. Ordered with
	// the notice of the last zone, fallback servers boot while nobody serves.
	@Test
	void shouldNotCountOnTheNextZoneOnceOneIsRefused() {
		Plan large = new Plan(4.2, 4.2, PLAN.zones());
		this.orders.next(LLM, large, WITHOUT_B, 0);
		this.orders.failed(RECLAIMABLE_IN_B, true, 0);
		// Three are there and three are needed; two of them may be next.
		assertThat(this.orders.next(LLM, large, WITHOUT_B, SECOND / 10))
			.containsExactly(new Size("llm", "b", 2, false));
	}

	// Two zones are reclaimed at once: each of them ordered all that the service was
	// short of, twice as many servers at the full price as were needed.
	@Test
	void shouldShareFallbackServersAmongZones() {
		Map<String, ZoneSize> left = Map.of("a", new ZoneSize(1, 0), "b", ZoneSize.NONE);
		next(left, 0);
		this.orders.failed(RECLAIMABLE_IN_A, true, 0);
		this.orders.failed(RECLAIMABLE_IN_B, true, 0);
		List<Size> fallback = next(left, SECOND / 10);
		assertThat(fallback).noneMatch(Size::reclaimable);
		assertThat(fallback.stream().mapToInt(Size::servers).sum()).isEqualTo(2);
	}

	// A zone is reclaimed while the plan moves from reclaimable servers to lasting ones:
	// a server that lived was given back in another zone, and none came for it.
	@Test
	void shouldGiveNoServerBackWhileAnotherIsMissing() {
		Plan smaller = new Plan(2.8, 2.8, new TreeMap<>(Map.of("a", new ZoneSize(1, 1), "b", new ZoneSize(1, 1))));
		assertThat(this.orders.next(LLM, smaller, WITHOUT_B, 0)).noneMatch((size) -> size.zone().equals("a"));
		assertThat(this.orders.next(LLM, smaller, COMPLETE, 9 * SECOND)).contains(new Size("llm", "a", 1, true),
				new Size("llm", "b", 1, true));
	}

	// What a flood needed is over; fallback servers for it would cost five times what
	// the reclaimable ones do, for nobody.
	@Test
	void shouldFallBackForNeedOfLateOnly() {
		Plan behindPeak = new Plan(11, 1.4, PLAN.zones());
		this.orders.next(LLM, behindPeak, WITHOUT_B, 0);
		this.orders.failed(RECLAIMABLE_IN_B, true, 0);
		assertThat(this.orders.next(LLM, behindPeak, WITHOUT_B, SECOND / 10)).isEmpty();
	}

	@Test
	void shouldPauseBehindOrderThatFailed() {
		next(WITHOUT_B, 0);
		this.orders.failed(RECLAIMABLE_IN_B, false, 0);
		assertThat(next(WITHOUT_B, SECOND / 2)).isEmpty();
		assertThat(next(WITHOUT_B, 2 * SECOND)).containsExactly(RECLAIMABLE_IN_B);
	}

	private List<Size> next(Map<String, ZoneSize> present, long now) {
		return this.orders.next(LLM, PLAN, present, now);
	}

}
