package org.rosemaryfront.capacity;

import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/** An in-memory table service with row versions and conditional transactions. */
final class FakeTables {

	private final SortedMap<String, Row> rows = new TreeMap<>();

	private final java.util.Set<String> writtenKeys = new java.util.HashSet<>();

	private long lastVersion;

	boolean unavailable;

	Optional<Row> read(String key) {
		return Optional.ofNullable(this.rows.get(key));
	}

	SortedMap<String, Row> scan(String prefix) {
		return new TreeMap<>(this.rows.subMap(prefix, prefix + "\uffff"));
	}

	// Writes all values if all conditions hold; an empty value deletes the row.
	Outcome commit(Map<String, Long> conditions, Map<String, Optional<Object>> writes) {
		if (this.unavailable) {
			return new Outcome(false, true, false, 0);
		}
		boolean fenced = false;
		boolean conflict = false;
		for (Map.Entry<String, Long> condition : conditions.entrySet()) {
			boolean satisfied = version(condition.getKey()) == condition.getValue();
			conflict |= !satisfied;
			fenced |= !satisfied && condition.getKey().equals("lease/fence");
		}
		if (conflict) {
			return new Outcome(false, false, fenced, 0);
		}
		this.lastVersion++;
		this.writtenKeys.addAll(writes.keySet());
		writes.forEach((key, value) -> value.ifPresentOrElse(
				(present) -> this.rows.put(key, new Row(present, this.lastVersion)), () -> this.rows.remove(key)));
		return new Outcome(true, false, false, this.lastVersion);
	}

	boolean wasWritten(String key) {
		return this.writtenKeys.contains(key);
	}

	private long version(String key) {
		return read(key).map(Row::version).orElse(0L);
	}

	record Row(Object value, long version) {
	}

	record Outcome(boolean committed, boolean unavailable, boolean fenced, long version) {
	}

}
