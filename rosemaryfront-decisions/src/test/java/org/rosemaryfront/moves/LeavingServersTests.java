package org.rosemaryfront.moves;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.routes.ServiceSpec.MoveSpec;

import static org.assertj.core.api.Assertions.assertThat;

class LeavingServersTests {

	private static final long DRAIN_MILLIS = 3_000;

	private final LeavingServers leaving = LeavingServers.of(DRAIN_MILLIS);

	// Guards against a time left that is put off by a registration that came late.
	@ParameterizedTest
	@CsvSource({ "2000, 1900, 1950", "2000, 2000, 2000", "1000, 1900, 1000", "-1, 1900, 1950", "-1, -1, 3000" })
	void shouldTakeEarliestEndWhenServerStatesItAgain(long first, long second, long goneMillis) {
		this.leaving.record(server(first), 0, 0);
		this.leaving.record(server(second), millis(50), millis(50));
		assertThat(present(server(second), 60))
			.containsExactly(new LeavingServer(server(second), 0, millis(goneMillis), 7));
		assertThat(present(server(second), goneMillis)).isEmpty();
	}

	@Test
	void shouldNameOnlyServersThatLeave() {
		BackendServer staying = new BackendServer("s2", 1, "llm", "v1", "127.0.0.1:1", "a", 4, false, true, 0);
		this.leaving.record(staying, 0, 0);
		assertThat(present(staying, 0)).isEmpty();
	}

	// Guards against a server that starts again under its id and is taken to leave.
	@Test
	void shouldForgetServerWhenItIsNotKnownAnyMore() {
		this.leaving.record(server(2_000), 0, 0);
		this.leaving.retain(Set.of(new BackendServer.Incarnation("s1", 2)), 0);
		assertThat(present(server(2_000), 0)).isEmpty();
	}

	// Guards against a run that is sent to a server later than it may be, counted from
	// when this gateway noticed the leaving, or because the server is not known any more.
	@ParameterizedTest
	@CsvSource({ "0, false, 2999, true", "0, false, 3000, false", "-400, false, 2599, true", "-400, false, 2600, false",
			"0, true, 2999, true", "0, true, 3000, false", "-400, true, 2600, false" })
	void shouldAcceptRunsOnlyWhileServerMayBeSentRequests(long sinceMillis, boolean gone, long nowMillis,
			boolean accepted) {
		BackendServer server = server(9_000);
		this.leaving.record(server, millis(sinceMillis), 0);
		this.leaving.record(server, millis(50), millis(50));
		this.leaving.retain(gone ? Set.of() : Set.of(server.incarnation()), millis(60));
		this.leaving.retain(gone ? Set.of() : Set.of(server.incarnation()), millis(nowMillis - 1));
		assertThat(this.leaving.acceptsRuns(server.incarnation(), millis(nowMillis))).isEqualTo(accepted);
	}

	// Guards against a run that is sent to a server that is gone without having left.
	@Test
	void shouldAcceptRunsOnlyOfKnownServersWhenTheyStay() {
		BackendServer.Incarnation staying = new BackendServer.Incarnation("s2", 1);
		this.leaving.retain(Set.of(staying), 0);
		assertThat(this.leaving.acceptsRuns(staying, 0)).isTrue();
		this.leaving.retain(Set.of(), 1);
		assertThat(this.leaving.acceptsRuns(staying, 1)).isFalse();
	}

	// Guards against a pace that is learned from the wait for the first event.
	@ParameterizedTest
	@CsvSource({ "1, 0, 0", "2, 60, 10", "3, 120, 10" })
	void shouldKnowPaceFromSecondEventOn(int events, long tookMillis, double millisPerToken) {
		MoveSpec engine = new MoveSpec(5_000, 6);
		RunPace pace = RunPace.unknown().plus(0, 0);
		for (int i = 0; i < events; i++) {
			pace = pace.plus(1, millis(900) + millis(tookMillis) * i / Math.max(1, events - 1));
		}
		assertThat(pace.tokens(engine)).isEqualTo(6L * events);
		assertThat(pace.millisPerToken(engine)).isEqualTo(millisPerToken);
	}

	private List<LeavingServer> present(BackendServer server, long nowMillis) {
		return this.leaving.present(List.of(server), (_) -> 7, millis(nowMillis));
	}

	private static long millis(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	private static BackendServer server(long leavesInMillis) {
		return new BackendServer("s1", 1, "llm", "v1", "127.0.0.1:1", "a", 4, true, true, 0,
				(leavesInMillis >= 0) ? OptionalLong.of(leavesInMillis) : OptionalLong.empty());
	}

}
