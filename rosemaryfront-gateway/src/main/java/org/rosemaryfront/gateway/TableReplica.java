package org.rosemaryfront.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import com.google.protobuf.ByteString;

import org.rosemaryfront.gateway.proto.TableRow;
import org.rosemaryfront.gateway.proto.TableRows;
import org.rosemaryfront.ports.RowStore.Row;
import org.rosemaryfront.tables.Freshness;
import org.rosemaryfront.tables.StoreVersion;
import org.rosemaryfront.tables.ValueDelta;

/** The local copy of a table's rows. Thread-safe. */
final class TableReplica {

	/**
	 * The number of missed heartbeats after which a server's registration expires; the
	 * first may have been due right behind the last confirmation of a replica.
	 */
	private static final int MAX_MISSED_HEARTBEATS = 3;

	/** The number of recent changes that are retained. */
	private static final int MAX_RECENT_CHANGES = 64;

	/** The length of a value from which on differences are sent, in bytes. */
	private static final int MIN_DIFFERENCE_BYTES = 512;

	private final TreeMap<String, Row> rows = new TreeMap<>();

	/** The most recent changes, oldest first. */
	private final Deque<Change> recentChanges = new ArrayDeque<>();

	/** The version after which every change is retained. */
	private long retainedSince;

	private long version;

	private final Freshness freshness;

	/**
	 * Creates an empty replica.
	 * @param bounds the bounds of the deployment
	 * @return the replica, which becomes outdated before a registration can expire
	 */
	static TableReplica of(GatewaySettings.Bounds bounds) {
		long outageMillis = (MAX_MISSED_HEARTBEATS - 1) * bounds.heartbeatMillis();
		return new TableReplica(Freshness.unconfirmed(TimeUnit.MILLISECONDS.toNanos(outageMillis)));
	}

	/**
	 * Creates an empty copy, at version 0.
	 * @param freshness records how old the copy is
	 */
	TableReplica(Freshness freshness) {
		this.freshness = freshness;
	}

	/**
	 * Replaces the copy with a full read of the table.
	 * @param all all rows of the table
	 * @param tableVersion the version of the store at the time of the read
	 * @return whether the copy was replaced; false if the table is older than the copy
	 */
	synchronized boolean replace(List<Row> all, long tableVersion) {
		if (tableVersion < this.version) {
			return false;
		}
		TreeMap<String, Row> previousRows = new TreeMap<>(this.rows);
		this.rows.clear();
		all.forEach((row) -> this.rows.put(row.key(), row));
		retainChanges(previousRows, tableVersion);
		this.version = tableVersion;
		return true;
	}

	// The changes found by a full read are retained for other gateways, in order. If a
	// row changed at or before the version of this copy, a change was missed; none are
	// retained then, since receivers would ignore that row as older than their own copy.
	// Nor are they after a restore of the store, which may have undone changes that only
	// a receiver knows.
	private void retainChanges(TreeMap<String, Row> previousRows, long tableVersion) {
		boolean missedChange = this.rows.values()
			.stream()
			.anyMatch((row) -> row.version() <= this.version && isChanged(row, previousRows));
		boolean restored = !StoreVersion.sameGeneration(tableVersion, this.version);
		if (this.version == 0 || missedChange || restored) {
			this.recentChanges.clear();
			this.retainedSince = tableVersion;
			return;
		}
		this.rows.values()
			.stream()
			.filter((row) -> row.version() > this.version)
			.sorted(Comparator.comparingLong(Row::version))
			.forEach((row) -> retain(row, Optional.ofNullable(previousRows.get(row.key()))));
		previousRows.keySet()
			.stream()
			.filter((key) -> !this.rows.containsKey(key))
			.forEach((key) -> retain(new Row(key, Optional.empty(), tableVersion), Optional.empty()));
	}

	private static boolean isChanged(Row row, TreeMap<String, Row> previousRows) {
		return !previousRows.containsKey(row.key()) || previousRows.get(row.key()).version() != row.version();
	}

	/**
	 * Applies changes. They come from the store and from other gateways, so changes up to
	 * the version of this copy are ignored: an older row must not replace a newer one.
	 * @param changed the changed rows, in order
	 * @param tableVersion the version of the store up to which the changes are complete
	 * @return the rows that were applied
	 */
	synchronized List<Row> apply(List<Row> changed, long tableVersion) {
		long knownVersion = this.version;
		List<Row> applied = changed.stream().filter((row) -> row.version() > knownVersion).toList();
		applied.forEach(this::put);
		this.version = Math.max(this.version, tableVersion);
		return applied;
	}

	private void put(Row row) {
		Optional<Row> before = Optional.ofNullable(this.rows.get(row.key()));
		if (row.value().isPresent()) {
			this.rows.put(row.key(), row);
		}
		else {
			this.rows.remove(row.key());
		}
		retain(row, before);
	}

	private void retain(Row row, Optional<Row> before) {
		this.recentChanges.addLast(new Change(row, before.flatMap((earlier) -> difference(earlier, row))));
		if (this.recentChanges.size() > MAX_RECENT_CHANGES) {
			this.retainedSince = this.recentChanges.removeFirst().row.version();
		}
	}

	private static Optional<TableRow> difference(Row before, Row after) {
		boolean large = after.value().filter((value) -> value.length > MIN_DIFFERENCE_BYTES).isPresent();
		if (!large || before.value().isEmpty()) {
			return Optional.empty();
		}
		byte[] value = after.value().get();
		return Optional.of(TableRow.newBuilder()
			.setKey(after.key())
			.setVersion(after.version())
			.setBase(before.version())
			.setValue(ByteString.copyFrom(ValueDelta.between(before.value().get(), value)))
			.setChecksum(ValueDelta.checksum(value))
			.build());
	}

	/**
	 * Returns the recent changes after a version.
	 * @param since the version
	 * @return the rows that changed after it, or empty if not all of them are retained
	 */
	synchronized Optional<List<Row>> changesSince(long since) {
		return retainedAfter(since).map((changes) -> changes.map(Change::row).toList());
	}

	/**
	 * Returns the recent changes after a version, of large rows as differences.
	 * @param since the version
	 * @return the encoded changes, or empty if not all of them are retained
	 */
	synchronized Optional<List<TableRow>> differencesSince(long since) {
		return retainedAfter(since)
			.map((changes) -> changes.map((change) -> change.difference.orElseGet(() -> encode(change.row))).toList());
	}

	private Optional<Stream<Change>> retainedAfter(long since) {
		return (since < this.retainedSince) ? Optional.empty()
				: Optional.of(this.recentChanges.stream().filter((change) -> change.row.version() > since));
	}

	/**
	 * Returns the rows that changes of another gateway lead to. Changes up to the version
	 * of this copy are left out.
	 * @param changes the changes in order, of large rows as differences
	 * @return the whole rows, or empty if a difference is to a version that is not here
	 * @throws IllegalArgumentException if a difference is invalid
	 */
	synchronized Optional<List<Row>> resolve(List<TableRow> changes) {
		Map<String, Row> latest = new HashMap<>(this.rows);
		List<Row> resolved = new ArrayList<>();
		for (TableRow change : changes) {
			if (change.getVersion() > this.version) {
				Optional<Row> row = resolve(change, Optional.ofNullable(latest.get(change.getKey())));
				if (row.isEmpty()) {
					return Optional.empty();
				}
				latest.put(change.getKey(), row.get());
				resolved.add(row.get());
			}
		}
		return Optional.of(resolved);
	}

	private static Optional<Row> resolve(TableRow change, Optional<Row> before) {
		if (change.getBase() == 0) {
			return Optional.of(decode(change));
		}
		return before.filter((row) -> row.version() == change.getBase())
			.flatMap(Row::value)
			.map((value) -> ValueDelta.apply(value, change.getValue().toByteArray(), change.getChecksum()))
			.map((value) -> new Row(change.getKey(), Optional.of(value), change.getVersion()));
	}

	synchronized long version() {
		return this.version;
	}

	Freshness freshness() {
		return this.freshness;
	}

	/**
	 * Returns the table for a gateway whose copy may be older.
	 * @param knownVersion the version of that gateway's copy
	 * @return the whole table, or empty if this copy is not newer
	 */
	synchronized Optional<TableRows> newerThan(long knownVersion) {
		if (this.version <= knownVersion) {
			return Optional.empty();
		}
		TableRows.Builder message = TableRows.newBuilder().setVersion(this.version);
		for (Row row : this.rows.values()) {
			message.addRows(encode(row));
		}
		return Optional.of(message.build());
	}

	/**
	 * Encodes a row for another gateway.
	 * @param row the row
	 * @return the message
	 */
	static TableRow encode(Row row) {
		TableRow.Builder message = TableRow.newBuilder().setKey(row.key()).setVersion(row.version());
		row.value()
			.ifPresentOrElse((value) -> message.setValue(ByteString.copyFrom(value)), () -> message.setRemoved(true));
		return message.build();
	}

	/**
	 * Decodes rows sent by another gateway.
	 * @param messages the encoded rows
	 * @return the rows
	 */
	static List<Row> decode(List<TableRow> messages) {
		return messages.stream().map(TableReplica::decode).toList();
	}

	private static Row decode(TableRow row) {
		Optional<byte[]> value = row.getRemoved() ? Optional.empty() : Optional.of(row.getValue().toByteArray());
		return new Row(row.getKey(), value, row.getVersion());
	}

	/**
	 * A change of a row.
	 *
	 * @param row the row after it
	 * @param difference the encoded difference to the row before it, empty if the row is
	 * small or new
	 */
	private record Change(Row row, Optional<TableRow> difference) {
	}

}
