package org.rosemaryfront.quota;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the list of organisations that may use a large burst. */
class StoredBurstsTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final Set<String> SFAX = Set.of("sfax");

	private static final Map<String, Long> FIRST = Map.of("sfax", 1L);

	private final StoredBursts bursts = StoredBursts.empty(8_000);

	@Test
	void shouldWriteNothingWhenNoOrganisationIsInBurst() {
		assertThat(this.bursts.nextWrite(Set.of(), 0)).isEmpty();
	}

	@Test
	void shouldReturnOrganisationWhenItsEntryIsSeen() {
		assertThat(this.bursts.nextWrite(SFAX, 0)).contains(FIRST);
		this.bursts.writeEnded();
		assertThat(this.bursts.organisations()).isEmpty();
		assertThat(this.bursts.read(FIRST, 0)).isEqualTo(SFAX);
		assertThat(this.bursts.read(FIRST, SECOND)).isEmpty();
	}

	// Guards against a list that is shorter than what may still be within the window.
	@Test
	void shouldListOrganisationForThreeWindows() {
		this.bursts.read(FIRST, 0);
		assertThat(this.bursts.nextWrite(Set.of(), 23 * SECOND)).isEmpty();
		assertThat(this.bursts.nextWrite(Set.of(), 24 * SECOND)).contains(Map.of());
	}

	@Test
	void shouldRenewEntryWhenBurstGoesOnForWindow() {
		this.bursts.read(FIRST, 0);
		assertThat(this.bursts.nextWrite(SFAX, 7 * SECOND)).isEmpty();
		assertThat(this.bursts.nextWrite(SFAX, 8 * SECOND)).contains(Map.of("sfax", 2L));
		assertThat(this.bursts.read(Map.of("sfax", 2L), 8 * SECOND)).isEqualTo(SFAX);
	}

	// Guards against a call to the store at each report while the store is slow or fails.
	@Test
	void shouldWriteAgainOnlyAfterIntervalWhenWriteFailed() {
		assertThat(this.bursts.nextWrite(SFAX, 0)).isPresent();
		assertThat(this.bursts.nextWrite(SFAX, SECOND)).isEmpty();
		this.bursts.writeEnded();
		assertThat(this.bursts.nextWrite(SFAX, SECOND)).isPresent();
		this.bursts.writeEnded();
		assertThat(this.bursts.nextWrite(SFAX, SECOND + SECOND / 4)).isEmpty();
	}

}
