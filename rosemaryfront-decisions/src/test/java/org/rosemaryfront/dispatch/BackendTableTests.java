package org.rosemaryfront.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class BackendTableTests {

	private static final long START = 5_000;

	private final BackendTable table = new BackendTable();

	// A heartbeat that was written late, after the registration that marked the server
	// as leaving, made the server eligible for calls again.
	@ParameterizedTest
	@CsvSource({ "5000, 6", "5000, 7", "4000, 9" })
	void shouldIgnoreOlderRegistrationWhenServerIsLeaving(long startedMillis, long sequence) {
		this.table.recordRegistration(server(START, 7, true), 0);
		assertThat(this.table.recordRegistration(server(startedMillis, sequence, false), 1)).isFalse();
		assertThat(this.table.eligibleServers()).isEmpty();
	}

	// The same fault if the registration ended in between.
	@Test
	void shouldIgnoreOlderRegistrationWhenServerWasRemoved() {
		this.table.recordRegistration(server(START, 7, true), 0);
		this.table.recordLapse("s1", 1, OptionalLong.empty());
		this.table.removeExpired(1);
		assertThat(this.table.recordRegistration(server(START, 6, false), 2)).isFalse();
		assertThat(this.table.servers()).isEmpty();
	}

	@ParameterizedTest
	@CsvSource({ "5000, 8", "6000, 1" })
	void shouldAddServerWhenRegistrationIsNewer(long startedMillis, long sequence) {
		this.table.recordRegistration(server(START, 7, true), 0);
		this.table.recordLapse("s1", 1, OptionalLong.empty());
		this.table.removeExpired(1);
		assertThat(this.table.recordRegistration(server(startedMillis, sequence, false), 2)).isTrue();
		assertThat(this.table.eligibleServers()).hasSize(1);
	}

	@Test
	void shouldReportNoChangeWhenOnlySequenceIsNewer() {
		this.table.recordRegistration(server(START, 7, false), 0);
		assertThat(this.table.recordRegistration(server(START, 8, false), 1)).isFalse();
		assertThat(this.table.recordRegistration(server(START, 7, true), 1)).isFalse();
	}

	// Guards against a load that drifts from the reports that it sums up.
	@Test
	void shouldSumLatestUseOfEachProcessWhenReportsReplaceAndDropUses() {
		this.table.recordRegistration(server(START, 7, false), 0);
		BackendServer.Incarnation server = server(START, 7, false).incarnation();
		Map<String, Integer> reported = new HashMap<>();
		Random random = new Random(1);
		for (int i = 0; i < 500; i++) {
			String process = "p" + random.nextInt(20);
			int calls = random.nextInt(4);
			this.table.recordPeerUse(process,
					(calls == 0) ? Map.of() : Map.of(server, new BackendUse(calls, 100L * calls)));
			reported.put(process, calls);
			int sum = reported.values().stream().mapToInt(Integer::intValue).sum();
			BackendRow row = this.table.eligibleRows("llm", List.of()).getFirst();
			assertThat(row.load()).isEqualTo(sum);
			assertThat(row.uncachedTokens()).isEqualTo(100L * sum);
		}
	}

	// Guards against a heartbeat, also one behind a lapse, that takes back what the
	// server
	// said itself. Another run of it is another server.
	@ParameterizedTest
	@CsvSource({ "false, 5000, 0", "true, 5000, 0", "false, 6000, 1" })
	void shouldKeepThatServerSaidItLeavesForItsRun(boolean lapsed, long startedMillis, int eligible) {
		this.table.recordRegistration(server(START, 7, false), 0);
		this.table.recordLeaving(new BackendServer.Incarnation("s1", START));
		assertThat(this.table.eligibleServers()).isEmpty();
		if (lapsed) {
			this.table.recordLapse("s1", 1, OptionalLong.empty());
			this.table.removeExpired(1);
		}
		this.table.recordRegistration(server(startedMillis, 8, false), 2);
		assertThat(this.table.eligibleServers()).hasSize(eligible);
	}

	private static BackendServer server(long startedMillis, long sequence, boolean leaving) {
		return new BackendServer("s1", startedMillis, "llm", "v1", "127.0.0.1:1", "a", 4, leaving, false, sequence);
	}

}
