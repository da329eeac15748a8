package org.rosemaryfront.lease;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Converts lease rows to and from JSON. */
public final class LeaseRowCodec {

	private LeaseRowCodec() {
	}

	/**
	 * Reads a lease row from its JSON form.
	 * @param value the JSON form
	 * @return the row
	 */
	public static LeaseRow read(JsonNode value) {
		return new LeaseRow(value.path("holder").asText(), value.path("fence").asLong(),
				value.path("termMillis").asLong(), value.path("token").asText());
	}

	/**
	 * Returns the JSON form of a lease row.
	 * @param row the row
	 * @return the JSON form
	 */
	public static ObjectNode write(LeaseRow row) {
		return JsonNodeFactory.instance.objectNode()
			.put("holder", row.holder())
			.put("fence", row.fence())
			.put("termMillis", row.termMillis())
			.put("token", row.token());
	}

}
