package org.rosemaryfront.standin.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** JSON bodies of the stand-ins' servers. */
public final class StandInJson {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private StandInJson() {
	}

	/**
	 * An empty document.
	 * @return the document
	 */
	public static ObjectNode object() {
		return MAPPER.createObjectNode();
	}

	/**
	 * Turns any value into a document.
	 * @param value the value
	 * @return the document
	 */
	public static JsonNode of(Object value) {
		return MAPPER.valueToTree(value);
	}

	/**
	 * Reads a document.
	 * @param text its text
	 * @return the document, empty when the text is no JSON
	 */
	public static JsonNode parse(String text) {
		try {
			return MAPPER.readTree(text.isEmpty() ? "{}" : text);
		}
		catch (JsonProcessingException ex) {
			return object();
		}
	}

	/**
	 * Reads the body of a request.
	 * @param request the request
	 * @return its text, empty when there is none
	 */
	public static Mono<String> body(HttpServerRequest request) {
		return request.receive().aggregate().asString().defaultIfEmpty("");
	}

	/**
	 * Answers with a document.
	 * @param response the response
	 * @param status the status
	 * @param document the document
	 * @return when it was sent
	 */
	public static Mono<Void> answer(HttpServerResponse response, int status, Object document) {
		return response.status(status)
			.header("Content-Type", "application/json")
			.sendString(Mono.just(document.toString()))
			.then();
	}

}
