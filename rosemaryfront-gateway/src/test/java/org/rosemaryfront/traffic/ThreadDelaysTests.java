package org.rosemaryfront.traffic;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import org.rosemaryfront.traffic.ThreadDelays.Summary;

import static org.assertj.core.api.Assertions.assertThat;

class ThreadDelaysTests {

	private static final int BEATS = 200;

	// Guards against an overload of which no log tells whether the gateway's own threads
	// made its calls late.
	@Test
	void shouldSummariseDelaysOfEachIntervalWhenCallsWereReceived() {
		List<Summary> summaries = summaries(new CallTally(7, 3, 2, 1, 1));
		assertThat(summaries).containsExactly(
				new Summary(millis(5_000), millis(102), millis(300), millis(20), new CallTally(7, 3, 2, 1, 1)));
	}

	@Test
	void shouldSummariseNothingWhenNoCallWasReceived() {
		assertThat(summaries(CallTally.NONE)).isEmpty();
	}

	private static List<Summary> summaries(CallTally tally) {
		ThreadDelays delays = ThreadDelays.startingAt(0);
		return IntStream.rangeClosed(1, BEATS)
			.mapToObj((beat) -> delays.beat(millis((beat == 40) ? 300 : 100), millis(20), tally, millis(50L * beat)))
			.flatMap(Optional::stream)
			.toList();
	}

	private static long millis(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
