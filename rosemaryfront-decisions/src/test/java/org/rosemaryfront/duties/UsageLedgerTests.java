package org.rosemaryfront.duties;

import java.util.Map;

import org.junit.jupiter.api.Test;

import org.rosemaryfront.duties.UsageLedger.Window;

import static org.assertj.core.api.Assertions.assertThat;

class UsageLedgerTests {

	private final UsageLedger ledger = new UsageLedger(5_000);

	@Test
	void shouldCountByWindowAndOrganisation() {
		this.ledger.recordStart("sfax", 10_000);
		this.ledger.recordStart("sfax", 14_999);
		this.ledger.recordStart("tunis", 12_000);
		this.ledger.recordStart("sfax", 15_000);
		assertThat(this.ledger.close(15_200)).containsExactly(new Window(2, Map.of("sfax", 2L, "tunis", 1L)));
		assertThat(this.ledger.close(20_200)).containsExactly(new Window(3, Map.of("sfax", 1L)));
	}

	// A call that began at the end of a window is counted a little later; if the window
	// were closed too early, the report would lack the call.
	@Test
	void shouldKeepWindowOpenWhenItEndedRecently() {
		this.ledger.recordStart("sfax", 14_999);
		assertThat(this.ledger.close(15_199)).isEmpty();
		assertThat(this.ledger.close(15_200)).hasSize(1);
	}

	@Test
	void shouldReturnCountsOfCurrentWindowWhenItIsNotOver() {
		this.ledger.recordStart("sfax", 14_999);
		this.ledger.recordStart("sfax", 16_000);
		assertThat(this.ledger.current(16_500)).isEqualTo(new Window(3, Map.of("sfax", 1L)));
		assertThat(this.ledger.current(21_000)).isEqualTo(new Window(4, Map.of()));
	}

	@Test
	void shouldReturnUnfinishedWindowWhenAllAreClosed() {
		this.ledger.recordStart("sfax", 16_000);
		assertThat(this.ledger.closeAll()).containsExactly(new Window(3, Map.of("sfax", 1L)));
		assertThat(this.ledger.closeAll()).isEmpty();
	}

}
