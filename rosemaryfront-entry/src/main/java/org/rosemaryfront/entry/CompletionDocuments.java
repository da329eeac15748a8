package org.rosemaryfront.entry;

import java.util.List;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.rosemaryfront.entry.CompletionCall.Form;

/**
 * Writes the documents of the OpenAI API: whole answers, the data of server-sent events
 * and lists of models.
 */
final class CompletionDocuments {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private CompletionDocuments() {
	}

	// -- whole answers

	/**
	 * A whole answer.
	 * @param head what it names
	 * @param tokens the tokens
	 * @param reason {@code stop} or {@code length}
	 * @return the document
	 */
	static String whole(Head head, List<String> tokens, String reason) {
		ObjectNode document = start(head, head.form().wholeObject());
		ObjectNode choice = document.putArray("choices").addObject();
		choice.put("index", 0);
		String text = String.join("", tokens);
		switch (head.form()) {
			case CHAT -> choice.putObject("message").put("role", "assistant").put("content", text);
			case TEXT -> choice.put("text", text);
		}
		choice.putNull("logprobs");
		choice.put("finish_reason", reason);
		usage(document, head, tokens.size());
		return document.toString();
	}

	/**
	 * An answer that is not whole yet.
	 * @param id the request's identifier
	 * @return the document
	 */
	static String running(String id) {
		return MAPPER.createObjectNode().put("id", id).put("status", "running").toString();
	}

	// -- server-sent events

	/**
	 * The event of a token.
	 * @param head what it names
	 * @param index the token's place, from 0
	 * @param text the token
	 * @return the event
	 */
	static String token(Head head, int index, String text) {
		ObjectNode document = start(head, head.form().chunkObject());
		ObjectNode choice = choice(document);
		switch (head.form()) {
			case CHAT -> {
				ObjectNode delta = choice.putObject("delta");
				if (index == 0) {
					delta.put("role", "assistant");
				}
				delta.put("content", text);
			}
			case TEXT -> choice.put("text", text);
		}
		choice.putNull("finish_reason");
		return event(head, index + 1, document);
	}

	/**
	 * The events that end a whole answer.
	 * @param head what they name
	 * @param tokens the length of the answer
	 * @param reason {@code stop} or {@code length}
	 * @param includeUsage whether an event tells the usage
	 * @return the events, the last one {@code [DONE]}
	 */
	static String end(Head head, int tokens, String reason, boolean includeUsage) {
		ObjectNode document = start(head, head.form().chunkObject());
		ObjectNode choice = choice(document);
		switch (head.form()) {
			case CHAT -> choice.putObject("delta");
			case TEXT -> choice.put("text", "");
		}
		choice.put("finish_reason", reason);
		StringBuilder events = new StringBuilder(event(head, tokens, document));
		if (includeUsage) {
			ObjectNode last = start(head, head.form().chunkObject());
			last.putArray("choices");
			usage(last, head, tokens);
			events.append(event(head, tokens, last));
		}
		return events.append("data: [DONE]\n\n").toString();
	}

	private static String event(Head head, int offset, ObjectNode document) {
		return "id: " + head.id() + ":" + offset + "\ndata: " + document + "\n\n";
	}

	// -- models

	/**
	 * A list of models.
	 * @param names the names of models and adapters
	 * @return the document
	 */
	static String models(List<String> names) {
		ObjectNode document = MAPPER.createObjectNode();
		document.put("object", "list");
		document.putArray("data").addAll(names.stream().map(CompletionDocuments::modelNode).toList());
		return document.toString();
	}

	/**
	 * One model.
	 * @param name the name
	 * @return the document
	 */
	static String model(String name) {
		return modelNode(name).toString();
	}

	private static ObjectNode modelNode(String name) {
		return MAPPER.createObjectNode()
			.put("id", name)
			.put("object", "model")
			.put("created", 0)
			.put("owned_by", "rosemaryfront");
	}

	// -- parts

	private static ObjectNode start(Head head, String object) {
		return MAPPER.createObjectNode()
			.put("id", head.id())
			.put("object", object)
			.put("created", head.createdSeconds())
			.put("model", head.model());
	}

	private static ObjectNode choice(ObjectNode document) {
		return document.putArray("choices").addObject().put("index", 0);
	}

	private static void usage(ObjectNode document, Head head, int tokens) {
		document.putObject("usage")
			.put("prompt_tokens", head.promptTokens())
			.put("completion_tokens", tokens)
			.put("total_tokens", head.promptTokens() + tokens);
	}

	/**
	 * What every document of an answer names.
	 *
	 * @param id the request's identifier
	 * @param model the name of the model that the caller gave
	 * @param createdSeconds when the request was accepted, in seconds since 1970
	 * @param promptTokens the length of the prompt, in tokens
	 */
	record Head(String id, String model, long createdSeconds, int promptTokens) {

		static Head of(AcceptedRequest request) {
			return new Head(request.id().value(), request.call().model(), request.createdSeconds(),
					request.spec().promptTokens());
		}

		Form form() {
			return Form.ofId(this.id);
		}

	}

}
