package org.rosemaryfront.duties;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReceivedUsageTests {

	private final ReceivedUsage usage = new ReceivedUsage();

	// The usage report of a window lacked the calls of a process that was killed within
	// it: the process wrote no row, and no other process had its counts.
	@Test
	void shouldCountReportedCallsWhenProcessWroteNoRow() {
		this.usage.recordCurrentCounts(7, "g1/a", Map.of("sfax", 3L));
		this.usage.recordCurrentCounts(7, "g1/a", Map.of("sfax", 5L, "tunis", 1L));
		assertThat(this.usage.missing(7, List.of("g2/b/1"))).containsOnly(Map.entry("sfax", 5L),
				Map.entry("tunis", 1L));
	}

	@Test
	void shouldNotCountTwiceWhenRowIsInStore() {
		this.usage.recordCurrentCounts(7, "g1/a", Map.of("sfax", 3L));
		this.usage.recordUnwrittenRow(7, "g1/a/1", Map.of("sfax", 4L));
		assertThat(this.usage.missing(7, List.of("g1/a/1"))).isEmpty();
	}

	// The store rejects the writes of a process for longer than a report may be delayed.
	@Test
	void shouldCountUnwrittenRowOnlyWhenEarlierCountsWereReported() {
		this.usage.recordCurrentCounts(7, "g1/a", Map.of("sfax", 3L));
		this.usage.recordUnwrittenRow(7, "g1/a/1", Map.of("sfax", 4L));
		assertThat(this.usage.missing(7, List.of())).containsExactly(Map.entry("sfax", 4L));
	}

	@Test
	void shouldCountEachRunWhenProcessRestarts() {
		this.usage.recordCurrentCounts(7, "g1/a", Map.of("sfax", 3L));
		this.usage.recordCurrentCounts(7, "g1/b", Map.of("sfax", 2L));
		assertThat(this.usage.missing(7, List.of("g1/b/1"))).containsExactly(Map.entry("sfax", 3L));
	}

	@Test
	void shouldReturnNothingWhenWindowWasRemoved() {
		this.usage.recordCurrentCounts(7, "g1/a", Map.of("sfax", 3L));
		this.usage.removeBefore(8);
		assertThat(this.usage.missing(7, List.of())).isEmpty();
	}

}
