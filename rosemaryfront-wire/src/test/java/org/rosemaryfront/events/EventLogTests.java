package org.rosemaryfront.events;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

class EventLogTests {

	private final PrintStream out = System.out;

	private final PrintStream err = System.err;

	private final ByteArrayOutputStream written = new ByteArrayOutputStream();

	@BeforeEach
	void capture() {
		PrintStream captured = new PrintStream(this.written, true, StandardCharsets.UTF_8);
		System.setOut(captured);
		System.setErr(captured);
	}

	@AfterEach
	void restore() {
		System.setOut(this.out);
		System.setErr(this.err);
	}

	// Guards against made-up calls of a warm-up among those of callers in the log.
	@Test
	@Timeout(20)
	void shouldWriteNothingWhenEventsAreDiscarded() throws InterruptedException {
		EventLog.discardDuring(() -> EventLog.warn(ProgramEvents.LOG_DROPPED, "lines", "discarded"));
		EventLog.warn(ProgramEvents.LOG_DROPPED, "lines", "kept");
		while (!this.written.toString(StandardCharsets.UTF_8).contains("kept")) {
			Thread.sleep(5);
		}
		assertThat(this.written.toString(StandardCharsets.UTF_8)).doesNotContain("discarded");
		assertThat(EventLog.dropped()).isZero();
	}

}
