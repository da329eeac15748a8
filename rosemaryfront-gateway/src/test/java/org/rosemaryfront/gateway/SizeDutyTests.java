package org.rosemaryfront.gateway;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.BackendTable;
import org.rosemaryfront.duties.PoolSize;
import org.rosemaryfront.routes.CallerLimits;
import org.rosemaryfront.routes.ServiceSpec;
import org.rosemaryfront.routes.ServiceSpec.EngineSpec;
import org.rosemaryfront.routes.ServiceSpec.ScalingSpec;
import org.rosemaryfront.routes.TrafficConfiguration;

import static org.assertj.core.api.Assertions.assertThat;

class SizeDutyTests {

	private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final TrafficConfiguration CONFIGURATION = TrafficConfiguration.of(1, List.of(),
			List.of(new ServiceSpec("llm", 100, Optional.of(new EngineSpec(64, 500_000, 0, 0)),
					Optional.of(new ScalingSpec(1, 4, 4_000, 0.2, Map.of("a", 0.8, "b", 1.0))))),
			List.of(), CallerLimits.INITIAL);

	private final BackendTable servers = new BackendTable();

	private final RecordedDuties duties = new RecordedDuties();

	private final SizeDuty duty = new SizeDuty(this.servers, (_) -> 70, (_) -> true, (_) -> false, this.duties,
			List.of("a", "b"), Runnable::run, () -> {
			});

	@Test
	void shouldOrderReclaimableServersWhenThereIsNoPlanYet() {
		act(0);
		assertThat(this.duties.sizes()).containsExactly(new PoolSize("llm", "a", 2, true),
				new PoolSize("llm", "b", 2, true));
	}

	// The running servers were released before their replacements served, which left no
	// server during the time of a boot.
	@Test
	void shouldKeepRunningServersWhenReplacementsDoNotServeYet() {
		registerOnDemand();
		act(0);
		act(2);
		assertThat(this.duties.sizes()).allMatch(PoolSize::reclaimable);
		register("r1", "a", true);
		register("r2", "b", true);
		register("r3", "a", true);
		register("r4", "b", true);
		act(4);
		assertThat(this.duties.sizes()).contains(new PoolSize("llm", "b", 0, false));
	}

	// The servers of a service register within about three seconds of the start. A plan
	// made from the first of them released the others, and the traffic met four servers
	// instead of seven.
	@Test
	void shouldPlanWhenNoMoreServersRegister() {
		for (int second = 0; second < 4; second++) {
			register("a" + second, "a", false);
			act(second);
			register("b" + second, "b", false);
		}
		for (String id : List.of("r1", "r2")) {
			register(id + "a", "a", true);
			register(id + "b", "b", true);
		}
		act(5);
		assertThat(this.duties.sizes()).allMatch(PoolSize::reclaimable);
		act(8);
		assertThat(this.duties.sizes()).anyMatch((size) -> !size.reclaimable());
		assertThat(this.duties.sizes()).noneMatch((size) -> size.reclaimable() && size.servers() < 2);
	}

	// The holder of the duties is lost during high load. Its successor had never measured
	// the demand, and released servers that were needed.
	@Test
	void shouldKnowRequiredCapacityWhenTakingOverDuties() {
		register("a1", "a", false);
		for (String id : List.of("r1", "r2", "r3")) {
			register(id + "a", "a", true);
			register(id + "b", "b", true);
		}
		for (int second = 0; second < 40; second++) {
			this.duty.updatePlans(CONFIGURATION, 150_000.0 * second, second * SECOND_NANOS);
		}
		act(40);
		assertThat(this.duties.sizes()).noneMatch((size) -> size.reclaimable() && size.servers() < 3);
	}

	// Guards against a new holder of the duties that releases servers by the little
	// demand that it has heard of so far.
	@Test
	void shouldNotReleaseServersWhenDutiesWereJustTakenOver() {
		register("a1", "a", false);
		for (String id : List.of("r1", "r2", "r3")) {
			register(id + "a", "a", true);
			register(id + "b", "b", true);
		}
		for (int second = 0; second < 12; second++) {
			this.duty.updatePlans(CONFIGURATION, 10_000.0 * second, second * SECOND_NANOS);
		}
		this.duty.act(2, CONFIGURATION, 12 * SECOND_NANOS);
		assertThat(this.duties.sizes()).noneMatch((size) -> size.reclaimable() && size.servers() < 3);
	}

	// A zone is reclaimed: until the next plan, each second passes without its servers.
	@Test
	void shouldOrderImmediatelyWhenServersAreRemoved() {
		registerOnDemand();
		act(0);
		for (String id : List.of("r1", "r2")) {
			register(id + "a", "a", true);
			register(id + "b", "b", true);
		}
		act(4);
		int before = this.duties.sizes().size();
		for (String id : List.of("r1b", "r2b")) {
			this.servers.recordLapse(id, 4 * SECOND_NANOS, OptionalLong.empty());
		}
		this.servers.removeExpired(4 * SECOND_NANOS);
		this.duty.act(1, CONFIGURATION, 4 * SECOND_NANOS + SECOND_NANOS / 10);
		assertThat(this.duties.sizes().subList(before, this.duties.sizes().size()))
			.contains(new PoolSize("llm", "b", 2, true));
	}

	@Test
	void shouldNotRepeatOrderWhenItIsOutstanding() {
		act(0);
		act(1);
		act(2);
		assertThat(this.duties.sizes()).hasSize(2);
	}

	private void registerOnDemand() {
		for (String zone : List.of("a", "b")) {
			register(zone + "1", zone, false);
			register(zone + "2", zone, false);
		}
	}

	private void register(String id, String zone, boolean reclaimable) {
		this.servers.recordRegistration(
				new BackendServer(id, 0, "llm", "v1", "127.0.0.1:1", zone, 64, false, reclaimable, 0), 0);
	}

	private void act(int second) {
		this.duty.updatePlans(CONFIGURATION, 0, second * SECOND_NANOS);
		this.duty.act(1, CONFIGURATION, second * SECOND_NANOS);
	}

}
