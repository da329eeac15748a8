package org.rosemaryfront.gateway;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class StopTimesTests {

	private static final long SIGNAL = 1_000_000_007L;

	// Guards against accepting a call that outlasts the process. A chat call of 15
	// seconds was accepted 14 ms after the three seconds in which a stopping process
	// accepts all calls, and was cut off when the process ended 4.7 seconds later,
	// because the end of the three seconds was checked only every 50 ms.
	@ParameterizedTest
	@CsvSource({ "0, 15000, true", "2999, 15000, true", "3000, 15000, false", "3014, 15000, false", "3000, 4400, true",
			"3014, 4400, false", "7300, 100, true", "7301, 100, false" })
	void shouldAcceptOnlyCallsThatEndBeforeProcessWhenOpenTimeIsOver(long sinceSignalMillis, long timeoutMillis,
			boolean accepted) {
		StopTimes times = StopTimes.of(SIGNAL, 3_000, 7_600);
		assertThat(times.accepts(timeoutMillis, SIGNAL + TimeUnit.MILLISECONDS.toNanos(sinceSignalMillis)))
			.isEqualTo(accepted);
	}

	@Test
	void shouldAcceptNoCallWhenLastCountsAreWritten() {
		StopTimes times = StopTimes.of(SIGNAL, 3_000, 7_600).endingAt(SIGNAL + 5);
		assertThat(times.accepts(0, SIGNAL + 6)).isFalse();
	}

}
