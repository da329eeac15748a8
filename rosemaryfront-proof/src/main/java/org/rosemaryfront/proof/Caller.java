package org.rosemaryfront.proof;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.IntConsumer;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * A caller of the system, written against the published protocol only.
 *
 * <pre>
 * try (Caller caller = Caller.of("sfax", "demo-key-sfax", List.of("http://127.0.0.1:4000"))) {
 *     caller.chat("round-assistant", "Draft a quote", 64, (tokens) -> { });
 * }
 * </pre>
 */
public final class Caller implements AutoCloseable {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private static final Duration TIMEOUT = Duration.ofSeconds(60);

	private static final int RETURNS = 40;

	private static final Duration RETURN_DELAY = Duration.ofMillis(250);

	private final String organisation;

	private final String key;

	private final List<String> entries;

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(5))
		.build();

	private Caller(String organisation, String key, List<String> entries) {
		this.organisation = organisation;
		this.key = key;
		this.entries = entries;
	}

	// -- factories

	/**
	 * A caller with a key.
	 * @param organisation the name of its organisation
	 * @param key its bearer key
	 * @param entries the base URLs of the entries; the first is asked first
	 * @return the caller
	 */
	public static Caller of(String organisation, String key, List<String> entries) {
		return new Caller(Objects.requireNonNull(organisation, "organisation is null"),
				Objects.requireNonNull(key, "key is null"), List.copyOf(entries));
	}

	// -- calls

	/**
	 * Makes a call to a plain service.
	 * @param entry the index of the entry to ask
	 * @param path the path after {@code /services/}
	 * @param idempotencyKey the idempotency key
	 * @param body the JSON body
	 * @return the answer
	 */
	public Answer post(int entry, String path, String idempotencyKey, String body) {
		HttpRequest request = request(entry, "/services/" + path).header("Idempotency-Key", idempotencyKey)
			.header("Content-Type", "application/json")
			.POST(HttpRequest.BodyPublishers.ofString(body))
			.build();
		return Answer.of(send(request));
	}

	/**
	 * Asks for a streamed chat answer and comes back until it is whole or refused.
	 * @param model the name of the model or adapter
	 * @param question the user's message
	 * @param maxTokens the greatest length of the answer
	 * @param progress takes the number of tokens after each token
	 * @return what was received
	 */
	public Streamed chat(String model, String question, int maxTokens, IntConsumer progress) {
		HttpRequest first = request(0, "/v1/chat/completions").header("Content-Type", "application/json")
			.POST(HttpRequest.BodyPublishers.ofString(chatBody(model, question, maxTokens, true)))
			.build();
		Reading reading = new Reading(progress);
		read(first, reading);
		for (int turn = 1; !reading.ended() && !reading.request.isEmpty() && turn <= RETURNS; turn++) {
			Pause.of(RETURN_DELAY);
			HttpRequest again = request(turn % this.entries.size(), "/v1/results/" + reading.request)
				.header("Last-Event-ID", reading.lastEventId)
				.header("Accept", "text/event-stream")
				.GET()
				.build();
			read(again, reading);
		}
		return reading.result();
	}

	/**
	 * Asks for a whole chat answer, and follows it to other entries until it is there.
	 * @param model the name of the model or adapter
	 * @param question the user's message
	 * @param maxTokens the greatest length of the answer
	 * @return what was received
	 */
	public Whole whole(String model, String question, int maxTokens) {
		HttpRequest request = request(0, "/v1/chat/completions").header("Content-Type", "application/json")
			.POST(HttpRequest.BodyPublishers.ofString(chatBody(model, question, maxTokens, false)))
			.build();
		Whole whole = Whole.of(send(request));
		for (int turn = 1; whole.moved() && turn <= RETURNS; turn++) {
			Pause.of(RETURN_DELAY);
			whole = whole.then(result(turn % this.entries.size(), whole.request()));
		}
		return whole;
	}

	/**
	 * Asks an entry for the answer of an accepted request.
	 * @param entry the index of the entry to ask
	 * @param request the identifier of the request
	 * @return the answer
	 */
	public Answer result(int entry, String request) {
		return Answer.of(send(request(entry, "/v1/results/" + request).GET().build()));
	}

	/**
	 * The organisation of this caller.
	 * @return its name
	 */
	public String organisation() {
		return this.organisation;
	}

	@Override
	public void close() {
		this.client.shutdownNow();
	}

	private static String chatBody(String model, String question, int maxTokens, boolean stream) {
		return MAPPER.createObjectNode()
			.put("model", model)
			.put("stream", stream)
			.put("max_tokens", maxTokens)
			.set("messages",
					MAPPER.createArrayNode()
						.add(MAPPER.createObjectNode().put("role", "user").put("content", question)))
			.toString();
	}

	private Optional<HttpResponse<String>> send(HttpRequest request) {
		try {
			return Optional.of(this.client.send(request, HttpResponse.BodyHandlers.ofString()));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
		catch (InterruptedException ex) {
			throw interrupted(ex);
		}
	}

	private HttpRequest.Builder request(int entry, String path) {
		return HttpRequest.newBuilder(URI.create(this.entries.get(entry) + path))
			.timeout(TIMEOUT)
			.header("Authorization", "Bearer " + this.key);
	}

	private void read(HttpRequest request, Reading reading) {
		reading.connections++;
		try {
			HttpResponse<Stream<String>> response = this.client.send(request, HttpResponse.BodyHandlers.ofLines());
			reading.status = response.statusCode();
			response.headers().firstValue("X-Request-Id").ifPresent((id) -> reading.request = id);
			try (Stream<String> lines = response.body()) {
				lines.forEach(reading::line);
			}
		}
		catch (IOException | UncheckedIOException ex) {
			reading.breaks++;
		}
		catch (InterruptedException ex) {
			throw interrupted(ex);
		}
	}

	private static IllegalStateException interrupted(InterruptedException ex) {
		Thread.currentThread().interrupt();
		return new IllegalStateException(ex);
	}

	/**
	 * An answer to a call.
	 *
	 * @param status the HTTP status, 0 when the connection broke
	 * @param body the body
	 */
	public record Answer(int status, String body) {

		private static Answer of(Optional<HttpResponse<String>> response) {
			return response.map((found) -> new Answer(found.statusCode(), found.body())).orElse(new Answer(0, ""));
		}

		/**
		 * What the answer says of the call.
		 * @return the verdict's code; a service's own answer says that it ran, a broken
		 * connection that it may have
		 */
		public String verdict() {
			if (this.status == 0) {
				return "may-have-run";
			}
			try {
				return MAPPER.readTree(this.body).path("verdict").asText("ran");
			}
			catch (JsonProcessingException ex) {
				return "ran";
			}
		}

	}

	/**
	 * A whole answer.
	 *
	 * @param status the HTTP status of the last response, 0 when its connection broke
	 * @param request the identifier of the request, empty when no response named it
	 * @param text the text received
	 * @param connections the number of connections it took
	 * @param body the body of the last response
	 */
	public record Whole(int status, String request, String text, int connections, String body) {

		private static Whole of(Optional<HttpResponse<String>> response) {
			String request = response.flatMap((found) -> found.headers().firstValue("X-Request-Id")).orElse("");
			return new Whole(0, request, "", 0, "").then(Answer.of(response));
		}

		// A connection to an entry that has stopped breaks; the request is known by then.
		private boolean moved() {
			boolean elsewhere = this.status == 303 || this.status == 202 || this.status == 0;
			return elsewhere && !this.request.isEmpty();
		}

		private Whole then(Answer answer) {
			return new Whole(answer.status(), this.request, text(answer), this.connections + 1, answer.body());
		}

		private static String text(Answer answer) {
			try {
				return MAPPER.readTree(answer.body()).at("/choices/0/message/content").asText("");
			}
			catch (JsonProcessingException ex) {
				return "";
			}
		}

	}

	/**
	 * A streamed answer.
	 *
	 * @param status the HTTP status of the last response
	 * @param request the identifier of the request
	 * @param text the text received
	 * @param tokens the number of tokens received
	 * @param connections the number of connections it took
	 * @param whole whether the end marker came
	 * @param problem the error document, if one came
	 */
	public record Streamed(int status, String request, String text, int tokens, int connections, boolean whole,
			Optional<String> problem) {
	}

	private static final class Reading {

		private final IntConsumer progress;

		private final List<String> tokens = new ArrayList<>();

		private String request = "";

		private String lastEventId = "";

		private String problem;

		private int status;

		private int connections;

		private int breaks;

		private boolean done;

		private Reading(IntConsumer progress) {
			this.progress = progress;
		}

		private boolean ended() {
			return this.done || this.problem != null;
		}

		private void line(String line) {
			if (line.startsWith("id:")) {
				this.lastEventId = line.substring(3).trim();
				int colon = this.lastEventId.lastIndexOf(':');
				this.request = (colon > 0) ? this.lastEventId.substring(0, colon) : this.request;
			}
			else if (line.startsWith("data:")) {
				data(line.substring(5).trim());
			}
			else if (line.startsWith("{")) {
				this.problem = line;
			}
		}

		private void data(String data) {
			if (data.equals("[DONE]")) {
				this.done = true;
				return;
			}
			try {
				JsonNode event = MAPPER.readTree(data);
				if (event.has("verdict")) {
					this.problem = data;
					return;
				}
				String text = event.path("choices").path(0).path("delta").path("content").asText("");
				if (!text.isEmpty()) {
					this.tokens.add(text);
					this.progress.accept(this.tokens.size());
				}
			}
			catch (JsonProcessingException ex) {
				this.problem = data;
			}
		}

		private Streamed result() {
			return new Streamed(this.status, this.request, String.join("", this.tokens), this.tokens.size(),
					this.connections, this.done, Optional.ofNullable(this.problem));
		}

	}

}
