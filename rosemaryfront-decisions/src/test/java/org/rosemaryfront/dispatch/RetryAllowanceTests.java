package org.rosemaryfront.dispatch;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class RetryAllowanceTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	/** A start so long ago that the retries of a previous run have left the window. */
	private static final long STARTED = -60 * SECOND;

	// All servers of a service fail: without a limit every call is sent twice, and
	// servers that recover immediately get twice the load.
	@ParameterizedTest
	@CsvSource({ "0, 2", "10, 4", "100, 22" })
	void shouldAllowRatioOfCallsAndFixedShareWhenServersFail(int calls, int retries) {
		RetryAllowance allowance = new RetryAllowance(0.2, 32, 10_000, STARTED);
		for (int i = 0; i < calls; i++) {
			allowance.first("booking", i);
		}
		int allowed = 0;
		while (allowance.take("booking", SECOND)) {
			allowed++;
		}
		assertThat(allowed).isEqualTo(retries);
	}

	@Test
	void shouldAllowRetryWhenPreviousOneHasLeftWindow() {
		RetryAllowance allowance = new RetryAllowance(0, 16, 10_000, STARTED);
		assertThat(allowance.take("booking", 0)).isTrue();
		assertThat(allowance.take("booking", 9 * SECOND)).isFalse();
		assertThat(allowance.take("booking", 10 * SECOND)).isTrue();
	}

	// Servers of a large deployment fail, and each gateway uses its share of the fixed
	// allowance. With as many shares as a small deployment has gateways, the total was
	// five times the allowed number of retries and doubled the load of the remaining
	// servers.
	@ParameterizedTest
	@CsvSource({ "1", "9", "30", "87", "380" })
	void shouldStayWithinFixedAllowanceWhenManyProcessesRetry(int processes) {
		int retried = 0;
		for (int i = 0; i < processes; i++) {
			RetryAllowance allowance = new RetryAllowance(0, 214, 10_000, STARTED);
			allowance.processes(processes);
			while (allowance.take("llm", 0)) {
				retried++;
			}
		}
		assertThat(retried).isLessThanOrEqualTo(214);
	}

	@Test
	void shouldCountRetriesByService() {
		RetryAllowance allowance = new RetryAllowance(0, 16, 10_000, STARTED);
		assertThat(allowance.take("booking", 0)).isTrue();
		assertThat(allowance.take("llm", 0)).isTrue();
	}

	// All processes are killed repeatedly while servers fail. Each run used its fixed
	// share again, and together they made more retries than a window allows.
	@Test
	void shouldStayWithinLimitWhenProcessRestartsRepeatedly() {
		int retried = 0;
		for (int run = 0; run < 5; run++) {
			long start = 2 * run * SECOND;
			RetryAllowance allowance = new RetryAllowance(0.2, 64, 10_000, start);
			for (int i = 0; i < 10; i++) {
				allowance.first("booking", start + SECOND);
			}
			while (allowance.take("booking", start + SECOND)) {
				retried++;
			}
		}
		assertThat(retried).isEqualTo(5 * 2);
	}

	@Test
	void shouldAllowFixedShareWhenWindowHasPassedSinceStart() {
		RetryAllowance allowance = new RetryAllowance(0, 16, 10_000, 0);
		assertThat(allowance.take("booking", 9 * SECOND)).isFalse();
		assertThat(allowance.take("booking", 10 * SECOND)).isTrue();
	}

}
