package org.rosemaryfront.entry;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.rosemaryfront.entry.Caller.Events;
import org.rosemaryfront.model.ProblemCode;

import static org.assertj.core.api.Assertions.assertThat;

class HandoffTests {

	private FakeEngine engine;

	private TestEntry leaving;

	private TestEntry staying;

	private TestEntry third;

	@BeforeEach
	void start() {
		this.engine = FakeEngine.start();
		this.leaving = TestEntry.start("leaving");
		this.staying = TestEntry.start("staying");
		this.third = TestEntry.start("third");
		this.leaving.see("r1", "tunis-a", this.engine);
		this.staying.see("r1", "tunis-a", this.engine);
		this.third.see("r1", "tunis-a", this.engine);
		this.leaving.know(this.staying);
		this.staying.know(this.third);
		this.third.know(this.staying);
	}

	@AfterEach
	void stop() {
		this.leaving.close();
		this.staying.close();
		this.third.close();
		this.engine.close();
	}

	/**
	 * An entry VM is reclaimed in the middle of a streamed answer. The caller's
	 * connection closes after the last event, without [DONE]. The caller comes back to
	 * another entry with its last event's id and reads the rest; the runner goes on and
	 * computes nothing twice.
	 */
	@Test
	void shouldGoOnAtOtherEntryWhenEntryStopsDuringStream() {
		this.engine.openGate(4);
		try (Events events = Caller.stream(this.leaving, Caller.chat(12, true)).read(4)) {
			this.leaving.stopGracefully();
			events.readAll();
			assertThat(events.done()).isFalse();
			this.engine.openGate(12);
			try (Events rest = Caller.resume(this.third, events.id(), events.ids().size()).readAll()) {
				assertThat(events.text() + rest.text()).isEqualTo(Caller.words(0, 12));
				assertThat(rest.done()).isTrue();
			}
		}
		assertThat(this.engine.orders()).hasSize(1);
		assertThat(this.engine.cancelled()).isEmpty();
	}

	/**
	 * An entry VM is reclaimed while a caller waits for a whole answer. The caller reads
	 * 303 and gets the answer from any other entry, through the one that holds it.
	 */
	@Test
	void shouldRedirectWaitingCallerWhenEntryStops() {
		this.engine.openGate(4);
		CompletableFuture<HttpResponse<String>> waiting = CompletableFuture
			.supplyAsync(() -> Caller.post(this.leaving, "/v1/chat/completions", Caller.chat(8, false)));
		Conditions.await("four tokens", () -> this.leaving.streams().all().stream().anyMatch((s) -> s.size() == 4));
		this.leaving.stopGracefully();
		HttpResponse<String> redirect = waiting.join();
		assertThat(redirect.statusCode()).isEqualTo(303);
		String location = redirect.headers().firstValue("Location").orElseThrow();
		assertThat(Caller.get(this.third, location + "?wait=50", TestEntry.KEY).statusCode()).isEqualTo(202);
		this.engine.openGate(8);
		HttpResponse<String> answer = Caller.get(this.third, location, TestEntry.KEY);
		assertThat(Caller.json(answer.body()).at("/choices/0/message/content").asText()).isEqualTo(Caller.words(0, 8));
		assertThat(Caller.json(answer.body()).path("model").asText()).isEqualTo("rounds");
		assertThat(Caller.get(this.third, location, TestEntry.RIVAL_KEY).statusCode()).isEqualTo(404);
	}

	/**
	 * The first peer is leaving too and refuses the hand-off. The request goes to the
	 * next peer, under a later epoch.
	 */
	@Test
	void shouldTryNextPeerWhenPeerRefusesHandoff() {
		this.leaving.know(this.third);
		this.staying.refuseHandoffs("leaving");
		this.engine.openGate(4);
		try (Events events = Caller.stream(this.leaving, Caller.chat(6, true)).read(4)) {
			this.leaving.stopGracefully();
			this.engine.openGate(6);
			try (Events rest = Caller.resume(this.third, events.id(), 4).readAll()) {
				assertThat(rest.text()).isEqualTo(Caller.words(4, 6));
			}
		}
	}

	/**
	 * No peer takes the request over. The entry must not drop it: it takes the stream up
	 * again, stays until the answer is whole, and the caller reads it on its old
	 * connection.
	 */
	@Test
	void shouldKeepRequestWhenNoPeerTakesIt() {
		this.staying.refuseHandoffs("leaving");
		this.engine.openGate(4);
		try (Events events = Caller.stream(this.leaving, Caller.chat(6, true)).read(4)) {
			CompletableFuture<Void> stop = CompletableFuture.runAsync(this.leaving::stopGracefully);
			Conditions.await("a round of hand-offs", () -> this.engine.attached() > 0);
			this.engine.openGate(6);
			events.readAll();
			stop.join();
			assertThat(events.text()).isEqualTo(Caller.words(0, 6));
			assertThat(events.done()).isTrue();
		}
	}

	/**
	 * A caller's connection breaks, its answer fails, and then its entry stops. The
	 * caller comes back to another entry and must read why; it read 404, which says that
	 * the request was never accepted.
	 */
	@Test
	void shouldTellProblemAtOtherEntryWhenAnswerFailedBeforeStop() {
		this.engine.openGate(4);
		try (Events events = Caller.stream(this.leaving, Caller.chat(12, true)).read(4)) {
			events.close();
			this.leaving.streams().failOpen();
			this.leaving.stopGracefully();
			HttpResponse<String> rest = Caller.get(this.third, "/v1/results/" + events.id(), TestEntry.KEY);
			assertThat(rest.statusCode()).isEqualTo(ProblemCode.INTERRUPTED.status());
			assertThat(Caller.json(rest.body()).path("code").asText()).isEqualTo("interrupted");
			assertThat(Caller.json(rest.body()).path("verdict").asText()).isEqualTo("may-have-run");
		}
	}

	@Test
	void shouldRefuseNewRequestsAsNotRunAfterDrainBegan() {
		this.leaving.stopGracefully();
		HttpResponse<String> response = Caller.post(this.leaving, "/v1/chat/completions", Caller.chat(2, false));
		assertThat(response.statusCode()).isEqualTo(503);
		assertThat(response.headers().firstValue("Retry-After")).contains("1");
		assertThat(Caller.json(response.body()).path("verdict").asText()).isEqualTo("not-run");
		assertThat(Caller.get(this.leaving, "/readyz", "").statusCode()).isEqualTo(503);
	}

}
