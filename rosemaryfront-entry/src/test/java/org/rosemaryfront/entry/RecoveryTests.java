package org.rosemaryfront.entry;

import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.rosemaryfront.entry.Caller.Events;
import org.rosemaryfront.model.RequestId;

import static org.assertj.core.api.Assertions.assertThat;

class RecoveryTests {

	private FakeEngine first;

	private FakeEngine second;

	private TestEntry entry;

	@BeforeEach
	void start() {
		this.first = FakeEngine.start();
		this.second = FakeEngine.start();
		this.entry = TestEntry.start("e1", new EntrySettings.Limits(0, 0, 0, 0, 0),
				new EntrySettings.Streams(400, 0, 0, 100, 0));
		this.entry.see("r1", "tunis-a", this.first);
	}

	@AfterEach
	void stop() {
		this.entry.close();
		this.first.close();
		this.second.close();
	}

	/**
	 * A runner dies without notice in the middle of an answer. The caller sees a pause
	 * and then the rest of the answer. The entry has the tokens so far and lets another
	 * runner go on after them.
	 */
	@Test
	void shouldReplayOnOtherEngineWhenEngineDies() {
		this.first.openGate(5);
		try (Events events = Caller.stream(this.entry, Caller.chat(20, true)).read(5)) {
			this.entry.see("r2", "tunis-b", this.second);
			this.first.die();
			events.readAll();
			assertThat(events.text()).isEqualTo(Caller.words(0, 20));
			assertThat(events.done()).isTrue();
			assertThat(this.second.orders().getLast().path("emitted")).hasSize(5);
		}
	}

	/**
	 * Something between entry and engine forgets the connection: it stays open and
	 * carries nothing, while new connections work and the engine is well. The caller sees
	 * a pause. The entry attaches again at its offset and nothing is computed twice.
	 */
	@Test
	void shouldReattachWithoutRecomputingWhenConnectionGoesSilent() {
		this.first.openGate(3);
		try (Events events = Caller.stream(this.entry, Caller.chat(9, true)).read(3)) {
			this.first.silence();
			this.first.openGate(9);
			events.readAll();
			assertThat(events.text()).isEqualTo(Caller.words(0, 9));
			assertThat(this.first.attached()).isGreaterThanOrEqualTo(1);
			assertThat(this.first.orders()).hasSize(1);
		}
	}

	/**
	 * An engine's answer to an earlier attempt turns up on a connection that is used for
	 * this one. Without the check the caller would read a word of another answer.
	 */
	@Test
	void shouldDropTokensOfForeignAttempt() {
		this.first.prelude("{\"t\":\"token\",\"attempt\":\"other\",\"i\":0,\"text\":\" foreign\"}\n");
		try (Events events = Caller.stream(this.entry, Caller.chat(4, true)).readAll()) {
			assertThat(events.text()).isEqualTo(Caller.words(0, 4));
		}
		assertThat(this.entry.foreignEventsDropped()).isEqualTo(1);
	}

	@Test
	void shouldGoElsewhereWhenEngineRefusesAsLeaving() {
		this.first.leave();
		this.entry.see("r2", "tunis-b", this.second);
		try (Events events = Caller.stream(this.entry, Caller.chat(4, true)).readAll()) {
			assertThat(events.text()).isEqualTo(Caller.words(0, 4));
			assertThat(events.done()).isTrue();
		}
	}

	/**
	 * A caller closes its page in the middle of an answer and does not come back. Without
	 * the cancel the engine would generate the rest for nobody.
	 */
	@Test
	void shouldCancelWhenCallerDoesNotComeBackInGraceTime() {
		this.first.openGate(3);
		Events events = Caller.stream(this.entry, Caller.chat(9, true)).read(3);
		String id = events.id();
		events.close();
		Conditions.await("the cancel", () -> !this.first.cancelled().isEmpty());
		assertThat(this.entry.streams().find(new RequestId(id)).orElseThrow().isOpen()).isFalse();
	}

	@Test
	void shouldCancelWhenCallerOfWholeAnswerDisconnects() throws Exception {
		this.first.openGate(3);
		java.net.Socket socket = new java.net.Socket("127.0.0.1", Integer.parseInt(this.entry.address().split(":")[1]));
		String body = Caller.chat(9, false);
		socket.getOutputStream()
			.write(("POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + TestEntry.KEY
					+ "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
				.getBytes(java.nio.charset.StandardCharsets.US_ASCII));
		Conditions.await("the dispatch", () -> !this.first.orders().isEmpty());
		socket.close();
		Conditions.await("the cancel", () -> !this.first.cancelled().isEmpty());
	}

	/**
	 * One caller takes nothing from its stream. Its connection fills up; the answers of
	 * other callers on the same entry must not wait for it.
	 */
	@Test
	void shouldServeOthersWhileOneCallerTakesNothing() {
		try (Events slow = Caller.stream(this.entry, Caller.chat(2_000, true)).read(1)) {
			CompletableFuture<String> other = CompletableFuture
				.supplyAsync(() -> Caller.post(this.entry, "/v1/chat/completions", Caller.chat(5, false)).body());
			assertThat(Caller.json(other.join()).at("/choices/0/message/content").asText())
				.isEqualTo(Caller.words(0, 5));
			assertThat(slow.done()).isFalse();
		}
	}

}
