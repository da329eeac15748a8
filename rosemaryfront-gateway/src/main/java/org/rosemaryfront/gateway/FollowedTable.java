package org.rosemaryfront.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import com.google.protobuf.ByteString;

import org.rosemaryfront.gateway.proto.TableRow;
import org.rosemaryfront.gateway.proto.TableRows;
import org.rosemaryfront.ports.RowStore.Row;

/** The rows of a table as this gateway knows them; may be used on any thread. */
final class FollowedTable {

	private final TreeMap<String, Row> rows = new TreeMap<>();

	private long version;

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
		this.rows.clear();
		all.forEach((row) -> this.rows.put(row.key(), row));
		this.version = tableVersion;
		return true;
	}

	/**
	 * Takes changes.
	 * @param changed the changed rows in order
	 * @param tableVersion the version of the store up to which changes are known
	 */
	synchronized void changed(List<Row> changed, long tableVersion) {
		for (Row row : changed) {
			if (row.value().isPresent()) {
				this.rows.put(row.key(), row);
			}
			else {
				this.rows.remove(row.key());
			}
		}
		this.version = Math.max(this.version, tableVersion);
	}

	synchronized long version() {
		return this.version;
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
			message.addRows(TableRow.newBuilder()
				.setKey(row.key())
				.setValue(ByteString.copyFrom(row.value().orElseThrow()))
				.setVersion(row.version()));
		}
		return Optional.of(message.build());
	}

	/**
	 * Reads what another gateway sent.
	 * @param message the table
	 * @return its rows
	 */
	static List<Row> rows(TableRows message) {
		List<Row> rows = new ArrayList<>();
		for (TableRow row : message.getRowsList()) {
			rows.add(new Row(row.getKey(), Optional.of(row.getValue().toByteArray()), row.getVersion()));
		}
		return rows;
	}

}
