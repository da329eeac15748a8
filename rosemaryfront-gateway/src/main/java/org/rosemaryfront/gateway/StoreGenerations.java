package org.rosemaryfront.gateway;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.LongConsumer;

import reactor.core.publisher.Mono;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.ports.RowStore;
import org.rosemaryfront.ports.StoreException;
import org.rosemaryfront.ports.StoreException.Reason;
import org.rosemaryfront.tables.StoreVersion;

/**
 * The store across its generations. All versions that it returns contain their
 * generation, see {@link StoreVersion}. A response of another generation than the one in
 * which the call was sent is not used: what it confirms may be lost, and the versions in
 * the call may name other states. Thread-safe.
 */
final class StoreGenerations implements RowStore {

	private static final long UNKNOWN = -1;

	private final RowStore store;

	private final List<LongConsumer> listeners = new CopyOnWriteArrayList<>();

	/** The newest generation known. */
	private long newest = UNKNOWN;

	StoreGenerations(RowStore store) {
		this.store = store;
	}

	/**
	 * Returns the newest generation of the store that this process knows.
	 * @return the generation, -1 before the first response
	 */
	synchronized long newest() {
		return this.newest;
	}

	/**
	 * Adds a listener, which is called on any thread.
	 * @param listener receives each newer generation than the first one known
	 */
	void onRestored(LongConsumer listener) {
		this.listeners.add(listener);
	}

	/**
	 * Records a generation of which this process learned.
	 * @param generation the generation; ignored unless it is newer
	 */
	void observe(long generation) {
		long before = advance(generation);
		if (before != UNKNOWN && before < generation) {
			EventLog.warn(GatewayEvents.STORE_RESTORED, "generation", generation, "before", before);
			this.listeners.forEach((listener) -> listener.accept(generation));
		}
	}

	private synchronized long advance(long generation) {
		long before = this.newest;
		this.newest = Math.max(before, generation);
		return before;
	}

	/**
	 * Returns the key of a row of which each generation has its own, so that a delayed
	 * write of an earlier one leaves it unchanged.
	 * @param key the key in generation 0
	 * @param generation the generation
	 * @return the key
	 */
	static String keyIn(String key, long generation) {
		return (generation == 0) ? key : key + '/' + generation;
	}

	// -- calls

	@Override
	public Mono<Outcome> commit(Commit commit) {
		return Mono.defer(() -> commitIn(newest(), commit));
	}

	/**
	 * Commits the writes if the store is in a generation and all conditions hold.
	 * @param generation the generation; the commit fails in any other one
	 * @param commit the conditions and writes
	 * @return whether the commit took effect or was in conflict; fails with a
	 * {@link StoreException}
	 */
	Mono<Outcome> commitIn(long generation, Commit commit) {
		return Mono.defer(() -> {
			boolean outdated = generation != newest()
					|| commit.conditions().stream().anyMatch((condition) -> isOutdated(condition, generation));
			return outdated ? Mono.error(restored(Verdict.notRun(), generation))
					: this.store.commit(withNumbers(commit)).map((outcome) -> {
						requireCurrent(generation, outcome.generation());
						return withGeneration(outcome);
					});
		});
	}

	@Override
	public Mono<Page> read(Range range) {
		return read(range, Transfer.UNOBSERVED);
	}

	@Override
	public Mono<Page> read(Range range, Transfer transfer) {
		return Mono.defer(() -> {
			long sent = newest();
			return this.store.read(range, transfer).map((page) -> {
				requireCurrent(sent, page.generation());
				return withGeneration(page);
			});
		});
	}

	@Override
	public Mono<Page> changes(String table, long since, Duration wait) {
		return changes(table, since, wait, Transfer.UNOBSERVED);
	}

	@Override
	public Mono<Page> changes(String table, long since, Duration wait, Transfer transfer) {
		return Mono.defer(() -> {
			long sent = newest();
			return (StoreVersion.generation(since) != sent) ? Mono.error(restored(Verdict.notRun(), sent))
					: this.store.changes(table, StoreVersion.number(since), wait, transfer).map((page) -> {
						requireCurrent(sent, page.generation());
						return withGeneration(page);
					});
		});
	}

	// A condition that a row does not exist names no version.
	private static boolean isOutdated(Condition condition, long generation) {
		return condition.version() != 0 && StoreVersion.generation(condition.version()) != generation;
	}

	private void requireCurrent(long sent, long answered) {
		observe(answered);
		boolean current = answered == newest() && (sent == UNKNOWN || sent == answered);
		if (!current) {
			throw restored(Verdict.mayHaveRun(), answered);
		}
	}

	private StoreException restored(Verdict verdict, long generation) {
		return StoreException.of(Reason.RESTORED, verdict,
				"the store was restored: generation " + generation + ", newest " + newest());
	}

	// -- versions

	private static Commit withNumbers(Commit commit) {
		List<Condition> conditions = commit.conditions()
			.stream()
			.map((condition) -> new Condition(condition.key(), StoreVersion.number(condition.version())))
			.toList();
		return new Commit(commit.table(), conditions, commit.writes(), commit.deletes());
	}

	private static Outcome withGeneration(Outcome outcome) {
		return switch (outcome) {
			case Outcome.Committed done ->
				new Outcome.Committed(StoreVersion.of(done.generation(), done.version()), done.generation());
			case Outcome.Conflict conflict -> conflict;
		};
	}

	private static Page withGeneration(Page page) {
		long generation = page.generation();
		List<Row> rows = page.rows()
			.stream()
			.map((row) -> new Row(row.key(), row.value(), StoreVersion.of(generation, row.version())))
			.toList();
		return new Page(rows, page.hasMore(), StoreVersion.of(generation, page.version()), generation);
	}

}
