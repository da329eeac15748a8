package org.rosemaryfront.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.dispatch.BackendTable;
import org.rosemaryfront.dispatch.Dispatcher;
import org.rosemaryfront.dispatch.Dispatcher.CallRequirements;
import org.rosemaryfront.dispatch.Dispatcher.Choice;
import org.rosemaryfront.dispatch.PromptPrefix;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the choice among servers some of which have a limit. */
class LimitedDispatchTests {

	private static final CallRequirements REQUIREMENTS = new CallRequirements("app", PromptPrefix.none(),
			Optional.empty(), 0, 500, 0);

	private final BackendTable table = new BackendTable();

	private final Dispatcher dispatcher = new Dispatcher(this.table, "a", () -> 0);

	/** The permits left for each server that has a limit. */
	private final Map<String, Integer> permits = new HashMap<>();

	@BeforeEach
	void register() {
		this.table.recordRegistration(server("s1", "a"), 0);
		this.table.recordRegistration(server("s2", "b"), 0);
	}

	@Test
	void shouldUseBestServerWhenPermitIsLeft() {
		this.permits.put("s1", 1);
		assertThat(choose()).isInstanceOfSatisfying(Choice.Chosen.class, (chosen) -> {
			assertThat(chosen.server().id()).isEqualTo("s1");
			assertThat(chosen.passedOver()).isEmpty();
		});
		assertThat(this.permits).containsEntry("s1", 0);
	}

	// Guards against refusing a call that another server can take.
	@Test
	void shouldUseOtherServerWhenNoPermitIsLeftForBest() {
		this.permits.put("s1", 0);
		assertThat(choose()).isInstanceOfSatisfying(Choice.Chosen.class, (chosen) -> {
			assertThat(chosen.server().id()).isEqualTo("s2");
			assertThat(chosen.passedOver()).contains("s1");
		});
	}

	// Guards against a permit for the other server that is used without being taken.
	@Test
	void shouldTakePermitOfOtherServerWhenBothHaveLimits() {
		this.permits.putAll(Map.of("s1", 0, "s2", 1));
		assertThat(choose()).isInstanceOf(Choice.Chosen.class);
		assertThat(choose()).isEqualTo(new Choice.NoPermit(2));
	}

	@Test
	void shouldBeFullWhenOtherServerHasNoRoom() {
		this.permits.put("s1", 0);
		for (int i = 0; i < 8; i++) {
			this.table.recordCallSent(new Incarnation("s2", 0), 0);
		}
		assertThat(choose()).isInstanceOf(Choice.Full.class);
	}

	private Choice choose() {
		return this.dispatcher.choosePermitted(REQUIREMENTS, List.of(), (_) -> true, new CountedPermits(), 0);
	}

	private static BackendServer server(String id, String zone) {
		return new BackendServer(id, 0, "app", "v1", "127.0.0.1:1", zone, 8, false, false, 0);
	}

	private final class CountedPermits implements Dispatcher.Permits {

		@Override
		public boolean tryAcquire(Incarnation server, long nowNanos) {
			boolean available = isAvailable(server, nowNanos);
			LimitedDispatchTests.this.permits.computeIfPresent(server.id(), (_, left) -> Math.max(0, left - 1));
			return available;
		}

		@Override
		public boolean isAvailable(Incarnation server, long nowNanos) {
			return LimitedDispatchTests.this.permits.getOrDefault(server.id(), 1) > 0;
		}

	}

}
