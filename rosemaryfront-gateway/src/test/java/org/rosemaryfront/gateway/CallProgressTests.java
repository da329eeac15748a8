package org.rosemaryfront.gateway;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.Dispatcher.Choice;
import org.rosemaryfront.dispatch.FirstTokenModel.Work;
import org.rosemaryfront.dispatch.PromptPrefix;
import org.rosemaryfront.rollout.LatencyBaseline;

import static org.assertj.core.api.Assertions.assertThat;

class CallProgressTests {

	private static final BackendServer SERVER = new BackendServer("s1", 0, "llm", "v1", "127.0.0.1:1", "a", 4, false,
			false, 0);

	private final CallProgress progress = CallProgress.of(PromptPrefix.none());

	private void send(long expectedMillis, Optional<Work> work) {
		this.progress
			.sent(new Choice.Chosen(SERVER, 0, 100, expectedMillis, 1, Optional.empty(), work, Optional.empty()), 0);
	}

	// Guards against ignoring servers whose expected time rounds to 0 ms: the model would
	// no longer learn from them.
	@ParameterizedTest
	@ValueSource(longs = { 0, 40 })
	void shouldReportFirstTokenWhenExpectedTimeIsZeroOrMore(long expectedMillis) {
		send(expectedMillis, Optional.of(Work.of(0, 100, 100, 1)));
		assertThat(this.progress.firstToken(TimeUnit.MILLISECONDS.toNanos(7))).hasValueSatisfying((first) -> {
			assertThat(first.millis()).isEqualTo(7);
			assertThat(first.expectedMillis()).isEqualTo(expectedMillis);
		});
	}

	// Guards against a version that is taken back for a few milliseconds that the machine
	// of the gateway had no time.
	@ParameterizedTest
	@CsvSource({ "0, 1, 6, false", "0, 30, 100, true", "130, 130, 400, true" })
	void shouldCountCallAsSlowOnlyWhenItTakesNoticeablyLonger(long expectedMillis, long usualMillis, long millis,
			boolean slow) {
		LatencyBaseline baseline = LatencyBaseline.empty();
		send(expectedMillis, Optional.empty());
		for (int i = 0; i < 10; i++) {
			baseline.recordCall("r", false, ratio(usualMillis));
		}
		assertThat(baseline.recordCall("r", true, ratio(millis))).isEqualTo(slow);
	}

	private double ratio(long millis) {
		return this.progress.latencyRatio(TimeUnit.MILLISECONDS.toNanos(millis)).orElseThrow();
	}

	@Test
	void shouldReportFirstTokenOnlyOnce() {
		send(40, Optional.of(Work.of(0, 100, 100, 1)));
		this.progress.firstToken(1);
		assertThat(this.progress.firstToken(2)).isEmpty();
	}

	@Test
	void shouldReportNoFirstTokenWhenCallHasNoPrompt() {
		send(0, Optional.empty());
		assertThat(this.progress.firstToken(1)).isEmpty();
	}

}
