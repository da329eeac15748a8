package org.rosemaryfront.problems;

import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;

import org.rosemaryfront.model.Problem;
import org.rosemaryfront.model.ProblemCode;

import static org.assertj.core.api.Assertions.assertThat;

class ProblemDocumentTests {

	private static final Problem OVERLOADED = Problem.notRun(ProblemCode.OVERLOADED, "come back later",
			Duration.ofMillis(1200));

	@Test
	void shouldReadWhatItWrote() {
		assertThat(ProblemDocument.read(ProblemDocument.of(OVERLOADED, "r1").toString()))
			.isEqualTo(Problem.notRun(ProblemCode.OVERLOADED, "come back later", Duration.ofSeconds(2)));
	}

	// A standard client of the OpenAI API gets 503 and shows "status code (no body)": it
	// looks for the member "error" of the body, and a problem document had none.
	@Test
	void shouldCarryMessageWhereClientsOfTheOpenAiApiLook() {
		JsonNode error = ProblemDocument.of(OVERLOADED, "r1").path("error");
		assertThat(error.path("message").asText()).isEqualTo("come back later");
		assertThat(error.path("code").asText()).isEqualTo("overloaded");
	}

}
