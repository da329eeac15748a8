package org.rosemaryfront.claims;

import java.util.stream.LongStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Randomised simulations of claims. Options for other seeds:
 * {@code -Dsoak.seeds=N -Dsoak.seed=S}.
 */
class ClaimSimulationTests {

	private static final int BATCH_SIZE = 100;

	private static final long FIRST_SEED = Long.getLong("soak.seed", 1);

	private static final long SEED_COUNT = Long.getLong("soak.seeds", 2_000);

	// Callers repeat a booking through four entry processes while these pause and crash,
	// the table service is slow, down or loses responses, and the backend servers refuse
	// calls, close connections or do not respond. A booking that ran twice would send two
	// crews, a lost one none. Finally, one more request is sent for each key.
	@ParameterizedTest
	@MethodSource("batches")
	void shouldKeepInvariantsWhenFaultsAreInjected(long first) {
		int requests = 0;
		for (long seed = first; seed < Math.min(first + BATCH_SIZE, FIRST_SEED + SEED_COUNT); seed++) {
			ClaimSimulation.Result result = ClaimSimulation.run(seed);
			requests += result.requests().size();
			assertThat(result.violations()).as("seed %d (repeat by -Dsoak.seeds=1 -Dsoak.seed=%d)", seed, seed)
				.isEmpty();
		}
		assertThat(requests).isPositive();
	}

	static LongStream batches() {
		return LongStream.iterate(FIRST_SEED, (seed) -> seed < FIRST_SEED + SEED_COUNT, (seed) -> seed + BATCH_SIZE);
	}

}
