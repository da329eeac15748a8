package org.rosemaryfront.claims;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Injects each fault at each step of an at-most-once call. */
class ClaimFaultMatrixTests {

	@ParameterizedTest
	@CsvSource({ "ENTRY_DIES, BEFORE_CLAIM, none, ran, 1", "ENTRY_DIES, CLAIM_IN_FLIGHT, none, may-have-run, 0",
			"ENTRY_DIES, CLAIMED, none, may-have-run, 0", "ENTRY_DIES, SENDING, none, may-have-run, 0",
			"ENTRY_DIES, SENT, none, may-have-run, 1", "ENTRY_DIES, ANSWERED, none, may-have-run, 1",
			"ENTRY_DIES, OUTCOME_IN_FLIGHT, none, repeated, 1", "ENTRY_DIES, ANSWERED_TO_CALLER, ran, repeated, 1",
			"ENTRY_PAUSES, BEFORE_CLAIM, ran, repeated, 1", "ENTRY_PAUSES, CLAIM_IN_FLIGHT, not-run, ran, 1",
			"ENTRY_PAUSES, CLAIMED, not-run, ran, 1", "ENTRY_PAUSES, SENDING, not-run, ran, 1",
			"ENTRY_PAUSES, SENT, ran, repeated, 1", "ENTRY_PAUSES, ANSWERED, ran, repeated, 1",
			"ENTRY_PAUSES, OUTCOME_IN_FLIGHT, ran, repeated, 1", "ENTRY_PAUSES, ANSWERED_TO_CALLER, ran, repeated, 1",
			"NO_CONNECTION, BEFORE_CLAIM, not-run, ran, 1", "NO_CONNECTION, CLAIM_IN_FLIGHT, not-run, ran, 1",
			"NO_CONNECTION, CLAIMED, not-run, ran, 1", "NO_CONNECTION, SENDING, ran, repeated, 1",
			"NO_CONNECTION, SENT, ran, repeated, 1", "NO_CONNECTION, ANSWERED, ran, repeated, 1",
			"NO_CONNECTION, OUTCOME_IN_FLIGHT, ran, repeated, 1", "NO_CONNECTION, ANSWERED_TO_CALLER, ran, repeated, 1",
			"SERVICE_BREAKS, BEFORE_CLAIM, may-have-run, may-have-run, 1",
			"SERVICE_BREAKS, CLAIM_IN_FLIGHT, may-have-run, may-have-run, 1",
			"SERVICE_BREAKS, CLAIMED, may-have-run, may-have-run, 1",
			"SERVICE_BREAKS, SENDING, may-have-run, may-have-run, 1",
			"SERVICE_BREAKS, SENT, may-have-run, may-have-run, 1", "SERVICE_BREAKS, ANSWERED, ran, repeated, 1",
			"SERVICE_BREAKS, OUTCOME_IN_FLIGHT, ran, repeated, 1",
			"SERVICE_BREAKS, ANSWERED_TO_CALLER, ran, repeated, 1", "SERVICE_REFUSES, BEFORE_CLAIM, not-run, ran, 1",
			"SERVICE_REFUSES, CLAIM_IN_FLIGHT, not-run, ran, 1", "SERVICE_REFUSES, CLAIMED, not-run, ran, 1",
			"SERVICE_REFUSES, SENDING, not-run, ran, 1", "SERVICE_REFUSES, SENT, not-run, ran, 1",
			"SERVICE_REFUSES, ANSWERED, ran, repeated, 1", "SERVICE_REFUSES, OUTCOME_IN_FLIGHT, ran, repeated, 1",
			"SERVICE_REFUSES, ANSWERED_TO_CALLER, ran, repeated, 1",
			"SERVICE_SILENT, BEFORE_CLAIM, may-have-run, may-have-run, 1",
			"SERVICE_SILENT, CLAIM_IN_FLIGHT, may-have-run, may-have-run, 1",
			"SERVICE_SILENT, CLAIMED, may-have-run, may-have-run, 1",
			"SERVICE_SILENT, SENDING, may-have-run, may-have-run, 1",
			"SERVICE_SILENT, SENT, may-have-run, may-have-run, 1", "SERVICE_SILENT, ANSWERED, ran, repeated, 1",
			"SERVICE_SILENT, OUTCOME_IN_FLIGHT, ran, repeated, 1",
			"SERVICE_SILENT, ANSWERED_TO_CALLER, ran, repeated, 1", "STORE_DOWN, BEFORE_CLAIM, not-run, ran, 1",
			"STORE_DOWN, CLAIM_IN_FLIGHT, ran, repeated, 1", "STORE_DOWN, CLAIMED, ran, repeated, 1",
			"STORE_DOWN, SENDING, ran, repeated, 1", "STORE_DOWN, SENT, ran, repeated, 1",
			"STORE_DOWN, ANSWERED, ran, repeated, 1", "STORE_DOWN, OUTCOME_IN_FLIGHT, ran, repeated, 1",
			"STORE_DOWN, ANSWERED_TO_CALLER, ran, repeated, 1", "STORE_LOSES_ANSWERS, BEFORE_CLAIM, not-run, ran, 1",
			"STORE_LOSES_ANSWERS, CLAIM_IN_FLIGHT, not-run, ran, 1", "STORE_LOSES_ANSWERS, CLAIMED, ran, repeated, 1",
			"STORE_LOSES_ANSWERS, SENDING, ran, repeated, 1", "STORE_LOSES_ANSWERS, SENT, ran, repeated, 1",
			"STORE_LOSES_ANSWERS, ANSWERED, ran, repeated, 1",
			"STORE_LOSES_ANSWERS, OUTCOME_IN_FLIGHT, ran, repeated, 1",
			"STORE_LOSES_ANSWERS, ANSWERED_TO_CALLER, ran, repeated, 1" })
	void shouldReturnCorrectVerdictWhenFaultBeginsAtStep(ClaimScript.Fault fault, ClaimScript.Step step, String first,
			String repeat, String runs) {
		assertThat(new ClaimScript(fault, step).run()).isEqualTo(List.of(first, repeat, runs));
	}

}
