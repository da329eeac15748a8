package org.rosemaryfront.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.ports.RowStore;
import org.rosemaryfront.ports.StoreException;
import org.rosemaryfront.ports.StoreException.Reason;

/**
 * A table service in virtual time. It loses responses, executes commits late, is
 * unavailable, and comes back from a copy.
 */
final class VirtualRowStore {

	private static final long RESPONSE_TIMEOUT_MILLIS = 1_200;

	private static final int MAX_DELAY_MILLIS = 8;

	private static final int MIN_LATE_MILLIS = 1_000;

	private static final int MAX_LATE_MILLIS = 6_000;

	private final VirtualTime time;

	private final Random random;

	private final TreeMap<String, Row> rows = new TreeMap<>();

	/** What each write replaced, oldest first. */
	private final List<Undo> undoLog = new ArrayList<>();

	private long version;

	private long generation;

	private boolean available = true;

	private double lostShare;

	private double lateShare;

	private int calls;

	VirtualRowStore(VirtualTime time, Random random) {
		this.time = time;
		this.random = random;
	}

	/**
	 * Sets the shares of commits with faults.
	 * @param lost the share whose response is lost
	 * @param late the share that is executed seconds later, without a response
	 */
	void faults(double lost, double late) {
		this.lostShare = lost;
		this.lateShare = late;
	}

	void setAvailable(boolean now) {
		this.available = now;
	}

	/**
	 * Comes back from a copy.
	 * @param ageMillis the age of the copy
	 */
	void restore(long ageMillis) {
		long copied = this.time.nowMillis() - ageMillis;
		while (!this.undoLog.isEmpty() && this.undoLog.getLast().atMillis > copied) {
			Undo undo = this.undoLog.removeLast();
			this.version = undo.version;
			undo.before.ifPresentOrElse((row) -> this.rows.put(undo.key, row), () -> this.rows.remove(undo.key));
		}
		this.generation++;
		this.available = true;
	}

	int calls() {
		return this.calls;
	}

	/**
	 * Returns the access of one gateway.
	 * @param reachable whether the gateway reaches the store
	 * @return the access
	 */
	RowStore access(Supplier<Boolean> reachable) {
		return new Access(reachable);
	}

	private Outcome commit(RowStore.Commit commit) {
		for (RowStore.Condition condition : commit.conditions()) {
			long found = Optional.ofNullable(this.rows.get(commit.table() + '/' + condition.key()))
				.map(Row::version)
				.orElse(0L);
			if (found != condition.version()) {
				return new Outcome(new RowStore.Outcome.Conflict(present(commit), this.generation));
			}
		}
		long before = this.version;
		this.version++;
		commit.writes().forEach((write) -> put(commit.table() + '/' + write.key(), Optional.of(write.value()), before));
		commit.deletes().forEach((key) -> put(commit.table() + '/' + key, Optional.empty(), before));
		return new Outcome(new RowStore.Outcome.Committed(this.version, this.generation));
	}

	private Set<String> present(RowStore.Commit commit) {
		return commit.conditions()
			.stream()
			.map(RowStore.Condition::key)
			.filter((key) -> this.rows.containsKey(commit.table() + '/' + key))
			.collect(Collectors.toSet());
	}

	private void put(String key, Optional<byte[]> value, long versionBefore) {
		this.undoLog.add(new Undo(this.time.nowMillis(), key, Optional.ofNullable(this.rows.get(key)), versionBefore));
		value.ifPresentOrElse((bytes) -> this.rows.put(key, new Row(bytes, this.version)), () -> this.rows.remove(key));
	}

	private RowStore.Page read(RowStore.Range range) {
		String prefix = range.table() + '/';
		List<RowStore.Row> found = this.rows.subMap(prefix + range.from(), prefix + range.to())
			.entrySet()
			.stream()
			.map((entry) -> new RowStore.Row(entry.getKey().substring(prefix.length()),
					Optional.of(entry.getValue().value), entry.getValue().version))
			.toList();
		return new RowStore.Page(found, false, this.version, this.generation);
	}

	private record Row(byte[] value, long version) {
	}

	private record Undo(long atMillis, String key, Optional<Row> before, long version) {
	}

	private record Outcome(RowStore.Outcome outcome) {
	}

	/** The access of one gateway. */
	private final class Access implements RowStore {

		private final Supplier<Boolean> reachable;

		private Access(Supplier<Boolean> reachable) {
			this.reachable = reachable;
		}

		@Override
		public Mono<RowStore.Outcome> commit(Commit commit) {
			double draw = VirtualRowStore.this.random.nextDouble();
			boolean late = draw < VirtualRowStore.this.lateShare;
			boolean lost = !late && draw < VirtualRowStore.this.lateShare + VirtualRowStore.this.lostShare;
			return call(late, lost, () -> VirtualRowStore.this.commit(commit).outcome);
		}

		@Override
		public Mono<Page> read(Range range) {
			return call(false, VirtualRowStore.this.random.nextDouble() < VirtualRowStore.this.lostShare,
					() -> VirtualRowStore.this.read(range));
		}

		@Override
		public Mono<Page> changes(String table, long since, Duration wait) {
			return Mono.never();
		}

		private <T> Mono<T> call(boolean late, boolean lost, Supplier<T> execution) {
			return Mono.create((sink) -> {
				VirtualRowStore.this.calls++;
				VirtualTime virtual = VirtualRowStore.this.time;
				virtual.after(RESPONSE_TIMEOUT_MILLIS,
						() -> sink.error(StoreException.of(Reason.UNREACHABLE, Verdict.mayHaveRun(), "no response")));
				if (this.reachable.get()) {
					virtual.after(delayMillis(late), () -> execute(sink, late || lost, execution));
				}
			});
		}

		private long delayMillis(boolean late) {
			return late ? MIN_LATE_MILLIS + VirtualRowStore.this.random.nextInt(MAX_LATE_MILLIS - MIN_LATE_MILLIS)
					: 1 + VirtualRowStore.this.random.nextInt(MAX_DELAY_MILLIS);
		}

		private <T> void execute(MonoSink<T> sink, boolean unanswered, Supplier<T> execution) {
			if (!VirtualRowStore.this.available) {
				sink.error(StoreException.of(Reason.UNAVAILABLE, Verdict.notRun(), "away"));
				return;
			}
			T result = execution.get();
			if (!unanswered) {
				VirtualRowStore.this.time.after(1 + VirtualRowStore.this.random.nextInt(MAX_DELAY_MILLIS), () -> {
					if (this.reachable.get()) {
						sink.success(result);
					}
				});
			}
		}

	}

}
