package org.rosemaryfront.services;

import java.time.Duration;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

import org.rosemaryfront.model.Problem;

/**
 * Writes an error as {@code application/problem+json}; docs/INTERFACES.md gives the form.
 */
final class ProblemAnswer {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private ProblemAnswer() {
	}

	/**
	 * Answers a call by a problem.
	 * @param response where to answer
	 * @param problem the problem
	 * @param request the identifier of the call
	 * @return when the answer is sent
	 */
	static Mono<Void> send(HttpServerResponse response, Problem problem, String request) {
		response.status(problem.code().status());
		response.header("Content-Type", "application/problem+json");
		problem.retryAfter().ifPresent((wait) -> response.header("Retry-After", Long.toString(secondsUp(wait))));
		byte[] body = document(problem, request).toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
		response.header("Content-Length", Integer.toString(body.length));
		return response.sendByteArray(Mono.just(body)).then();
	}

	private static ObjectNode document(Problem problem, String request) {
		ObjectNode document = MAPPER.createObjectNode();
		document.put("type", "about:blank");
		document.put("title", problem.code().code().replace('-', ' '));
		document.put("status", problem.code().status());
		document.put("code", problem.code().code());
		document.put("verdict", problem.verdict().code());
		document.put("detail", problem.detail());
		document.put("request", request);
		return document;
	}

	private static long secondsUp(Duration wait) {
		return Math.max(1, wait.plusMillis(999).toSeconds());
	}

}
