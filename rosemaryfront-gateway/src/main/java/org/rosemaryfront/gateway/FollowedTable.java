package org.rosemaryfront.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import com.google.protobuf.ByteString;

import org.rosemaryfront.gateway.proto.TableRow;
import org.rosemaryfront.gateway.proto.TableRows;
import org.rosemaryfront.ports.RowStore.Row;
import org.rosemaryfront.tables.Freshness;

/** The rows of a table as this gateway knows them; may be used on any thread. */
final class FollowedTable {

	/** Changes of late that are kept. */
	private static final int RECENT = 64;

	private final TreeMap<String, Row> rows = new TreeMap<>();

	/** The last changes in order. */
	private final Deque<Row> recent = new ArrayDeque<>();

	/** The version behind which all changes are kept. */
	private long recentSince;

	private long version;

	private final Freshness freshness;

	/**
	 * A table that is not known yet.
	 * @param freshness takes how old the knowledge of it is
	 */
	FollowedTable(Freshness freshness) {
		this.freshness = freshness;
	}

	/**
	 * Takes the whole table.
	 * @param all its rows
	 * @param tableVersion the version of the store at that moment
	 * @return whether it was taken; an older table than the one known is not
	 */
	synchronized boolean all(List<Row> all, long tableVersion) {
		if (tableVersion < this.version) {
			return false;
		}
		TreeMap<String, Row> before = new TreeMap<>(this.rows);
		this.rows.clear();
		all.forEach((row) -> this.rows.put(row.key(), row));
		noteChanges(before, tableVersion);
		this.version = tableVersion;
		return true;
	}

	// Others are told of what the reading found, where that is known in order: a row
	// whose
	// change should have been known before is none of these.
	private void noteChanges(TreeMap<String, Row> before, long tableVersion) {
		boolean missed = this.rows.values()
			.stream()
			.anyMatch((row) -> row.version() <= this.version && isNews(row, before));
		if (this.version == 0 || missed) {
			this.recent.clear();
			this.recentSince = tableVersion;
			return;
		}
		this.rows.values()
			.stream()
			.filter((row) -> row.version() > this.version)
			.sorted(Comparator.comparingLong(Row::version))
			.forEach(this::remember);
		before.keySet()
			.stream()
			.filter((key) -> !this.rows.containsKey(key))
			.forEach((key) -> remember(new Row(key, Optional.empty(), tableVersion)));
	}

	private static boolean isNews(Row row, TreeMap<String, Row> before) {
		return !before.containsKey(row.key()) || before.get(row.key()).version() != row.version();
	}

	/**
	 * Takes changes. Those known before are passed over: they come from the store and
	 * from other gateways, and an older row must not take the place of a newer.
	 * @param changed the changed rows in order
	 * @param tableVersion the version of the store up to which changes are known
	 * @return the rows that are news
	 */
	synchronized List<Row> changed(List<Row> changed, long tableVersion) {
		long known = this.version;
		List<Row> news = changed.stream().filter((row) -> row.version() > known).toList();
		news.forEach(this::put);
		this.version = Math.max(this.version, tableVersion);
		return news;
	}

	private void put(Row row) {
		if (row.value().isPresent()) {
			this.rows.put(row.key(), row);
		}
		else {
			this.rows.remove(row.key());
		}
		remember(row);
	}

	private void remember(Row row) {
		this.recent.addLast(row);
		if (this.recent.size() > RECENT) {
			this.recentSince = this.recent.removeFirst().version();
		}
	}

	/**
	 * The changes of late.
	 * @param since a version
	 * @return the rows that changed behind it, empty when not all of them are kept
	 */
	synchronized Optional<List<Row>> changesSince(long since) {
		if (since < this.recentSince) {
			return Optional.empty();
		}
		return Optional.of(this.recent.stream().filter((row) -> row.version() > since).toList());
	}

	synchronized long version() {
		return this.version;
	}

	Freshness freshness() {
		return this.freshness;
	}

	/**
	 * What another gateway gets that knows less.
	 * @param known the version up to which it knows the table
	 * @return the whole table, empty when it is no newer
	 */
	synchronized Optional<TableRows> newerThan(long known) {
		if (this.version <= known) {
			return Optional.empty();
		}
		TableRows.Builder message = TableRows.newBuilder().setVersion(this.version);
		for (Row row : this.rows.values()) {
			message.addRows(message(row));
		}
		return Optional.of(message.build());
	}

	/**
	 * Writes a row for another gateway.
	 * @param row the row
	 * @return the message
	 */
	static TableRow message(Row row) {
		TableRow.Builder message = TableRow.newBuilder().setKey(row.key()).setVersion(row.version());
		row.value()
			.ifPresentOrElse((value) -> message.setValue(ByteString.copyFrom(value)), () -> message.setRemoved(true));
		return message.build();
	}

	/**
	 * Reads what another gateway sent.
	 * @param messages rows
	 * @return the rows
	 */
	static List<Row> rows(List<TableRow> messages) {
		List<Row> rows = new ArrayList<>();
		for (TableRow row : messages) {
			Optional<byte[]> value = row.getRemoved() ? Optional.empty() : Optional.of(row.getValue().toByteArray());
			rows.add(new Row(row.getKey(), value, row.getVersion()));
		}
		return rows;
	}

}
