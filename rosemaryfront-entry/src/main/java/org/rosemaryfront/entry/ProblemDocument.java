package org.rosemaryfront.entry;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.rosemaryfront.model.Problem;
import org.rosemaryfront.model.ProblemCode;
import org.rosemaryfront.model.Verdict;

/**
 * Writes problems as {@code application/problem+json}, and reads those of peers.
 */
final class ProblemDocument {

	static final String MEDIA_TYPE = "application/problem+json";

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private ProblemDocument() {
	}

	/**
	 * Writes a problem.
	 * @param problem the problem
	 * @param request the identifier of the request, empty when it has none
	 * @return the document
	 */
	static String write(Problem problem, String request) {
		ObjectNode document = MAPPER.createObjectNode();
		document.put("type", "about:blank");
		document.put("title", problem.code().code().replace('-', ' '));
		document.put("status", problem.code().status());
		document.put("code", problem.code().code());
		document.put("verdict", problem.verdict().code());
		document.put("detail", problem.detail());
		if (!request.isEmpty()) {
			document.put("request", request);
		}
		problem.retryAfter().ifPresent((delay) -> document.put("retryAfterSeconds", retrySeconds(delay)));
		return document.toString();
	}

	/**
	 * Reads a document that a peer wrote.
	 * @param document the document
	 * @return the problem
	 */
	static Problem read(String document) {
		try {
			JsonNode root = MAPPER.readTree(document);
			ProblemCode code = Arrays.stream(ProblemCode.values())
				.filter((candidate) -> candidate.code().equals(root.path("code").asText()))
				.findFirst()
				.orElse(ProblemCode.INTERNAL);
			Optional<Duration> retryAfter = root.has("retryAfterSeconds")
					? Optional.of(Duration.ofSeconds(root.path("retryAfterSeconds").asLong())) : Optional.empty();
			return new Problem(code, verdict(root.path("verdict").asText()), root.path("detail").asText(), retryAfter);
		}
		catch (JsonProcessingException ex) {
			return Problem.of(ProblemCode.INTERNAL, Verdict.mayHaveRun(), "a peer's problem document cannot be read");
		}
	}

	/**
	 * The value of the header {@code Retry-After}.
	 * @param delay the delay
	 * @return seconds, rounded up
	 */
	static long retrySeconds(Duration delay) {
		return Math.max(1, delay.plusMillis(999).toSeconds());
	}

	private static Verdict verdict(String code) {
		return switch (code) {
			case "not-run" -> Verdict.notRun();
			case "ran" -> Verdict.ran();
			default -> Verdict.mayHaveRun();
		};
	}

}
