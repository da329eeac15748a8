package org.rosemaryfront.traffic;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.moves.RunPace;
import org.rosemaryfront.ports.ForwardingMetadata.RunCopy;

import static org.assertj.core.api.Assertions.assertThat;

class CallMoveTests {

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final AtomicReference<RunPace> received = new AtomicReference<>(RunPace.unknown().plus(3, 1));

	private final CallMove move = new CallMove(this.channel.eventLoop(), (_, _) -> {
	}, this.received::get);

	// Guards against a call that waits until its deadline for the answer to a stop that
	// was decided when its attempt had failed already.
	@Test
	void shouldNotStopRunWhenItsAttemptHasFailed() {
		AtomicInteger requests = new AtomicInteger();
		this.move.attemptFailed();
		this.move.begins(requests::incrementAndGet);
		this.channel.runPendingTasks();
		assertThat(requests.get()).isZero();
		assertThat(this.move.defers(() -> {
		})).isFalse();
		assertThat(this.move.wasStopped()).isFalse();
	}

	// Guards against a run that is taken to be at a server before an event came from it.
	@Test
	void shouldKnowNoPaceBeforeFirstEventOfCurrentAttempt() {
		assertThat(this.move.pace().events()).isEqualTo(3);
		this.move.continueAt(new BackendServer("s1", 1, "app", "v1", "127.0.0.1:1", "a", 4, false, false, 0), 1,
				new RunCopy("127.0.0.1:2", "h1"), () -> true);
		assertThat(this.move.pace().events()).isZero();
		this.channel.runPendingTasks();
		assertThat(this.move.copy()).isEqualTo(Optional.of(new RunCopy("127.0.0.1:2", "h1")));
		this.move.responded();
		assertThat(this.move.pace().events()).isZero();
		this.received.set(this.received.get().plus(1, 2));
		assertThat(this.move.pace().events()).isEqualTo(4);
	}

}
