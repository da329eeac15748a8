package org.rosemaryfront.gateway;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.ports.RowStore;
import org.rosemaryfront.ports.StoreException;
import org.rosemaryfront.ports.StoreException.Reason;

/** An in-memory table service that can be unavailable and can lose its history. */
final class MemoryRowStore implements RowStore {

	private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();

	private final List<Change> history = new ArrayList<>();

	private long version;

	private long historyStart;

	private long generation;

	private boolean unavailable;

	/** Commits rejected during an outage, by table. */
	private final Map<String, Integer> rejectedCommits = new HashMap<>();

	private boolean closed;

	/** Waiting requests for changes, by table. */
	private final Map<String, Integer> waitingRequests = new HashMap<>();

	// -- methods for tests

	synchronized void put(String table, String key, String value) {
		write(table, key, Optional.of(value.getBytes(StandardCharsets.UTF_8)));
		notifyAll();
	}

	synchronized void remove(String table, String key) {
		write(table, key, Optional.empty());
		notifyAll();
	}

	synchronized void setUnavailable(boolean now) {
		this.unavailable = now;
		notifyAll();
	}

	/**
	 * Returns the number of commits rejected during an outage.
	 * @param table the table
	 * @return the count
	 */
	synchronized int rejectedCommits(String table) {
		return this.rejectedCommits.getOrDefault(table, 0);
	}

	/**
	 * Returns the number of requests that wait for changes.
	 * @param table the table
	 * @return the count
	 */
	synchronized int waitingRequests(String table) {
		return this.waitingRequests.getOrDefault(table, 0);
	}

	/** Completes all waiting requests, so that no thread outlives its test. */
	synchronized void close() {
		this.closed = true;
		notifyAll();
	}

	synchronized void forgetHistory() {
		this.history.clear();
		this.historyStart = this.version;
	}

	/**
	 * Returns a copy of the rows and their history.
	 * @return the copy
	 */
	synchronized Copy copy() {
		Map<String, TreeMap<String, Row>> rows = new HashMap<>();
		this.tables.forEach((table, content) -> rows.put(table, new TreeMap<>(content)));
		return new Copy(rows, List.copyOf(this.history), this.version);
	}

	/**
	 * Replaces all rows by those of a copy, with the next generation. The waiting
	 * requests fail.
	 * @param copy the copy
	 */
	synchronized void restore(Copy copy) {
		this.tables.clear();
		copy.rows.forEach((table, content) -> this.tables.put(table, new TreeMap<>(content)));
		this.history.clear();
		this.history.addAll(copy.history);
		this.version = copy.version;
		this.generation++;
		notifyAll();
	}

	synchronized long generation() {
		return this.generation;
	}

	synchronized Map<String, Row> rows(String table) {
		return Map.copyOf(this.tables.getOrDefault(table, new TreeMap<>()));
	}

	// -- methods for gateways

	@Override
	public Mono<Outcome> commit(Commit commit) {
		return Mono.fromCallable(() -> applyCommit(commit)).subscribeOn(Schedulers.boundedElastic());
	}

	@Override
	public Mono<Page> read(Range range) {
		return Mono.fromCallable(() -> readPage(range)).subscribeOn(Schedulers.boundedElastic());
	}

	@Override
	public Mono<Page> changes(String table, long since, Duration wait) {
		return Mono.fromCallable(() -> awaitChanges(table, since, wait)).subscribeOn(Schedulers.boundedElastic());
	}

	private synchronized Outcome applyCommit(Commit commit) {
		if (this.unavailable) {
			this.rejectedCommits.merge(commit.table(), 1, Integer::sum);
		}
		checkAvailable();
		TreeMap<String, Row> rows = this.tables.computeIfAbsent(commit.table(), (_) -> new TreeMap<>());
		for (Condition condition : commit.conditions()) {
			long found = Optional.ofNullable(rows.get(condition.key())).map(Row::version).orElse(0L);
			if (found != condition.version()) {
				Set<String> named = commit.conditions().stream().map(Condition::key).collect(Collectors.toSet());
				named.retainAll(rows.keySet());
				return new Outcome.Conflict(named, this.generation);
			}
		}
		commit.writes().forEach((write) -> write(commit.table(), write.key(), Optional.of(write.value())));
		commit.deletes().forEach((key) -> write(commit.table(), key, Optional.empty()));
		notifyAll();
		return new Outcome.Committed(this.version, this.generation);
	}

	private synchronized Page readPage(Range range) {
		checkAvailable();
		List<Row> rows = this.tables.getOrDefault(range.table(), new TreeMap<>())
			.values()
			.stream()
			.filter((row) -> row.key().compareTo(range.from()) >= 0)
			.filter((row) -> range.to().isEmpty() || row.key().compareTo(range.to()) < 0)
			.toList();
		return new Page(rows, false, this.version, this.generation);
	}

	private synchronized Page awaitChanges(String table, long since, Duration wait) throws InterruptedException {
		long until = System.nanoTime() + wait.toNanos();
		long begun = this.generation;
		while (true) {
			checkAvailable();
			if (this.generation != begun) {
				throw StoreException.of(Reason.UNREACHABLE, Verdict.notRun(), "connection closed");
			}
			if (since < this.historyStart || since > this.version) {
				throw StoreException.of(Reason.HISTORY_LOST, Verdict.notRun(), "history lost");
			}
			List<Row> rows = this.history.stream()
				.filter((change) -> change.table.equals(table) && change.row.version() > since)
				.map((change) -> change.row)
				.toList();
			long left = until - System.nanoTime();
			if (!rows.isEmpty() || left <= 0 || this.closed) {
				return new Page(rows, false, this.version, this.generation);
			}
			this.waitingRequests.merge(table, 1, Integer::sum);
			wait(Math.max(1, left / 1_000_000));
			this.waitingRequests.merge(table, -1, Integer::sum);
		}
	}

	private void checkAvailable() {
		if (this.unavailable) {
			throw StoreException.of(Reason.UNAVAILABLE, Verdict.notRun(), "away");
		}
	}

	private void write(String table, String key, Optional<byte[]> value) {
		this.version++;
		Row row = new Row(key, value, this.version);
		TreeMap<String, Row> rows = this.tables.computeIfAbsent(table, (_) -> new TreeMap<>());
		if (value.isPresent()) {
			rows.put(key, row);
		}
		else {
			rows.remove(key);
		}
		this.history.add(new Change(table, row));
	}

	record Change(String table, Row row) {
	}

	/**
	 * The rows at one moment.
	 *
	 * @param rows the rows by table and key
	 * @param history the changes before it
	 * @param version the version of the store
	 */
	record Copy(Map<String, TreeMap<String, Row>> rows, List<Change> history, long version) {
	}

}
