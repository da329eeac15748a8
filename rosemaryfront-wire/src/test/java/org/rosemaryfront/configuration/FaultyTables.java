package org.rosemaryfront.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import reactor.core.publisher.Mono;

import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.platform.PlatformException;
import org.rosemaryfront.platform.TableClient;

/**
 * A table service in memory with seeded faults: refusals, answers lost after the write,
 * and writes that take effect only after later calls.
 */
final class FaultyTables implements TableClient {

	/** How many calls a delayed write may lag behind. */
	private static final int GREATEST_LAG = 12;

	private final TreeMap<String, Row> rows = new TreeMap<>();

	private final Deque<Delayed> delayed = new ArrayDeque<>();

	private final Random random;

	private double faultShare;

	private long version;

	private Runnable beforeCommit = () -> {
	};

	private Runnable beforeScan = () -> {
	};

	private boolean delayNext;

	private FaultyTables(Random random, double faultShare) {
		this.random = random;
		this.faultShare = faultShare;
	}

	static FaultyTables of(long seed, double faultShare) {
		return new FaultyTables(new Random(seed), faultShare);
	}

	// -- faults

	/** Runs once right before the next commit. */
	void beforeNextCommit(Runnable action) {
		this.beforeCommit = action;
	}

	/** The next commit gets no answer and takes effect right before the next scan. */
	void delayNextCommit() {
		this.delayNext = true;
	}

	synchronized void heal() {
		this.faultShare = 0;
		this.delayed.forEach((one) -> commitNow(one.transaction()));
		this.delayed.clear();
	}

	// -- table service

	@Override
	public Mono<Outcome> commit(Transaction transaction) {
		return Mono.defer(() -> {
			Runnable action = this.beforeCommit;
			this.beforeCommit = () -> {
			};
			action.run();
			return commitWithFaults(transaction);
		});
	}

	@Override
	public Mono<Optional<Row>> read(String table, String key) {
		return Mono.defer(() -> reading(() -> Optional.ofNullable(this.rows.get(key))));
	}

	@Override
	public Mono<List<Row>> scan(String table, String prefix, String after, int limit) {
		return Mono.defer(() -> {
			Runnable action = this.beforeScan;
			this.beforeScan = () -> {
			};
			action.run();
			return reading(() -> this.rows.tailMap(after.isEmpty() ? prefix : after, after.isEmpty())
				.values()
				.stream()
				.filter((row) -> row.key().startsWith(prefix))
				.limit(limit)
				.toList());
		});
	}

	private synchronized Mono<Outcome> commitWithFaults(Transaction transaction) {
		age();
		if (this.delayNext) {
			this.delayNext = false;
			this.beforeScan = () -> commitNow(transaction);
			return lost();
		}
		if (this.random.nextDouble() >= this.faultShare) {
			return Mono.just(commitNow(transaction));
		}
		return switch (this.random.nextInt(3)) {
			case 0 -> Mono.error(PlatformException.of(Verdict.notRun(), "refused", null));
			case 1 -> {
				commitNow(transaction);
				yield lost();
			}
			default -> {
				this.delayed.add(new Delayed(transaction, this.random.nextInt(GREATEST_LAG)));
				yield lost();
			}
		};
	}

	private synchronized <T> Mono<T> reading(Supplier<T> reader) {
		age();
		return (this.random.nextDouble() < this.faultShare)
				? Mono.error(PlatformException.of(Verdict.notRun(), "outage", null)) : Mono.just(reader.get());
	}

	private void age() {
		List<Delayed> all = List.copyOf(this.delayed);
		this.delayed.clear();
		for (Delayed one : all) {
			if (one.calls() <= 0) {
				commitNow(one.transaction());
			}
			else {
				this.delayed.add(new Delayed(one.transaction(), one.calls() - 1));
			}
		}
	}

	private synchronized Outcome commitNow(Transaction transaction) {
		List<Condition> failed = transaction.conditions()
			.stream()
			.filter((condition) -> versionOf(condition.key()) != condition.version())
			.map((condition) -> new Condition(condition.table(), condition.key(), versionOf(condition.key())))
			.toList();
		if (!failed.isEmpty()) {
			return new Outcome.Conflict(failed);
		}
		List<Long> versions = new ArrayList<>();
		for (Write write : transaction.writes()) {
			this.version++;
			Optional<JsonNode> value = write.value();
			if (value.isPresent()) {
				this.rows.put(write.key(), new Row(write.table(), write.key(), value.get(), this.version));
			}
			else {
				this.rows.remove(write.key());
			}
			versions.add(this.version);
		}
		return new Outcome.Committed(versions);
	}

	private long versionOf(String key) {
		Row row = this.rows.get(key);
		return (row != null) ? row.version() : 0;
	}

	private static Mono<Outcome> lost() {
		return Mono.error(PlatformException.of(Verdict.mayHaveRun(), "answer lost", null));
	}

	/**
	 * A write that takes effect later.
	 *
	 * @param transaction the write
	 * @param calls after how many calls
	 */
	private record Delayed(Transaction transaction, int calls) {
	}

}
