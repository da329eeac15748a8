package org.rosemaryfront.services;

import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.rosemaryfront.claims.ClaimOutcome;
import org.rosemaryfront.claims.ClaimRow;

/** Writes and reads claim rows as JSON. */
final class ClaimCodec {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private ClaimCodec() {
	}

	static ClaimRow read(JsonNode value) {
		String token = value.path("token").asText();
		String fingerprint = value.path("fingerprint").asText();
		return switch (value.path("state").asText()) {
			case "held" ->
				new ClaimRow.Held(token, value.path("vm").asText(), fingerprint, value.path("heldMillis").asLong());
			case "stored" -> new ClaimRow.Stored(token, fingerprint, outcome(value.path("outcome")));
			case "voided" -> new ClaimRow.Voided(token, fingerprint);
			// A state written by a later version: what it means for a run is not known.
			default -> new ClaimRow.Unknown(token, fingerprint);
		};
	}

	static JsonNode write(ClaimRow row) {
		ObjectNode value = MAPPER.createObjectNode();
		value.put("token", row.token()).put("fingerprint", row.fingerprint());
		switch (row) {
			case ClaimRow.Held held ->
				value.put("state", "held").put("vm", held.vm()).put("heldMillis", held.heldMillis());
			case ClaimRow.Stored stored -> value.put("state", "stored").set("outcome", outcome(stored.outcome()));
			case ClaimRow.Unknown _ -> value.put("state", "unknown");
			case ClaimRow.Voided _ -> value.put("state", "voided");
		}
		return value;
	}

	private static ClaimOutcome outcome(JsonNode value) {
		TreeMap<String, String> headers = new TreeMap<>();
		value.path("headers")
			.properties()
			.forEach((header) -> headers.put(header.getKey(), header.getValue().asText()));
		return new ClaimOutcome(value.path("status").asInt(), headers, value.path("body").asText(),
				value.path("bodyKept").asBoolean());
	}

	private static ObjectNode outcome(ClaimOutcome outcome) {
		ObjectNode value = MAPPER.createObjectNode();
		value.put("status", outcome.status()).put("body", outcome.body()).put("bodyKept", outcome.bodyKept());
		outcome.headers().forEach(value.putObject("headers")::put);
		return value;
	}

}
