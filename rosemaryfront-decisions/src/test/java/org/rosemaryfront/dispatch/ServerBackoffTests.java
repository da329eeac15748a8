package org.rosemaryfront.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.dispatch.Dispatcher.CallRequirements;
import org.rosemaryfront.dispatch.Dispatcher.Choice;

import static org.assertj.core.api.Assertions.assertThat;

class ServerBackoffTests {

	private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private final BackendTable table = new BackendTable();

	private final Dispatcher dispatcher = new Dispatcher(this.table, "a", () -> 0);

	@BeforeEach
	void register() {
		for (String id : List.of("s1", "s2")) {
			this.table.recordRegistration(new BackendServer(id, 0, "app", "v1", "127.0.0.1:1", "a", 4, false, false, 0),
					0);
		}
	}

	// Guards against a server that rejects all requests and therefore looks least loaded.
	@Test
	void shouldChooseOtherServerUntilBackoffEnds() {
		this.table.notices().recordBackoff(server("s1"), 3 * SECOND);
		for (int i = 0; i < 4; i++) {
			assertThat(chosen(2 * SECOND)).contains("s2");
			this.table.recordCallSent(server("s2"), 0);
		}
		assertThat(this.dispatcher.choose(requirements(), Set.of(), 2 * SECOND)).isInstanceOf(Choice.Full.class);
		assertThat(chosen(3 * SECOND)).contains("s1");
	}

	// Guards against a burst of requests to a server whose backoff is over, but which
	// still
	// rejects all of them.
	@Test
	void shouldSendSingleRequestAfterBackoffUntilServerResponds() {
		this.table.notices().recordBackoff(server("s1"), SECOND);
		assertThat(chosen(SECOND)).contains("s1");
		this.table.recordCallSent(server("s1"), 0);
		this.table.notices().recordSent(server("s1"), SECOND);
		for (int i = 0; i < 4; i++) {
			assertThat(chosen(SECOND)).contains("s2");
			this.table.recordCallSent(server("s2"), 0);
		}
		this.table.notices().recordResponse(server("s1"), SECOND);
		assertThat(chosen(SECOND)).contains("s1");
	}

	// Guards against a server that gets nothing behind its backoff because it still runs
	// calls from before.
	@Test
	void shouldSendRequestAfterBackoffWhenServerStillRunsCalls() {
		this.table.recordCallSent(server("s1"), 0);
		this.table.recordCallSent(server("s2"), 0);
		this.table.recordCallSent(server("s2"), 0);
		this.table.notices().recordBackoff(server("s1"), SECOND);
		assertThat(chosen(SECOND)).contains("s1");
		this.table.notices().recordSent(server("s1"), SECOND);
		assertThat(chosen(SECOND)).contains("s2");
		assertThat(chosen(2 * SECOND)).contains("s1");
	}

	// Guards against a backoff that is forgotten when the registration lapses meanwhile.
	@Test
	void shouldKeepBackoffWhenServerIsGoneForAWhile() {
		ServerNotices notices = this.table.notices();
		notices.recordBackoff(server("s1"), 3 * SECOND);
		notices.retain(Set.of(server("s2")), SECOND);
		assertThat(notices.permits(server("s1"), 2 * SECOND)).isFalse();
		notices.retain(Set.of(server("s2")), 3 * SECOND);
		assertThat(notices.isProbed(server("s1"), 3 * SECOND)).isFalse();
	}

	@Test
	void shouldTellLeastTimeWhenAllServersWantBackoff() {
		this.table.notices().recordBackoff(server("s1"), 3 * SECOND);
		this.table.notices().recordBackoff(server("s2"), 2 * SECOND);
		assertThat(this.dispatcher.choose(requirements(), Set.of(), SECOND)).isEqualTo(new Choice.Backoff(2, 1_001));
	}

	// Guards against a backoff that a response to an earlier request, or a shorter one,
	// ends too early.
	@Test
	void shouldKeepLaterEndWhenServerRespondsMeanwhile() {
		ServerNotices notices = this.table.notices();
		notices.recordBackoff(server("s1"), 3 * SECOND);
		notices.recordBackoff(server("s1"), 2 * SECOND);
		notices.recordResponse(server("s1"), SECOND);
		assertThat(notices.backoffNanos(server("s1"), SECOND)).isEqualTo(2 * SECOND);
		assertThat(notices.permits(server("s1"), 3 * SECOND - 1)).isFalse();
		assertThat(notices.permits(server("s1"), 3 * SECOND)).isTrue();
	}

	private Optional<String> chosen(long nowNanos) {
		return (this.dispatcher.choose(requirements(), Set.of(), nowNanos) instanceof Choice.Chosen chosen)
				? Optional.of(chosen.server().id()) : Optional.empty();
	}

	private static CallRequirements requirements() {
		return new CallRequirements("app", PromptPrefix.none(), Optional.empty(), 0, 500, 0);
	}

	private static Incarnation server(String id) {
		return new Incarnation(id, 0);
	}

}
