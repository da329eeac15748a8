package org.rosemaryfront.gateway;

import java.io.IOException;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** Reads and writes the JSON values of the rows that gateways store. */
final class RowJson {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

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
	 * @throws IllegalStateException if the JSON cannot be parsed
	 */
	static <T> T read(byte[] bytes, TypeReference<T> type, String row) {
		try {
			return MAPPER.readValue(bytes, type);
		}
		catch (IOException ex) {
			throw new IllegalStateException(row + " cannot be read", ex);
		}
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
