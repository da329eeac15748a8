package org.rosemaryfront.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReadPacingTests {

	private static final long READ_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

	private static final long PAUSE_NANOS = 3 * READ_NANOS;

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final ReadPacing pacing = new ReadPacing(this.channel.eventLoop());

	private final List<String> resumed = new ArrayList<>();

	ReadPacingTests() {
		this.channel.freezeTime();
	}

	// Guards against servers that together take the whole traffic thread.
	@Test
	void shouldResumeOneConnectionAtATimeWhenSeveralWait() {
		await("a");
		await("b");
		advance(2 * PAUSE_NANOS);
		assertThat(this.resumed).containsExactly("a");
		advance(PAUSE_NANOS);
		assertThat(this.resumed).containsExactly("a", "b");
	}

	@Test
	void shouldResumeOnlyAfterMultipleOfTimeThatReadTook() {
		await("a");
		advance(PAUSE_NANOS - 1);
		assertThat(this.resumed).isEmpty();
		advance(1);
		assertThat(this.resumed).containsExactly("a");
	}

	// Guards against a connection that waits for good behind one that has nothing more.
	@Test
	void shouldResumeNextConnectionWhenFirstReceivesNothing() {
		await("a");
		await("b");
		await("c");
		for (int i = 0; i < 3; i++) {
			advance(3 * PAUSE_NANOS);
		}
		assertThat(this.resumed).containsExactly("a", "b", "c");
	}

	private void await(String connection) {
		this.pacing.await(READ_NANOS, () -> this.resumed.add(connection));
	}

	private void advance(long nanos) {
		this.channel.advanceTimeBy(nanos, TimeUnit.NANOSECONDS);
		this.channel.runScheduledPendingTasks();
	}

}
