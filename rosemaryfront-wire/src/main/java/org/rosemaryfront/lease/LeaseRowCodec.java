package org.rosemaryfront.lease;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The JSON form of a lease's row, both ways. */
public final class LeaseRowCodec {

	private LeaseRowCodec() {
	}

	/**
	 * Reads a row.
	 * @param value its value
	 * @return the row
	 */
	public static LeaseRow read(JsonNode value) {
		return new LeaseRow(value.path("holder").asText(), value.path("fence").asLong(),
				value.path("termMillis").asLong(), value.path("token").asText());
	}

	/**
	 * Writes a row.
	 * @param row the row
	 * @return its value
	 */
	public static ObjectNode write(LeaseRow row) {
		return JsonNodeFactory.instance.objectNode()
			.put("holder", row.holder())
			.put("fence", row.fence())
			.put("termMillis", row.termMillis())
			.put("token", row.token());
	}

}
