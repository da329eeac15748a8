package org.rosemaryfront.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;

import reactor.core.publisher.Mono;

import org.rosemaryfront.platform.TableClient;

/** An in-memory table service that counts what it is asked and answers after a delay. */
final class CountingTables implements TableClient {

	private final Map<String, Long> versions = new HashMap<>();

	private final Duration delay;

	private final LongAdder transactions = new LongAdder();

	private final LongAdder rows = new LongAdder();

	private final LongAdder reads = new LongAdder();

	private CountingTables(Duration delay) {
		this.delay = delay;
	}

	static CountingTables of(Duration delay) {
		return new CountingTables(delay);
	}

	long reads() {
		return this.reads.sum();
	}

	long rows() {
		return this.rows.sum();
	}

	long transactions() {
		return this.transactions.sum();
	}

	@Override
	public Mono<Outcome> commit(Transaction transaction) {
		this.transactions.increment();
		this.rows.add(transaction.writes().size());
		return Mono.delay(this.delay).map((_) -> apply(transaction));
	}

	@Override
	public Mono<Optional<Row>> read(String table, String key) {
		this.reads.increment();
		return Mono.delay(this.delay).map((_) -> Optional.empty());
	}

	@Override
	public Mono<List<Row>> scan(String table, String prefix, String after, int limit) {
		this.reads.increment();
		return Mono.just(List.of());
	}

	private synchronized Outcome apply(Transaction transaction) {
		List<Condition> failed = transaction.conditions()
			.stream()
			.filter((condition) -> this.versions.getOrDefault(condition.key(), 0L) != condition.version())
			.toList();
		if (!failed.isEmpty()) {
			return new Outcome.Conflict(failed);
		}
		List<Long> written = new ArrayList<>();
		transaction.writes().forEach((write) -> written.add(this.versions.merge(write.key(), 1L, Long::sum)));
		return new Outcome.Committed(written);
	}

}
