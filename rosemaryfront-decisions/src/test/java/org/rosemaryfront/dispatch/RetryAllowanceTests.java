package org.rosemaryfront.dispatch;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class RetryAllowanceTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	// All servers of a service fail: without a bound every call is sent twice, and the
	// servers that come back get twice the load at once.
	@ParameterizedTest
	@CsvSource({ "0, 2", "10, 4", "100, 22" })
	void shouldAllowShareOfCallsAndFixedPart(int calls, int retries) {
		RetryAllowance allowance = new RetryAllowance(0.2, 2, 10_000);
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
		RetryAllowance allowance = new RetryAllowance(0, 1, 10_000);
		assertThat(allowance.take("booking", 0)).isTrue();
		assertThat(allowance.take("booking", 9 * SECOND)).isFalse();
		assertThat(allowance.take("booking", 10 * SECOND)).isTrue();
	}

	@Test
	void shouldCountEachServiceByItself() {
		RetryAllowance allowance = new RetryAllowance(0, 1, 10_000);
		assertThat(allowance.take("booking", 0)).isTrue();
		assertThat(allowance.take("llm", 0)).isTrue();
	}

}
