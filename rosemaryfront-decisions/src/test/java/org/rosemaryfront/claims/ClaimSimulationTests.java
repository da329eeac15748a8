package org.rosemaryfront.claims;

import java.util.stream.LongStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Long randomised runs of the claims. More seeds: {@code -Dsoak.seeds=N -Dsoak.seed=S}.
 */
class ClaimSimulationTests {

	private static final int BATCH_SIZE = 100;

	private static final long FIRST_SEED = Long.getLong("soak.seed", 1);

	private static final long SEED_COUNT = Long.getLong("soak.seeds", 2_000);

	// A homeowner's booking is repeated by three apps through four entries while entries
	// pause and die, the table service is slow, down and loses answers, and the service
	// refuses, breaks off and falls silent. Doubled, the booking sends two crews; lost,
	// none. Afterwards each key is asked for once more.
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
