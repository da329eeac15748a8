package org.rosemaryfront.dispatch;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class RetryAllowanceTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	/** Long ago: whatever an earlier life used has left the window. */
	private static final long STARTED = -60 * SECOND;

	// All servers of a service fail: without a bound every call is sent twice, and the
	// servers that come back get twice the load at once.
	@ParameterizedTest
	@CsvSource({ "0, 2", "10, 4", "100, 22" })
	void shouldAllowShareOfCallsAndFixedPart(int calls, int retries) {
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
	void shouldForgetWhatLeftTheWindow() {
		RetryAllowance allowance = new RetryAllowance(0, 16, 10_000, STARTED);
		assertThat(allowance.take("booking", 0)).isTrue();
		assertThat(allowance.take("booking", 9 * SECOND)).isFalse();
		assertThat(allowance.take("booking", 10 * SECOND)).isTrue();
	}

	// Servers of a large deployment fail, and each of its gateways repeats its part of
	// the fixed allowance. Cut into as many parts as a small deployment has gateways,
	// the sum was five times what is allowed, and doubled the load of the servers that
	// were left.
	@ParameterizedTest
	@CsvSource({ "1", "9", "30", "87", "380" })
	void shouldStayWithinFixedAllowanceHoweverManyProcesses(int processes) {
		int repeated = 0;
		for (int i = 0; i < processes; i++) {
			RetryAllowance allowance = new RetryAllowance(0, 214, 10_000, STARTED);
			allowance.processes(processes);
			while (allowance.take("llm", 0)) {
				repeated++;
			}
		}
		assertThat(repeated).isLessThanOrEqualTo(214);
	}

	@Test
	void shouldCountEachServiceByItself() {
		RetryAllowance allowance = new RetryAllowance(0, 16, 10_000, STARTED);
		assertThat(allowance.take("booking", 0)).isTrue();
		assertThat(allowance.take("llm", 0)).isTrue();
	}

	// All processes are killed again and again while servers fail. Each life took the
	// fixed part anew, and together they repeated more calls than a window allows.
	@Test
	void shouldStayWithinWindowOverRestarts() {
		int repeated = 0;
		for (int life = 0; life < 5; life++) {
			long start = 2 * life * SECOND;
			RetryAllowance allowance = new RetryAllowance(0.2, 64, 10_000, start);
			for (int i = 0; i < 10; i++) {
				allowance.first("booking", start + SECOND);
			}
			while (allowance.take("booking", start + SECOND)) {
				repeated++;
			}
		}
		assertThat(repeated).isEqualTo(5 * 2);
	}

	@Test
	void shouldAllowFixedPartOnceAWindowHasPassedSinceTheStart() {
		RetryAllowance allowance = new RetryAllowance(0, 16, 10_000, 0);
		assertThat(allowance.take("booking", 9 * SECOND)).isFalse();
		assertThat(allowance.take("booking", 10 * SECOND)).isTrue();
	}

}
