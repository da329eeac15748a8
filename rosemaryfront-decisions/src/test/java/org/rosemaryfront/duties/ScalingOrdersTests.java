package org.rosemaryfront.duties;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import org.rosemaryfront.duties.CapacityPlanner.Plan;
import org.rosemaryfront.duties.CapacityPlanner.ZoneSize;
import org.rosemaryfront.routes.ServiceSpec;
import org.rosemaryfront.routes.ServiceSpec.EngineSpec;
import org.rosemaryfront.routes.ServiceSpec.ScalingSpec;

import static org.assertj.core.api.Assertions.assertThat;

class ScalingOrdersTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final ServiceSpec LLM = new ServiceSpec("llm", 100, Optional.of(new EngineSpec(64, 500_000, 0, 0)),
			Optional.of(new ScalingSpec(1, 6, 4_000, 0.2, Map.of("a", 0.8, "b", 1.0))));

	/**
	 * At least two servers are required, and two reclaimable ones are planned in each
	 * zone.
	 */
	private static final Plan PLAN = new Plan(2.8, 2.8,
			new TreeMap<>(Map.of("a", new ZoneSize(1, 2), "b", new ZoneSize(0, 2))), true);

	private static final Map<String, ZoneSize> COMPLETE = Map.of("a", new ZoneSize(1, 2), "b", new ZoneSize(0, 2));

	private static final Map<String, ZoneSize> WITHOUT_B = Map.of("a", new ZoneSize(1, 2), "b", ZoneSize.NONE);

	private static final PoolSize RECLAIMABLE_IN_A = new PoolSize("llm", "a", 2, true);

	private static final PoolSize RECLAIMABLE_IN_B = new PoolSize("llm", "b", 2, true);

	private static final PoolSize FALLBACK = new PoolSize("llm", "b", 1, false);

	private final ScalingOrders orders = new ScalingOrders();

	@Test
	void shouldOrderNothingWhenPlannedServersArePresent() {
		assertThat(next(COMPLETE, 0)).isEmpty();
	}

	// The reclaimable servers of a zone are reclaimed a few seconds after their order.
	// If the order still counts as pending, it is repeated only after the boot time, and
	// calls queue up and are rejected for as long as the zone is missing.
	@Test
	void shouldReorderImmediatelyWhenPresentServersAreReclaimed() {
		next(WITHOUT_B, 0);
		next(COMPLETE, SECOND);
		assertThat(next(WITHOUT_B, 2 * SECOND)).containsExactly(RECLAIMABLE_IN_B);
	}

	// The same fault while the zone is growing: not all ordered servers are present yet.
	@Test
	void shouldReorderImmediatelyWhenOrderIsPartlyCompleteAndServersAreReclaimed() {
		next(WITHOUT_B, 0);
		next(Map.of("a", new ZoneSize(1, 2), "b", new ZoneSize(0, 1)), SECOND);
		assertThat(next(WITHOUT_B, 2 * SECOND)).containsExactly(RECLAIMABLE_IN_B);
	}

	// Zones are reclaimed one after the other. Fallback servers booting in one zone were
	// cancelled and ordered in the next zone as soon as that was refused too.
	@Test
	void shouldKeepBootingFallbackServersWhenAnotherZoneIsRefused() {
		next(WITHOUT_B, 0);
		this.orders.recordFailure(RECLAIMABLE_IN_B, true, 0);
		assertThat(next(WITHOUT_B, SECOND / 10)).containsExactly(FALLBACK);
		Map<String, ZoneSize> remaining = Map.of("a", new ZoneSize(1, 1), "b", ZoneSize.NONE);
		assertThat(next(remaining, SECOND / 5)).containsExactly(RECLAIMABLE_IN_A);
		this.orders.recordFailure(RECLAIMABLE_IN_A, true, SECOND / 5);
		assertThat(next(remaining, SECOND / 2)).isEmpty();
	}

	@Test
	void shouldNotRepeatOrderWhenItIsPending() {
		next(WITHOUT_B, 0);
		assertThat(next(WITHOUT_B, 2 * SECOND)).isEmpty();
		assertThat(next(WITHOUT_B, 9 * SECOND)).containsExactly(RECLAIMABLE_IN_B);
	}

	// Each repeated order of reclaimable servers discarded the refusal of the previous
	// one, and the fallback servers were cancelled while booting. Calls were then
	// rejected for as long as no reclaimable VM was available, although on-demand VMs
	// were.
	@Test
	void shouldKeepFallbackServersWhenReclaimableOrderIsRepeated() {
		next(WITHOUT_B, 0);
		this.orders.recordFailure(RECLAIMABLE_IN_B, true, 0);
		assertThat(next(WITHOUT_B, SECOND / 10)).containsExactly(FALLBACK);
		this.orders.recordAccepted(FALLBACK);
		assertThat(next(WITHOUT_B, 2 * SECOND)).containsExactly(RECLAIMABLE_IN_B);
		assertThat(next(WITHOUT_B, 3 * SECOND)).isEmpty();
	}

	@Test
	void shouldReleaseFallbackServersWhenReclaimableServersArePresent() {
		next(WITHOUT_B, 0);
		this.orders.recordFailure(RECLAIMABLE_IN_B, true, 0);
		next(WITHOUT_B, SECOND);
		Map<String, ZoneSize> withFallback = Map.of("a", new ZoneSize(1, 2), "b", new ZoneSize(1, 0));
		this.orders.recordAccepted(RECLAIMABLE_IN_B);
		assertThat(next(withFallback, 6 * SECOND)).isEmpty();
		Map<String, ZoneSize> both = Map.of("a", new ZoneSize(1, 2), "b", new ZoneSize(1, 2));
		assertThat(next(both, 9 * SECOND)).containsExactly(new PoolSize("llm", "b", 0, false));
	}

	// Reclaims go from zone to zone while no other VM is available. Fallback servers
	// that are ordered upon the notice of the last zone boot while no server is left.
	@Test
	void shouldNotCountOnLargestZoneWhenOneIsRefused() {
		Plan large = new Plan(4.2, 4.2, PLAN.zones(), true);
		this.orders.nextOrders(LLM, large, WITHOUT_B, 0);
		this.orders.recordFailure(RECLAIMABLE_IN_B, true, 0);
		// Three servers are present and three are required; two of them may be reclaimed
		// next.
		assertThat(this.orders.nextOrders(LLM, large, WITHOUT_B, SECOND / 10))
			.containsExactly(new PoolSize("llm", "b", 2, false));
	}

	// Two zones are reclaimed at the same time: fallback servers for the whole shortage
	// were ordered in each zone, twice as many at the on-demand price as required.
	@Test
	void shouldDistributeFallbackServersWhenTwoZonesAreReclaimed() {
		Map<String, ZoneSize> remaining = Map.of("a", new ZoneSize(1, 0), "b", ZoneSize.NONE);
		next(remaining, 0);
		this.orders.recordFailure(RECLAIMABLE_IN_A, true, 0);
		this.orders.recordFailure(RECLAIMABLE_IN_B, true, 0);
		List<PoolSize> fallback = next(remaining, SECOND / 10);
		assertThat(fallback).noneMatch(PoolSize::reclaimable);
		assertThat(fallback.stream().mapToInt(PoolSize::servers).sum()).isEqualTo(2);
	}

	// A zone is reclaimed while the plan moves from reclaimable to on-demand servers: a
	// live server in another zone was released without a replacement.
	@Test
	void shouldReleaseNoServerWhenAnotherIsMissing() {
		Plan smaller = new Plan(2.8, 2.8, new TreeMap<>(Map.of("a", new ZoneSize(1, 1), "b", new ZoneSize(1, 1))),
				true);
		assertThat(this.orders.nextOrders(LLM, smaller, WITHOUT_B, 0)).noneMatch((size) -> size.zone().equals("a"));
		assertThat(this.orders.nextOrders(LLM, smaller, COMPLETE, 9 * SECOND))
			.contains(new PoolSize("llm", "a", 1, true), new PoolSize("llm", "b", 1, true));
	}

	// Guards against a new holder of the duties that releases its predecessor's servers
	// before it has measured the demand for long enough.
	@Test
	void shouldReleaseInheritedServersOnlyWhenPeaksAreKnown() {
		Map<String, ZoneSize> present = Map.of("a", new ZoneSize(1, 3), "b", new ZoneSize(0, 3));
		assertThat(this.orders.nextOrders(LLM, beforePeaksAreKnown(), present, 0)).isEmpty();
		assertThat(next(present, SECOND)).containsExactly(RECLAIMABLE_IN_A, RECLAIMABLE_IN_B);
	}

	@Test
	void shouldKeepInheritedServersWhenTheyRegisterLate() {
		this.orders.nextOrders(LLM, beforePeaksAreKnown(), COMPLETE, 0);
		Map<String, ZoneSize> present = Map.of("a", new ZoneSize(1, 3), "b", new ZoneSize(0, 3));
		assertThat(this.orders.nextOrders(LLM, beforePeaksAreKnown(), present, SECOND)).isEmpty();
	}

	// The servers that the first holder of a start orders before there is a plan follow
	// its first plan.
	@Test
	void shouldReleaseOwnServersWhenPeaksAreUnknown() {
		this.orders.nextOrder(LLM, new PoolSize("llm", "b", 3, true), 0, 0);
		Map<String, ZoneSize> present = Map.of("a", new ZoneSize(1, 2), "b", new ZoneSize(0, 3));
		assertThat(this.orders.nextOrders(LLM, beforePeaksAreKnown(), present, SECOND)).contains(RECLAIMABLE_IN_B);
	}

	@Test
	void shouldKeepServersOfAnotherHolderWhenDutiesAreTakenAgain() {
		this.orders.nextOrder(LLM, new PoolSize("llm", "b", 2, true), 0, 0);
		this.orders.dutiesTaken();
		Map<String, ZoneSize> present = Map.of("a", new ZoneSize(1, 2), "b", new ZoneSize(0, 3));
		assertThat(this.orders.nextOrders(LLM, beforePeaksAreKnown(), present, SECOND))
			.noneMatch((size) -> size.servers() < 3);
	}

	@Test
	void shouldKeepNoInheritedServersBeyondLimitOfService() {
		Map<String, ZoneSize> present = Map.of("a", new ZoneSize(1, 8), "b", new ZoneSize(0, 8));
		assertThat(this.orders.nextOrders(LLM, beforePeaksAreKnown(), present, 0))
			.containsExactly(new PoolSize("llm", "a", 5, true), new PoolSize("llm", "b", 6, true));
	}

	// A traffic peak is over: fallback servers for it would cost five times as much as
	// reclaimable ones and stay idle.
	@Test
	void shouldOrderNoFallbackServersWhenPeakIsOver() {
		Plan afterPeak = new Plan(11, 1.4, PLAN.zones(), true);
		this.orders.nextOrders(LLM, afterPeak, WITHOUT_B, 0);
		this.orders.recordFailure(RECLAIMABLE_IN_B, true, 0);
		assertThat(this.orders.nextOrders(LLM, afterPeak, WITHOUT_B, SECOND / 10)).isEmpty();
	}

	@Test
	void shouldDelayRetryWhenOrderFailed() {
		next(WITHOUT_B, 0);
		this.orders.recordFailure(RECLAIMABLE_IN_B, false, 0);
		assertThat(next(WITHOUT_B, SECOND / 2)).isEmpty();
		assertThat(next(WITHOUT_B, 2 * SECOND)).containsExactly(RECLAIMABLE_IN_B);
	}

	private static Plan beforePeaksAreKnown() {
		return new Plan(PLAN.requiredServers(), PLAN.recentRequiredServers(), PLAN.zones(), false);
	}

	private List<PoolSize> next(Map<String, ZoneSize> present, long now) {
		return this.orders.nextOrders(LLM, PLAN, present, now);
	}

}
