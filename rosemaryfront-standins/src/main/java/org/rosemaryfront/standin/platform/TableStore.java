package org.rosemaryfront.standin.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.rosemaryfront.platform.TableClient.Condition;
import org.rosemaryfront.platform.TableClient.Outcome;
import org.rosemaryfront.platform.TableClient.Row;
import org.rosemaryfront.platform.TableClient.Transaction;
import org.rosemaryfront.platform.TableClient.Write;

/**
 * The tables of the stand-in platform, in memory; safe for use by several threads.
 *
 * <p>
 * Versions come from one counter of the whole store, so that a row that was deleted and
 * written again never has a version it had before: a condition on an old version cannot
 * hold by accident.
 *
 * <pre>
 * TableStore store = TableStore.empty();
 * Outcome outcome = store.commit(new Transaction(conditions, writes));
 * </pre>
 */
public final class TableStore {

	/** The greatest number of rows that one scan gives. */
	public static final int SCAN_LIMIT = 1000;

	private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();

	private long version;

	private long conflicts;

	private long rowsWritten;

	private TableStore() {
	}

	// -- factories

	/**
	 * A store without rows.
	 * @return the store
	 */
	public static TableStore empty() {
		return new TableStore();
	}

	// -- commits

	/**
	 * Commits a transaction: all writes when all conditions hold, else none.
	 * @param transaction the transaction
	 * @return committed or in conflict
	 * @throws IllegalArgumentException when it writes one row twice, or a key is empty
	 */
	public synchronized Outcome commit(Transaction transaction) {
		Objects.requireNonNull(transaction, "transaction is null");
		check(transaction);
		List<Condition> failed = failed(transaction.conditions());
		if (!failed.isEmpty()) {
			this.conflicts++;
			return new Outcome.Conflict(failed);
		}
		List<Long> versions = new ArrayList<>(transaction.writes().size());
		transaction.writes().forEach((write) -> versions.add(apply(write)));
		this.rowsWritten += versions.size();
		return new Outcome.Committed(List.copyOf(versions));
	}

	private long apply(Write write) {
		long next = ++this.version;
		TreeMap<String, Row> rows = this.tables.computeIfAbsent(write.table(), (_) -> new TreeMap<>());
		write.value()
			.ifPresentOrElse(
					(value) -> rows.put(write.key(), new Row(write.table(), write.key(), value.deepCopy(), next)),
					() -> rows.remove(write.key()));
		return next;
	}

	private static void check(Transaction transaction) {
		Set<String> written = new HashSet<>();
		for (Write write : transaction.writes()) {
			if (write.table().isEmpty() || write.key().isEmpty()) {
				throw new IllegalArgumentException("a write has an empty table or key");
			}
			if (!written.add(write.table() + '\n' + write.key())) {
				throw new IllegalArgumentException("the transaction writes " + write.key() + " twice");
			}
		}
	}

	private List<Condition> failed(List<Condition> conditions) {
		return conditions.stream()
			.filter((condition) -> versionOf(condition.table(), condition.key()) != condition.version())
			.map((condition) -> new Condition(condition.table(), condition.key(),
					versionOf(condition.table(), condition.key())))
			.distinct()
			.toList();
	}

	private long versionOf(String table, String key) {
		return read(table, key).map(Row::version).orElse(0L);
	}

	// -- reads

	/**
	 * How many transactions were in conflict.
	 * @return the count since the start
	 */
	public synchronized long conflicts() {
		return this.conflicts;
	}

	/**
	 * Reads one row.
	 * @param table the table
	 * @param key the key
	 * @return the row, empty when there is none
	 */
	public synchronized Optional<Row> read(String table, String key) {
		return Optional.ofNullable(this.tables.get(table)).map((rows) -> rows.get(key));
	}

	/**
	 * How many rows were written or deleted.
	 * @return the count since the start
	 */
	public synchronized long rowsWritten() {
		return this.rowsWritten;
	}

	/**
	 * Reads rows in key order.
	 * @param table the table
	 * @param prefix the prefix of the keys wanted
	 * @param after the key after which to begin, empty for the first
	 * @param limit the greatest number of rows, 1 to {@link #SCAN_LIMIT}
	 * @return the rows
	 * @throws IllegalArgumentException when the limit is out of its range
	 */
	public synchronized List<Row> scan(String table, String prefix, String after, int limit) {
		if (limit < 1 || limit > SCAN_LIMIT) {
			throw new IllegalArgumentException("limit is " + limit + ", must be 1 to " + SCAN_LIMIT);
		}
		TreeMap<String, Row> rows = this.tables.getOrDefault(table, new TreeMap<>());
		boolean fromPrefix = prefix.compareTo(after) > 0;
		return rows.tailMap(fromPrefix ? prefix : after, fromPrefix)
			.values()
			.stream()
			.takeWhile((row) -> row.key().startsWith(prefix) || row.key().compareTo(prefix) < 0)
			.filter((row) -> row.key().startsWith(prefix))
			.limit(limit)
			.toList();
	}

}
