package org.rosemaryfront.load;

import java.util.random.RandomGenerator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.rosemaryfront.load.LoadSettings.Kind;
import org.rosemaryfront.load.LoadSettings.Organisation;
import org.rosemaryfront.standin.http.StandInJson;

/**
 * A request to a model, drawn from a seed.
 *
 * @param organisation who sends it
 * @param path the path of the call
 * @param body the body of the call
 * @param stream whether the answer is streamed
 * @param prompt the prompt as engines get it
 * @param adapter the name of the adapter, empty for none
 * @param maxTokens the greatest length of the answer, in tokens
 */
record ModelRequest(Organisation organisation, String path, String body, boolean stream, String prompt, String adapter,
		int maxTokens) {

	private static final int MAX_TOKENS = 256;

	private static final int CHAT_PROMPT = 96;

	private static final int SUMMARY_PROMPT = 960;

	private static final int SHORTEST_ANSWER = 8;

	private static final int ANSWER_LENGTHS = 56;

	static ModelRequest draw(LoadSettings settings, Kind kind, RandomGenerator random) {
		Organisation organisation = settings.organisations().get(random.nextInt(settings.organisations().size()));
		int choice = random.nextInt(settings.adapters().size() + 1);
		String adapter = (choice > 0) ? settings.adapters().get(choice - 1) : "";
		String question = "question " + Long.toHexString(random.nextLong()) + " length="
				+ (SHORTEST_ANSWER + random.nextInt(ANSWER_LENGTHS));
		ObjectNode body = StandInJson.object()
			.put("model", adapter.isEmpty() ? settings.model() : adapter)
			.put("max_tokens", MAX_TOKENS)
			.put("stream", kind != Kind.WHOLE);
		if (kind == Kind.SUMMARY) {
			String prompt = history(organisation, random.nextInt(4), SUMMARY_PROMPT) + question;
			body.put("prompt", prompt).put("service_tier", "summary");
			return new ModelRequest(organisation, "/v1/completions", body.toString(), true, prompt, adapter,
					MAX_TOKENS);
		}
		String system = history(organisation, 0, CHAT_PROMPT);
		ArrayNode messages = body.putArray("messages");
		messages.addObject().put("role", "system").put("content", system);
		messages.addObject().put("role", "user").put("content", question);
		return new ModelRequest(organisation, "/v1/chat/completions", body.toString(), kind != Kind.WHOLE,
				"system: " + system + "\nuser: " + question, adapter, MAX_TOKENS);
	}

	// Words that an organisation's requests have in common.
	private static String history(Organisation organisation, int round, int words) {
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < words; i++) {
			text.append(organisation.name()).append('-').append(round).append('-').append(i).append(' ');
		}
		return text.toString();
	}

	AnswerCheck check(String model) {
		return AnswerCheck.of(this.prompt, model, this.adapter, this.maxTokens);
	}

}
