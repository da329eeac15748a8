package org.rosemaryfront.gateway;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class PauseDetectorTests {

	private static final long EPOCH = 1_770_000_000_000L;

	// Guards against a gateway that continues with an expired lease: its VM was suspended
	// for seconds and another gateway took over the duties. After the VM resumed, it
	// acted under its old fencing number, because the monotonic clock that times its
	// lease had been stopped as well.
	@ParameterizedTest
	@CsvSource({ "50, 50, Running", "3000, 3000, Paused", "50, 3050, Suspended", "3000, 6000, Suspended",
			"50, -1950, Running", "650, 1200, Suspended", "50, 400, Running" })
	void shouldDistinguishSuspensionFromPause(long monotonicMillis, long wallClockMillis, String finding) {
		for (long start : new long[] { 0, -5, Long.MAX_VALUE - 7 }) {
			PauseDetector watch = new PauseDetector(start, EPOCH);
			long now = start + TimeUnit.MILLISECONDS.toNanos(monotonicMillis);
			assertThat(watch.check(now, EPOCH + wallClockMillis).getClass().getSimpleName()).isEqualTo(finding);
			assertThat(watch.check(now, EPOCH + wallClockMillis)).isEqualTo(new PauseDetector.Observation.Running());
		}
	}

}
