package org.rosemaryfront.entry;

import java.io.IOException;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;

import org.rosemaryfront.entry.CompletionCall.Form;
import org.rosemaryfront.model.Problem;
import org.rosemaryfront.model.ProblemCode;
import org.rosemaryfront.model.RosemaryException;

/**
 * Reads the bodies of chat and text completions. The standard fields of the OpenAI API
 * that do not apply are checked for nothing and ignored; fields outside it are refused,
 * since a misspelt field would otherwise change an answer silently.
 */
final class CompletionParser {

	private static final int STANDARD_MAX_TOKENS = 256;

	private static final int GREATEST_MAX_TOKENS = 1_000_000;

	private static final Set<String> COMMON = Set.of("model", "max_tokens", "stream", "stream_options", "service_tier",
			"n", "temperature", "top_p", "user", "stop", "seed", "presence_penalty", "frequency_penalty", "logit_bias",
			"logprobs", "metadata", "store", "safety_identifier", "prompt_cache_key");

	private static final Map<Form, Set<String>> OWN = Map.of(Form.CHAT,
			Set.of("messages", "max_completion_tokens", "top_logprobs", "response_format", "tools", "tool_choice",
					"parallel_tool_calls", "reasoning_effort", "verbosity", "modalities"),
			Form.TEXT, Set.of("prompt", "best_of", "echo", "suffix"));

	private static final JsonMapper MAPPER = JsonMapper.builder()
		.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.build();

	private CompletionParser() {
	}

	/**
	 * Reads a body.
	 * @param form the form of the completion
	 * @param body the body
	 * @return the call
	 * @throws RosemaryException with {@link ProblemCode#BAD_REQUEST} naming the field
	 */
	static CompletionCall parse(Form form, byte[] body) {
		JsonNode root = readObject(body);
		refuseUnknownFields(form, root);
		requireOneChoice(root, "n");
		requireOneChoice(root, "best_of");
		boolean streamed = flag(root, "stream");
		JsonNode options = present(root.path("stream_options")) ? root.get("stream_options")
				: MAPPER.createObjectNode();
		if (!options.isObject()) {
			throw bad("stream_options", "an object");
		}
		return new CompletionCall(form, text(root, "model"), prompt(form, root), maxTokens(root), streamed,
				flag(options, "include_usage"), tier(root), body);
	}

	private static JsonNode readObject(byte[] body) {
		try {
			JsonNode root = MAPPER.readTree(body);
			if (root == null || !root.isObject()) {
				throw bad("the body is not a JSON object");
			}
			return root;
		}
		catch (JsonProcessingException ex) {
			throw bad("the body is no valid JSON: " + ex.getOriginalMessage());
		}
		catch (IOException ex) {
			throw bad("the body cannot be read: " + ex.getMessage());
		}
	}

	private static void refuseUnknownFields(Form form, JsonNode root) {
		root.fieldNames().forEachRemaining((field) -> {
			if (!COMMON.contains(field) && !OWN.get(form).contains(field)) {
				throw bad("the field '" + field + "' is unknown");
			}
		});
	}

	private static void requireOneChoice(JsonNode root, String field) {
		JsonNode value = root.path(field);
		if (present(value) && !(value.isInt() && value.intValue() == 1)) {
			throw bad("the field '" + field + "' must be 1: a request has one answer");
		}
	}

	private static String prompt(Form form, JsonNode root) {
		String prompt = switch (form) {
			case TEXT -> text(root, "prompt");
			case CHAT -> messages(root.path("messages"));
		};
		if (prompt.isBlank()) {
			throw bad("the prompt is empty");
		}
		return prompt;
	}

	private static String messages(JsonNode messages) {
		if (!messages.isArray() || messages.isEmpty()) {
			throw bad("messages", "a list of at least one message");
		}
		StringJoiner prompt = new StringJoiner("\n");
		messages.forEach((message) -> {
			if (!message.isObject()) {
				throw bad("messages", "a list of objects");
			}
			prompt.add(text(message, "role") + ": " + content(message.path("content")));
		});
		return prompt.toString();
	}

	private static String content(JsonNode content) {
		if (content.isTextual()) {
			return content.textValue();
		}
		if (!content.isArray()) {
			throw bad("content", "a text or a list of text parts");
		}
		StringBuilder joined = new StringBuilder();
		content.forEach((part) -> {
			if (!part.path("type").asText().equals("text")) {
				throw bad("content", "made of parts of the type 'text'");
			}
			joined.append(text(part, "text"));
		});
		return joined.toString();
	}

	private static int maxTokens(JsonNode root) {
		String field = present(root.path("max_completion_tokens")) ? "max_completion_tokens" : "max_tokens";
		JsonNode value = root.path(field);
		if (!present(value)) {
			return STANDARD_MAX_TOKENS;
		}
		if (!value.isInt() || value.intValue() < 1 || value.intValue() > GREATEST_MAX_TOKENS) {
			throw bad(field, "a whole number from 1 to " + GREATEST_MAX_TOKENS);
		}
		return value.intValue();
	}

	private static String tier(JsonNode root) {
		String tier = present(root.path("service_tier")) ? text(root, "service_tier") : "";
		return (tier.equals("auto") || tier.equals("default")) ? "" : tier;
	}

	private static String text(JsonNode object, String field) {
		JsonNode value = object.path(field);
		if (!value.isTextual()) {
			throw bad(field, "a text");
		}
		return value.textValue();
	}

	private static boolean flag(JsonNode object, String field) {
		JsonNode value = object.path(field);
		if (present(value) && !value.isBoolean()) {
			throw bad(field, "true or false");
		}
		return value.asBoolean(false);
	}

	private static boolean present(JsonNode value) {
		return !value.isMissingNode() && !value.isNull();
	}

	private static RosemaryException bad(String field, String wanted) {
		return bad("the field '" + field + "' must be " + wanted);
	}

	private static RosemaryException bad(String detail) {
		return RosemaryException.of(Problem.notRun(ProblemCode.BAD_REQUEST, detail));
	}

}
