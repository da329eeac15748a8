package org.rosemaryfront.dispatch;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class RetryBudgetTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	/** A start so long ago that the retries of a previous run have left the window. */
	private static final long STARTED = -60 * SECOND;

	// All servers of a service fail: without a limit every call is sent twice, and
	// servers that recover immediately get twice the load.
	@ParameterizedTest
	@CsvSource({ "0, 2", "10, 4", "100, 22" })
	void shouldAllowRatioOfCallsAndFixedShareWhenServersFail(int calls, int retries) {
		RetryBudget allowance = new RetryBudget(0.2, 32, 10_000, STARTED);
		for (int i = 0; i < calls; i++) {
			allowance.recordFirstAttempt("booking", i);
		}
		int allowed = 0;
		while (allowance.tryAcquire("booking", SECOND)) {
			allowed++;
		}
		assertThat(allowed).isEqualTo(retries);
	}

	@Test
	void shouldAllowRetryWhenPreviousOneHasLeftWindow() {
		RetryBudget allowance = new RetryBudget(0, 16, 10_000, STARTED);
		assertThat(allowance.tryAcquire("booking", 0)).isTrue();
		assertThat(allowance.tryAcquire("booking", 9 * SECOND)).isFalse();
		assertThat(allowance.tryAcquire("booking", 10 * SECOND)).isTrue();
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
			RetryBudget allowance = new RetryBudget(0, 214, 10_000, STARTED);
			allowance.setProcessCount(processes);
			while (allowance.tryAcquire("llm", 0)) {
				retried++;
			}
		}
		assertThat(retried).isLessThanOrEqualTo(214);
	}

	@Test
	void shouldCountRetriesByService() {
		RetryBudget allowance = new RetryBudget(0, 16, 10_000, STARTED);
		assertThat(allowance.tryAcquire("booking", 0)).isTrue();
		assertThat(allowance.tryAcquire("llm", 0)).isTrue();
	}

	// All processes are killed repeatedly while servers fail. Each run used its fixed
	// share again, and together they made more retries than a window allows.
	@Test
	void shouldStayWithinLimitWhenProcessRestartsRepeatedly() {
		int retried = 0;
		for (int run = 0; run < 5; run++) {
			long start = 2 * run * SECOND;
			RetryBudget allowance = new RetryBudget(0.2, 64, 10_000, start);
			for (int i = 0; i < 10; i++) {
				allowance.recordFirstAttempt("booking", start + SECOND);
			}
			while (allowance.tryAcquire("booking", start + SECOND)) {
				retried++;
			}
		}
		assertThat(retried).isEqualTo(5 * 2);
	}

	@Test
	void shouldAllowFixedShareWhenWindowHasPassedSinceStart() {
		RetryBudget allowance = new RetryBudget(0, 16, 10_000, 0);
		assertThat(allowance.tryAcquire("booking", 9 * SECOND)).isFalse();
		assertThat(allowance.tryAcquire("booking", 10 * SECOND)).isTrue();
	}

}
