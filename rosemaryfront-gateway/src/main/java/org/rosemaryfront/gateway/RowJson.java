package org.rosemaryfront.gateway;

import java.io.IOException;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** The JSON of the rows that gateways write. */
final class RowJson {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private RowJson() {
	}

	/**
	 * Writes a row's value.
	 * @param value the value
	 * @return its bytes
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
	 * Reads a row's value.
	 * @param <T> the type of the value
	 * @param bytes the bytes
	 * @param type the type of the value
	 * @param row names the row in the error
	 * @return the value
	 * @throws IllegalStateException when it cannot be read
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
	 * Reads a row's value as a document.
	 * @param bytes the bytes
	 * @param row names the row in the error
	 * @return the document
	 * @throws IllegalStateException when it cannot be read
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
