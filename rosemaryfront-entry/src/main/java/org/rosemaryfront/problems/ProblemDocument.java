package org.rosemaryfront.problems;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpHeaderNames;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

import org.rosemaryfront.model.Problem;
import org.rosemaryfront.model.ProblemCode;
import org.rosemaryfront.model.Verdict;

/**
 * The form of a problem on the wire, {@code application/problem+json}, for callers,
 * operators and peers alike; docs/INTERFACES.md describes it.
 *
 * <pre>
 * return ProblemDocument.send(response, Problem.notRun(ProblemCode.NOT_FOUND, "no such service"), request);
 * </pre>
 */
public final class ProblemDocument {

	private static final String MEDIA_TYPE = "application/problem+json";

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private ProblemDocument() {
	}

	// -- documents

	/**
	 * The document of a problem.
	 * @param problem the problem
	 * @param request the identifier of the request, empty when it has none
	 * @return the document, to which the caller may add members
	 */
	public static ObjectNode of(Problem problem, String request) {
		Objects.requireNonNull(problem, "problem is null");
		Objects.requireNonNull(request, "request is null");
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
		addErrorObject(document, problem);
		return document;
	}

	/**
	 * Reads a document that a peer wrote.
	 * @param document the document
	 * @return the problem
	 */
	public static Problem read(String document) {
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

	// Clients of the OpenAI API read the message of an error from this member only.
	private static void addErrorObject(ObjectNode document, Problem problem) {
		document.putObject("error")
			.put("message", problem.detail())
			.put("type", problem.code().code())
			.put("code", problem.code().code());
	}

	private static long retrySeconds(Duration delay) {
		return Math.max(1, delay.plusMillis(999).toSeconds());
	}

	private static Verdict verdict(String code) {
		return switch (code) {
			case "not-run" -> Verdict.notRun();
			case "ran" -> Verdict.ran();
			default -> Verdict.mayHaveRun();
		};
	}

	// -- answers

	/**
	 * Answers a request by a problem.
	 * @param response where to answer
	 * @param problem the problem
	 * @param request the identifier of the request, empty when it has none
	 * @return when the answer is sent
	 */
	public static Mono<Void> send(HttpServerResponse response, Problem problem, String request) {
		return send(response, problem, of(problem, request));
	}

	/**
	 * Answers a request by a problem whose document says more.
	 * @param response where to answer
	 * @param problem the problem
	 * @param document its document with what was added
	 * @return when the answer is sent
	 */
	public static Mono<Void> send(HttpServerResponse response, Problem problem, ObjectNode document) {
		byte[] body = document.toString().getBytes(StandardCharsets.UTF_8);
		response.status(problem.code().status())
			.header(HttpHeaderNames.CONTENT_TYPE, MEDIA_TYPE)
			.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length));
		if (problem.code() == ProblemCode.UNAUTHENTICATED) {
			response.header(HttpHeaderNames.WWW_AUTHENTICATE, "Bearer");
		}
		problem.retryAfter()
			.ifPresent((delay) -> response.header(HttpHeaderNames.RETRY_AFTER, Long.toString(retrySeconds(delay))));
		return response.sendByteArray(Mono.just(body)).then();
	}

}
