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
		this.leaving.record(server(first), 0);
		this.leaving.record(server(second), millis(50));
		assertThat(present(server(second), 60))
			.containsExactly(new LeavingServer(server(second), 0, millis(goneMillis), 7));
		assertThat(present(server(second), goneMillis)).isEmpty();
	}

	@Test
	void shouldNameOnlyServersThatLeave() {
		BackendServer staying = new BackendServer("s2", 1, "llm", "v1", "127.0.0.1:1", "a", 4, false, true, 0);
		this.leaving.record(staying, 0);
		assertThat(present(staying, 0)).isEmpty();
	}

	// Guards against a server that starts again under its id and is taken to leave.
	@Test
	void shouldForgetServerWhenItIsNotKnownAnyMore() {
		this.leaving.record(server(2_000), 0);
		this.leaving.retain(Set.of(new BackendServer.Incarnation("s1", 2)));
		assertThat(present(server(2_000), 0)).isEmpty();
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
