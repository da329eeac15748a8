package org.rosemaryfront.services;

import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import org.rosemaryfront.claims.ClaimOutcome;
import org.rosemaryfront.claims.ClaimRow;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against claims that an entry of another build cannot read, so that a call runs
 * twice or its outcome is lost.
 */
class ClaimFormsTests {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private static final Map<ClaimRow, String> FORMS = Map.of(new ClaimRow.Held("t", "i", "f", 9), """
			{"token":"t","fingerprint":"f","state":"held","vm":"i","heldMillis":9}""",
			new ClaimRow.Stored("t", "f", new ClaimOutcome(201, new TreeMap<>(Map.of("location", "/l")), "b", true)),
			"""
					{"token":"t","fingerprint":"f","state":"stored",
					"outcome":{"status":201,"headers":{"location":"/l"},"body":"b","bodyKept":true}}""",
			new ClaimRow.Voided("t", "f"), """
					{"token":"t","fingerprint":"f","state":"voided"}""", new ClaimRow.Unknown("t", "f"), """
					{"token":"t","fingerprint":"f","state":"unknown"}""");

	@ParameterizedTest
	@MethodSource("rows")
	void shouldKeepFormOfClaimWhenEveryFieldIsSet(ClaimRow row) throws JsonProcessingException {
		JsonNode form = MAPPER.readTree(FORMS.get(row));
		assertThat(MAPPER.readTree(ClaimCodec.write(row).toString())).isEqualTo(form);
		assertThat(ClaimCodec.read(form)).isEqualTo(row);
	}

	private static Iterable<ClaimRow> rows() {
		return FORMS.keySet();
	}

}
