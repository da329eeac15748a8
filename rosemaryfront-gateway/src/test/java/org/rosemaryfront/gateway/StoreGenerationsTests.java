package org.rosemaryfront.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

import org.rosemaryfront.ports.RowStore;
import org.rosemaryfront.ports.StoreException;
import org.rosemaryfront.ports.StoreException.Reason;
import org.rosemaryfront.tables.StoreVersion;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

class StoreGenerationsTests {

	private static final RowStore.Range TABLE = new RowStore.Range("t", "", "");

	private final PendingStore pending = new PendingStore();

	private final StoreGenerations store = new StoreGenerations(this.pending);

	private final List<Long> restored = new ArrayList<>();

	@Test
	void shouldReturnVersionsOfNewestGeneration() {
		readAt(3);
		assertThat(this.store.newest()).isEqualTo(3);
		this.store.commit(RowStore.Commit.put("t", "k", new byte[0]))
			.subscribe((outcome) -> assertThat(outcome)
				.isEqualTo(new RowStore.Outcome.Committed(StoreVersion.of(3, 8), 3)));
		this.pending.commits.getLast().tryEmitValue(new RowStore.Outcome.Committed(8, 3));
	}

	// Guards against a commit that passes because its version was assigned again.
	@Test
	void shouldNotSendCommitWhenItsConditionIsOfEarlierGeneration() {
		readAt(3);
		this.store.observe(4);
		RowStore.Commit commit = new RowStore.Commit("t", List.of(new RowStore.Condition("k", StoreVersion.of(3, 7))),
				List.of(), List.of());
		assertThat(failure(this.store.commit(commit))).isEqualTo(Reason.RESTORED);
		assertThat(this.pending.commits).isEmpty();
	}

	@Test
	void shouldNotWaitForChangesSinceEarlierGeneration() {
		readAt(3);
		this.store.observe(4);
		assertThat(failure(this.store.changes("t", StoreVersion.of(3, 7), Duration.ZERO))).isEqualTo(Reason.RESTORED);
	}

	// Guards against trusting the confirmation of a commit that is lost, and against
	// trusting a commit whose conditions were meant for another history.
	@Test
	void shouldFailCommitWhenGenerationChangedSinceItWasSent() {
		readAt(3);
		for (long answered : new long[] { 3, 4 }) {
			List<Throwable> failures = new ArrayList<>();
			this.store.commit(RowStore.Commit.put("t", "k", new byte[0])).subscribe((_) -> {
			}, failures::add);
			this.store.observe(4);
			this.pending.commits.getLast().tryEmitValue(new RowStore.Outcome.Committed(8, answered));
			assertThat(failures).hasSize((answered != 4) ? 1 : 0);
		}
	}

	@Test
	void shouldNotifyListenerOnceWhenGenerationRises() {
		this.store.onRestored(this.restored::add);
		readAt(3);
		assertThat(this.restored).isEmpty();
		this.store.observe(4);
		this.store.observe(4);
		this.store.observe(3);
		assertThat(this.restored).containsExactly(4L);
	}

	private void readAt(long generation) {
		this.store.read(TABLE).subscribe();
		this.pending.reads.getLast().tryEmitValue(new RowStore.Page(List.of(), false, 7, generation));
	}

	private static Reason failure(Mono<?> call) {
		return catchThrowableOfType(StoreException.class, call::block).reason();
	}

	/** A store that answers when the test says so. */
	private static final class PendingStore implements RowStore {

		private final List<Sinks.One<Outcome>> commits = new ArrayList<>();

		private final List<Sinks.One<Page>> reads = new ArrayList<>();

		@Override
		public Mono<Outcome> commit(Commit commit) {
			this.commits.add(Sinks.one());
			return this.commits.getLast().asMono();
		}

		@Override
		public Mono<Page> read(Range range) {
			this.reads.add(Sinks.one());
			return this.reads.getLast().asMono();
		}

		@Override
		public Mono<Page> changes(String table, long since, Duration wait) {
			return Mono.never();
		}

	}

}
