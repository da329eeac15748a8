package org.rosemaryfront.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import org.rosemaryfront.events.Invariants;
import org.rosemaryfront.serving.ServingCommand;
import org.rosemaryfront.serving.ServingDecisions;
import org.rosemaryfront.serving.ServingEvent;

class ServingControlTests {

	// The decisions find that one of their invariants is broken, for instance new work
	// for a server that is leaving. The entry did not ask for it, so operators saw
	// invariants.broken at 0 while a promise was being broken.
	@Test
	void shouldCountBrokenInvariantWhenDecisionsReportOne() {
		long before = Invariants.broken();
		try (ServingControl control = ServingControl.start(new BrokenOnce(), Duration.ofMillis(1), (_) -> {
		})) {
			Conditions.await("the violation is counted", () -> Invariants.broken() == before + 1);
		}
	}

	private static final class BrokenOnce implements ServingDecisions {

		private final List<String> violations = new ArrayList<>(List.of("new work for a server that is leaving"));

		@Override
		public void accept(ServingEvent event, long nowNanos) {
		}

		@Override
		public List<ServingCommand> tick(long nowNanos) {
			return List.of();
		}

		@Override
		public Map<String, Long> tokensInFlight() {
			return Map.of();
		}

		@Override
		public List<String> takeViolations() {
			List<String> taken = List.copyOf(this.violations);
			this.violations.clear();
			return taken;
		}

	}

}
