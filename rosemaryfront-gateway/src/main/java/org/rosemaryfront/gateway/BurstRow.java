package org.rosemaryfront.gateway;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.ports.RowStore.Commit;
import org.rosemaryfront.ports.RowStore.Condition;
import org.rosemaryfront.ports.RowStore.Outcome;
import org.rosemaryfront.ports.RowStore.Row;
import org.rosemaryfront.ports.RowStore.Write;
import org.rosemaryfront.quota.EarlierBursts;
import org.rosemaryfront.quota.QuotaTable;
import org.rosemaryfront.quota.StoredBursts;
import org.rosemaryfront.routes.Organisation;
import org.rosemaryfront.tables.StoreVersion;

/**
 * The row of the table of gateways that lists the organisations that may use a large
 * burst. The holder of the duties writes it; all gateways allow what they see in it, so
 * that it is known after a kill of all processes. Each generation of the store has its
 * own row: the one of an earlier generation may lack what was allowed. Confined to the
 * control thread.
 */
final class BurstRow {

	private static final String KEY = "~bursts";

	private final StoreGenerations store;

	private final QuotaTable quotas;

	/** Runs tasks on the control thread, with the current time. */
	private final Consumer<Consumer<Long>> control;

	private final StoredBursts bursts;

	private boolean loaded;

	private long generation;

	/** The version of the row, 0 while there is none. */
	private long version;

	BurstRow(StoreGenerations store, QuotaTable quotas, Consumer<Consumer<Long>> control, long windowMillis) {
		this.store = store;
		this.quotas = quotas;
		this.control = control;
		this.bursts = StoredBursts.empty(windowMillis);
	}

	/**
	 * Returns whether a row of the table lists bursts.
	 * @param row the row
	 * @return false if it is the row of a gateway
	 */
	static boolean isAt(Row row) {
		return row.key().startsWith(KEY);
	}

	/**
	 * Processes the rows of the whole table, the first time before any call is charged.
	 * It is not known how old the entries are, so that they allow nothing.
	 * @param rows the rows
	 * @param tableVersion the version of the table
	 * @param now the current time on the monotonic clock, in nanoseconds
	 */
	void tableRead(List<Row> rows, long tableVersion, long now) {
		continueIn(StoreVersion.generation(tableVersion));
		Optional<Row> row = rows.stream().filter(this::isCurrent).findFirst();
		Optional<Map<String, Long>> list = row.flatMap(BurstRow::list);
		row.ifPresent((current) -> this.version = Math.max(this.version, current.version()));
		list.ifPresent((numbers) -> this.bursts.read(numbers, now));
		if (!this.loaded) {
			this.loaded = true;
			// A store that came back from a copy may have lost the row.
			boolean isComplete = list.isPresent() || (row.isEmpty() && this.generation == 0);
			this.quotas
				.earlierBursts(isComplete ? EarlierBursts.of(this.bursts.organisations()) : EarlierBursts.UNKNOWN);
		}
	}

	/**
	 * Processes a change of the table.
	 * @param row the changed row
	 * @param now the current time on the monotonic clock, in nanoseconds
	 */
	void rowChanged(Row row, long now) {
		continueIn(StoreVersion.generation(row.version()));
		if (isCurrent(row)) {
			listChanged(list(row).orElse(Map.of()), row.version(), now);
		}
	}

	private void listChanged(Map<String, Long> list, long newVersion, long now) {
		if (newVersion > this.version) {
			this.version = newVersion;
			this.quotas.allowLargeBursts(this.bursts.read(list, now), now);
			this.quotas.retainLargeBursts(this.bursts.organisations());
		}
	}

	private static Optional<Map<String, Long>> list(Row row) {
		try {
			return Optional.of(RowJson.counts(row.value().orElseThrow(), row.key()));
		}
		catch (RuntimeException ex) {
			RowLog.unreadable(row.key(), ex);
			return Optional.empty();
		}
	}

	private void continueIn(long newest) {
		if (newest > this.generation) {
			this.generation = newest;
			this.version = 0;
			this.bursts.read(Map.of(), 0);
			this.quotas.retainLargeBursts(List.of());
		}
	}

	private boolean isCurrent(Row row) {
		return row.key().equals(key());
	}

	private String key() {
		return StoreGenerations.keyIn(KEY, this.generation);
	}

	/**
	 * Writes the row if it is due; called by the holder of the duties.
	 * @param organisations all organisations
	 * @param now the current time on the monotonic clock, in nanoseconds
	 */
	void writeDue(Collection<Organisation> organisations, long now) {
		continueIn(this.store.newest());
		this.bursts.nextWrite(this.quotas.organisationsInBurst(organisations, now), now).ifPresent(this::write);
	}

	// Conditional, so that a delayed write cannot remove what a later one lists.
	private void write(Map<String, Long> list) {
		String key = key();
		Commit commit = new Commit(GatewayDirectory.TABLE, List.of(new Condition(key, this.version)),
				List.of(new Write(key, RowJson.write(list))), List.of());
		this.store.commitIn(this.generation, commit)
			.subscribe((outcome) -> this.control.accept((now) -> written(list, outcome, now)),
					(failure) -> failed(key, failure));
	}

	private void failed(String key, Throwable failure) {
		RowLog.failed(key, "write", failure);
		this.control.accept((_) -> this.bursts.writeEnded());
	}

	private void written(Map<String, Long> list, Outcome outcome, long now) {
		this.bursts.writeEnded();
		if (outcome instanceof Outcome.Committed done) {
			EventLog.info(GatewayEvents.QUOTA_BURSTS_WRITTEN, "organisations", list.keySet(), "rowVersion",
					StoreVersion.format(done.version()));
			if (done.generation() == this.generation) {
				listChanged(list, done.version(), now);
			}
		}
	}

}
