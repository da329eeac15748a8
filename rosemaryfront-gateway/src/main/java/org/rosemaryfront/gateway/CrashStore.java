package org.rosemaryfront.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.rosemaryfront.crashes.Crash;
import org.rosemaryfront.crashes.CrashSuspect;
import org.rosemaryfront.crashes.CrashTable;
import org.rosemaryfront.crashes.Evidence;
import org.rosemaryfront.crashes.Evidence.State;
import org.rosemaryfront.crashes.RequestDigest;
import org.rosemaryfront.crashes.SegmentSuspect;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.ports.RowStore;
import org.rosemaryfront.ports.RowStore.Commit;
import org.rosemaryfront.ports.RowStore.Condition;
import org.rosemaryfront.ports.RowStore.Outcome;
import org.rosemaryfront.ports.RowStore.Row;
import org.rosemaryfront.ports.RowStore.Write;
import org.rosemaryfront.program.ControlLoop;
import org.rosemaryfront.tables.StoreVersion;

/**
 * Persists crashes under requests in the store, so that they survive a kill of all
 * processes and reach gateways that cannot exchange reports. Failed writes are retried
 * until the store accepts them. Confined to the control thread.
 */
final class CrashStore {

	/**
	 * Minimum time between two checks for pending writes, in nanoseconds; without it
	 * every call on the control thread would run the check.
	 */
	private static final long WRITE_CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	/** Maximum rows per commit; the store accepts a hundred. */
	private static final int MAX_WRITES = 50;

	/**
	 * Retention of rows of cleared crashes, in milliseconds, so that updates that arrive
	 * late do not count; also applies to requests with a single crash while there are
	 * more than {@link #CROWDED_ROWS} rows.
	 */
	private static final long SHORT_RETENTION_MILLIS = TimeUnit.MINUTES.toMillis(10);

	/**
	 * Minimum time between two searches for rows to delete, in milliseconds. Rows are
	 * kept for minutes, while the duties run ten times a second, also when the store
	 * accepts no deletions.
	 */
	private static final long CLEAN_UP_INTERVAL_MILLIS = TimeUnit.SECONDS.toMillis(10);

	/**
	 * Number of rows above which single crashes are kept for
	 * {@link #SHORT_RETENTION_MILLIS}.
	 */
	private static final int CROWDED_ROWS = 512;

	/**
	 * Retention of the crashes of a request that is not quarantined, in milliseconds: a
	 * request that crashes servers recurs within this time, and the crashes of other
	 * requests no longer matter after it.
	 */
	private static final long RETENTION_MILLIS = TimeUnit.DAYS.toMillis(1);

	/**
	 * The range of the times at which gateways write rows that the store lost, in
	 * nanoseconds.
	 */
	private static final long LOST_ROW_SPREAD_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

	private final RowStore store;

	private final CrashTable table;

	private final QuarantineProbes probes;

	private final ControlLoop control;

	/** The name of this gateway process, unique to this start. */
	private final String process;

	private final Updates updates;

	/** The crash of each row by its key, to look it up when the row is deleted. */
	private final Map<String, Crash> rows = new HashMap<>();

	private int writing;

	private long checkedNanos = System.nanoTime();

	/** The time of day of the last search for rows to delete. */
	private long cleanedUpMillis;

	private volatile boolean loaded;

	/** The generation of the store in which the table was last read. */
	private long generation;

	CrashStore(RowStore store, CrashTable table, QuarantineProbes probes, ControlLoop control, String process,
			Updates updates) {
		this.store = store;
		this.table = table;
		this.probes = probes;
		this.control = control;
		this.process = process;
		this.updates = updates;
	}

	/**
	 * Returns whether the table has been read from the store. Safe to call on any thread.
	 * @return true once the table was read
	 */
	boolean isLoaded() {
		return this.loaded;
	}

	TableWatch.Listener listener() {
		return new Listener();
	}

	// -- writing

	/**
	 * Expires old evidence and writes pending evidence to the store.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void tick(long nowNanos) {
		if (nowNanos - this.checkedNanos >= WRITE_CHECK_INTERVAL_NANOS) {
			this.checkedNanos = nowNanos;
			this.table.expire(nowNanos).forEach(this.updates.removed());
			writeDue(nowNanos);
		}
	}

	private void writeDue(long nowNanos) {
		if (this.writing > 0 || !this.loaded) {
			return;
		}
		List<Evidence> due = this.table.pendingWrites(MAX_WRITES, nowNanos);
		if (!due.isEmpty()) {
			write(due);
		}
	}

	// Rows of confirmed crashes are written only if absent: a write whose response was
	// lost can take effect seconds later, and without the condition it would restore a
	// crash that was cleared in the meantime.
	private void write(List<Evidence> due) {
		this.writing++;
		List<Condition> conditions = due.stream()
			.filter((evidence) -> evidence.state() == State.CONFIRMED)
			.map((evidence) -> new Condition(CrashRows.key(evidence.crash()), 0))
			.toList();
		List<Write> writes = due.stream()
			.map((evidence) -> new Write(CrashRows.key(evidence.crash()), CrashRows.write(evidence, this.process)))
			.toList();
		this.store.commit(new Commit(CrashRows.TABLE, conditions, writes, List.of()))
			.subscribe((outcome) -> this.control.post((nowNanos) -> written(due, outcome, nowNanos)),
					(failure) -> this.control.post((nowNanos) -> writeFailed(due, failure, nowNanos)));
	}

	private void written(List<Evidence> due, Outcome outcome, long nowNanos) {
		this.writing--;
		switch (outcome) {
			case Outcome.Committed _ -> due.forEach(this.table::writeCommitted);
			case Outcome.Conflict _ when due.size() == 1 -> this.table.writeCommitted(due.getFirst());
			case Outcome.Conflict conflict -> writeMissing(due, conflict.present());
		}
		writeDue(nowNanos);
	}

	// All gateways with a call at a crashed server write the rows of the segments that
	// their calls share, so that most commits contain rows that exist already.
	private void writeMissing(List<Evidence> due, Set<String> present) {
		List<Evidence> missing = new ArrayList<>();
		for (Evidence evidence : due) {
			if (present.contains(CrashRows.key(evidence.crash()))) {
				this.table.writeCommitted(evidence);
			}
			else {
				missing.add(evidence);
			}
		}
		if (missing.size() == due.size()) {
			due.forEach((evidence) -> write(List.of(evidence)));
		}
		else if (!missing.isEmpty()) {
			write(missing);
		}
	}

	private void writeFailed(List<Evidence> due, Throwable failure, long nowNanos) {
		this.writing--;
		RowLog.failed(CrashRows.key(due.getFirst().crash()), "write", failure);
		due.forEach((pending) -> this.table.writeFailed(pending, nowNanos));
	}

	/**
	 * Deletes rows that are no longer needed; called by the gateway that holds the
	 * duties.
	 * @param epochMillis the time of day, in milliseconds since 1970
	 */
	void cleanUp(long epochMillis) {
		if (Math.abs(epochMillis - this.cleanedUpMillis) < CLEAN_UP_INTERVAL_MILLIS) {
			return;
		}
		this.cleanedUpMillis = epochMillis;
		List<String> expired = this.rows.entrySet()
			.stream()
			.filter((entry) -> isExpired(entry.getValue(), epochMillis))
			.map(Map.Entry::getKey)
			.limit(MAX_WRITES)
			.toList();
		if (!expired.isEmpty()) {
			this.store.commit(new Commit(CrashRows.TABLE, List.of(), List.of(), expired)).subscribe((_) -> {
			}, (failure) -> RowLog.failed(expired.getFirst(), "delete", failure));
		}
	}

	// Crashes that the table evicted because it was full are deleted from the store as
	// well.
	private boolean isExpired(Crash crash, long epochMillis) {
		if (this.table.isQuarantined(crash.suspect())) {
			return false;
		}
		Optional<Evidence> evidence = this.table.evidence(crash);
		return evidence.isEmpty() || epochMillis - evidence.get().atMillis() > retentionMillis(evidence.get());
	}

	private long retentionMillis(Evidence evidence) {
		boolean isCrowded = this.rows.size() > CROWDED_ROWS;
		boolean isSingle = crashes(evidence.crash().suspect()) <= 1;
		return (evidence.state() == State.CLEARED || (isCrowded && isSingle)) ? SHORT_RETENTION_MILLIS
				: RETENTION_MILLIS;
	}

	private int crashes(CrashSuspect suspect) {
		return switch (suspect) {
			case RequestDigest request -> this.table.decide(request).servers().size();
			case SegmentSuspect segment -> this.table.segments().crashes(segment);
		};
	}

	// -- reading

	private void load(List<Row> presentRows, long version, long nowNanos) {
		Set<String> keys = new HashSet<>();
		presentRows.forEach((row) -> keys.add(row.key()));
		List<String> missing = this.rows.keySet().stream().filter((key) -> !keys.contains(key)).toList();
		boolean restored = this.loaded && StoreVersion.generation(version) > this.generation;
		this.generation = StoreVersion.generation(version);
		if (restored) {
			writeLostRows(missing, nowNanos);
			this.probes.writeLost(keys);
		}
		else {
			missing.forEach(this::rowRemoved);
			this.probes.retain(keys);
		}
		presentRows.forEach((row) -> row(row, nowNanos));
		this.loaded = true;
	}

	// Rows that are missing after a restore of the store were lost, not deleted. Taken
	// for deleted, they would release requests that crash servers. All gateways know
	// them, so each waits for a time of its own for another one to write them.
	private void writeLostRows(List<String> missing, long nowNanos) {
		long writeNanos = nowNanos + Math.floorMod(this.process.hashCode(), LOST_ROW_SPREAD_NANOS);
		missing.forEach((key) -> this.table.rowLost(this.rows.remove(key), writeNanos));
		if (!missing.isEmpty()) {
			EventLog.info(GatewayEvents.ROWS_WRITTEN_AGAIN, "table", CrashRows.TABLE, "generation", this.generation,
					"rows", missing.size());
		}
	}

	private void row(Row row, long nowNanos) {
		try {
			if (row.value().isEmpty()) {
				rowRemoved(row.key());
			}
			else if (CrashRows.isProbe(row.key())) {
				this.probes.granted(CrashRows.request(row.key()), CrashRows.readProbe(row.value().get()));
			}
			else {
				crash(row.key(), CrashRows.read(row.key(), row.value().get()), nowNanos);
			}
		}
		catch (IllegalArgumentException | IllegalStateException ex) {
			RowLog.unreadable(row.key(), ex);
		}
	}

	private void crash(String key, Evidence evidence, long nowNanos) {
		this.rows.put(key, evidence.crash());
		if (this.table.rowRead(evidence, nowNanos)) {
			this.updates.crash().accept(evidence, nowNanos);
		}
	}

	private void rowRemoved(String key) {
		if (CrashRows.isProbe(key)) {
			this.probes.rowRemoved(CrashRows.request(key));
		}
		Crash crash = this.rows.remove(key);
		if (crash != null) {
			this.table.rowRemoved(crash);
			this.updates.removed().accept(crash.suspect());
		}
	}

	/**
	 * Callbacks for changes of rows.
	 *
	 * @param crash receives the evidence of a new or changed crash and the current time
	 * @param removed receives the suspect of a deleted row or expired crash
	 */
	record Updates(BiConsumer<Evidence, Long> crash, Consumer<CrashSuspect> removed) {
	}

	/** Applies changes of the stored table on the control thread. */
	private final class Listener implements TableWatch.Listener {

		@Override
		public void tableRead(List<Row> presentRows, long version) {
			CrashStore.this.control.post((nowNanos) -> CrashStore.this.load(presentRows, version, nowNanos));
		}

		@Override
		public void rowsChanged(List<Row> changed, long version) {
			CrashStore.this.control.post((nowNanos) -> changed.forEach((row) -> row(row, nowNanos)));
		}

	}

}
