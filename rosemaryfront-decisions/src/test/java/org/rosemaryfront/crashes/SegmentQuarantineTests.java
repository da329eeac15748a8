package org.rosemaryfront.crashes;

import java.util.Set;

import org.junit.jupiter.api.Test;

import org.rosemaryfront.crashes.Evidence.State;
import org.rosemaryfront.dispatch.BackendServer.Incarnation;

import static org.assertj.core.api.Assertions.assertThat;

class SegmentQuarantineTests {

	private static final PromptSegment SESSION = PromptSegment.of("llm", "session");

	private static final PromptSegment HARMFUL = PromptSegment.of("llm", "harmful");

	private final CrashTable table = new CrashTable();

	// Guards against a harmless segment that is held back alone, because other calls with
	// it were at the servers that crashed under the harmful one.
	@Test
	void shouldHoldBackOnlyWhatOccursTogetherWhenOtherCallsShareSegment() {
		for (int i = 0; i < 3; i++) {
			crash(SESSION, i, 100 + i);
			crash(SESSION, i, i);
			crash(HARMFUL, i, i);
		}
		assertThat(this.table.segments().hold(Set.of(SESSION, HARMFUL))).isPresent();
		assertThat(this.table.segments().hold(Set.of(SESSION))).isEmpty();
	}

	@Test
	void shouldHoldBackHarmfulSegmentAloneWhenOtherOneIsCleared() {
		for (int i = 0; i < 3; i++) {
			crash(SESSION, i, i);
			crash(HARMFUL, i, i);
		}
		this.table.clear(new SegmentSuspect(SESSION, "v1"), 0);
		assertThat(this.table.segments().hold(Set.of(HARMFUL))).isPresent();
		assertThat(this.table.segments().hold(Set.of(SESSION))).isEmpty();
	}

	// One request that is sent again and again is quarantined by itself.
	@Test
	void shouldHoldBackNoSegmentWhenOneRequestCrashesServers() {
		for (int i = 0; i < 5; i++) {
			crash(HARMFUL, i, 0);
		}
		assertThat(this.table.segments().holds()).isEmpty();
	}

	@Test
	void shouldHoldBackNoSegmentWhenServersCrashAtTheSameTime() {
		for (int i = 0; i < 5; i++) {
			Evidence evidence = evidence(HARMFUL, i, i, 0);
			this.table.receive(evidence, 0);
		}
		assertThat(this.table.segments().holds()).isEmpty();
	}

	// A crash that a segment explains counts against no request.
	@Test
	void shouldAllowRequestWhenSegmentExplainsItsCrashes() {
		RequestDigest harmless = new RequestDigest(9, 9);
		for (int i = 0; i < 3; i++) {
			this.table.receive(Evidence.against(harmless, server(i), State.CONFIRMED, i * 1_000L), 0);
		}
		assertThat(this.table.decide(harmless)).isInstanceOf(QuarantineDecision.Quarantined.class);
		for (int i = 0; i < 3; i++) {
			crash(HARMFUL, i, i);
		}
		assertThat(this.table.decide(harmless)).isInstanceOf(QuarantineDecision.Allowed.class);
		assertThat(this.table.isQuarantined(harmless)).isFalse();
	}

	private void crash(PromptSegment segment, int server, int request) {
		this.table.receive(evidence(segment, server, request, server * 1_000L), 0);
	}

	private static Evidence evidence(PromptSegment segment, int server, int request, long atMillis) {
		return new Evidence(new Crash(new SegmentSuspect(segment, "v1"), server(server)), State.CONFIRMED, atMillis,
				new RequestDigest(7, request));
	}

	private static Incarnation server(int number) {
		return new Incarnation("s" + number, 0);
	}

}
