package org.rosemaryfront.services;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

import com.fasterxml.jackson.databind.JsonNode;
import reactor.core.publisher.Mono;

import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.platform.PlatformException;
import org.rosemaryfront.platform.TableClient;

/** An in-memory table service whose commits can be made to fail in each way. */
final class FaultyTables implements TableClient {

	private final TreeMap<String, Row> rows = new TreeMap<>();

	private final AtomicInteger commits = new AtomicInteger();

	private volatile Predicate<Transaction> refuses = (_) -> false;

	private volatile Predicate<Transaction> losesAnswer = (_) -> false;

	private volatile Predicate<Transaction> losesRequest = (_) -> false;

	private volatile boolean readsFail;

	// -- faults

	void failReads(boolean fail) {
		this.readsFail = fail;
	}

	void loseAnswerOf(Predicate<Transaction> transactions) {
		this.losesAnswer = transactions;
	}

	void loseRequestOf(Predicate<Transaction> transactions) {
		this.losesRequest = transactions;
	}

	void refuse(Predicate<Transaction> transactions) {
		this.refuses = transactions;
	}

	// -- queries

	int commits() {
		return this.commits.get();
	}

	synchronized Optional<JsonNode> value(String table, String key) {
		return Optional.ofNullable(this.rows.get(table + "/" + key)).map(Row::value);
	}

	synchronized List<JsonNode> values() {
		return this.rows.values().stream().map(Row::value).toList();
	}

	// -- table service

	@Override
	public Mono<Outcome> commit(Transaction transaction) {
		return Mono.defer(() -> {
			this.commits.incrementAndGet();
			if (this.refuses.test(transaction)) {
				return Mono.error(PlatformException.of(Verdict.notRun(), "refused", null));
			}
			if (this.losesRequest.test(transaction)) {
				return Mono.error(PlatformException.of(Verdict.mayHaveRun(), "request lost", null));
			}
			Outcome outcome = apply(transaction);
			return this.losesAnswer.test(transaction)
					? Mono.error(PlatformException.of(Verdict.mayHaveRun(), "answer lost", null))
					: Mono.just(outcome).delayElement(Duration.ofMillis(2));
		});
	}

	@Override
	public synchronized Mono<Optional<Row>> read(String table, String key) {
		return this.readsFail ? Mono.error(PlatformException.of(Verdict.notRun(), "down", null))
				: Mono.fromSupplier(() -> found(table, key));
	}

	@Override
	public synchronized Mono<List<Row>> scan(String table, String prefix, String after, int limit) {
		return Mono.just(this.rows.values()
			.stream()
			.filter((row) -> row.table().equals(table) && row.key().startsWith(prefix)
					&& row.key().compareTo(after) > 0)
			.limit(limit)
			.toList());
	}

	private synchronized Optional<Row> found(String table, String key) {
		return Optional.ofNullable(this.rows.get(table + "/" + key));
	}

	private synchronized Outcome apply(Transaction transaction) {
		List<Condition> failed = new ArrayList<>();
		for (Condition condition : transaction.conditions()) {
			long version = found(condition.table(), condition.key()).map(Row::version).orElse(0L);
			if (version != condition.version()) {
				failed.add(new Condition(condition.table(), condition.key(), version));
			}
		}
		if (!failed.isEmpty()) {
			return new Outcome.Conflict(failed);
		}
		List<Long> versions = new ArrayList<>();
		for (Write write : transaction.writes()) {
			long version = found(write.table(), write.key()).map(Row::version).orElse(0L) + 1;
			this.rows.put(write.table() + "/" + write.key(),
					new Row(write.table(), write.key(), write.value().orElseThrow(), version));
			versions.add(version);
		}
		return new Outcome.Committed(versions);
	}

}
