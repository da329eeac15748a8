package org.rosemaryfront.gateway;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class StopTimesTests {

	private static final long SIGNAL = 1_000_000_007L;

	// A chat of fifteen seconds began 14 ms behind the three seconds for which a stopping
	// process takes all calls, and was cut off by the end of the process 4.7 s later: it
	// was looked at every 50 ms only whether the three seconds were over.
	@ParameterizedTest
	@CsvSource({ "0, 15000, true", "2999, 15000, true", "3000, 15000, false", "3014, 15000, false", "3000, 4400, true",
			"3014, 4400, false", "7300, 100, true", "7301, 100, false" })
	void shouldTakeOnlyCallsThatEndBeforeTheProcessOnceItIsClosed(long sinceSignalMillis, long timeoutMillis,
			boolean taken) {
		StopTimes times = StopTimes.of(SIGNAL, 3_000, 7_600);
		assertThat(times.accepts(timeoutMillis, SIGNAL + TimeUnit.MILLISECONDS.toNanos(sinceSignalMillis)))
			.isEqualTo(taken);
	}

	@Test
	void shouldTakeNothingOnceTheLastCountsAreWritten() {
		StopTimes times = StopTimes.of(SIGNAL, 3_000, 7_600).endingAt(SIGNAL + 5);
		assertThat(times.accepts(0, SIGNAL + 6)).isFalse();
	}

}
