package org.rosemaryfront.gateway;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** Reads and writes the JSON values of the rows that gateways store. */
final class RowJson {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private static final TypeReference<TreeMap<String, Long>> COUNTS_TYPE = new TypeReference<>() {
	};

	/**
	 * The maximum of a count: more than all gateways can count, and small enough for the
	 * sum of a million rows.
	 */
	private static final long MAX_COUNT = 1_000_000_000_000L;

	private RowJson() {
	}

	/**
	 * Writes the value of a row.
	 * @param value the value
	 * @return the JSON as bytes
	 */
	static byte[] write(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Reads the value of a row.
	 * @param <T> the type of the value
	 * @param bytes the JSON as bytes
	 * @param type the type of the value
	 * @param row a description of the row for the error message
	 * @return the value
	 * @throws IllegalStateException if the JSON cannot be parsed, or is null
	 */
	static <T> T read(byte[] bytes, TypeReference<T> type, String row) {
		try {
			T value = MAPPER.readValue(bytes, type);
			if (value == null) {
				throw new IllegalStateException(row + " is null");
			}
			return value;
		}
		catch (IOException ex) {
			throw new IllegalStateException(row + " cannot be read", ex);
		}
	}

	/**
	 * Reads the value of a row that holds a count or a number for each name.
	 * @param bytes the JSON as bytes
	 * @param row a description of the row for the error message
	 * @return the counts by name
	 * @throws IllegalStateException if the JSON cannot be parsed, or a count is out of
	 * range
	 */
	static Map<String, Long> counts(byte[] bytes, String row) {
		Map<String, Long> counts = read(bytes, COUNTS_TYPE, row);
		counts.forEach((name, count) -> {
			if (count == null || count < 0 || count > MAX_COUNT) {
				throw new IllegalStateException(row + " has count " + count);
			}
		});
		return counts;
	}

	/**
	 * Reads the value of a row as a JSON tree.
	 * @param bytes the JSON as bytes
	 * @param row a description of the row for the error message
	 * @return the root of the tree
	 * @throws IllegalStateException if the JSON cannot be parsed
	 */
	static JsonNode tree(byte[] bytes, String row) {
		try {
			return MAPPER.readTree(bytes);
		}
		catch (IOException ex) {
			throw new IllegalStateException(row + " cannot be read", ex);
		}
	}

}
