package org.rosemaryfront.entry;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * A caller with the JDK's HTTP client.
 */
final class Caller {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private static final HttpClient CLIENT = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.followRedirects(HttpClient.Redirect.NEVER)
		.build();

	private Caller() {
	}

	static String chat(int maxTokens, boolean streamed) {
		return "{\"model\":\"rounds\",\"messages\":[{\"role\":\"user\",\"content\":\"draft a quote\"}],\"max_tokens\":"
				+ maxTokens + ",\"stream\":" + streamed + "}";
	}

	static String words(int from, int to) {
		StringBuilder words = new StringBuilder();
		for (int i = from; i < to; i++) {
			words.append(" w").append(i);
		}
		return words.toString();
	}

	static HttpResponse<String> post(TestEntry entry, String path, String body) {
		return send(request(entry, path, TestEntry.KEY).POST(BodyPublishers.ofString(body)).build());
	}

	static HttpResponse<String> get(TestEntry entry, String path, String key) {
		return send(request(entry, path, key).build());
	}

	static HttpRequest.Builder request(TestEntry entry, String path, String key) {
		return HttpRequest.newBuilder(URI.create("http://" + entry.address() + path))
			.timeout(Duration.ofSeconds(30))
			.header("Authorization", "Bearer " + key);
	}

	static HttpResponse<String> send(HttpRequest request) {
		try {
			return CLIENT.send(request, BodyHandlers.ofString());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	static Events stream(TestEntry entry, String body) {
		return events(
				request(entry, "/v1/chat/completions", TestEntry.KEY).POST(BodyPublishers.ofString(body)).build());
	}

	static Events resume(TestEntry entry, String id, int offset) {
		return events(
				request(entry, "/v1/results/" + id, TestEntry.KEY).header("Last-Event-ID", id + ":" + offset).build());
	}

	private static Events events(HttpRequest request) {
		try {
			return new Events(CLIENT.send(request, BodyHandlers.ofInputStream()));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	static JsonNode json(String text) {
		try {
			return MAPPER.readTree(text);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/** A stream of server-sent events as the caller reads it. */
	static final class Events implements AutoCloseable {

		private final HttpResponse<InputStream> response;

		private final BufferedReader lines;

		private final StringBuilder text = new StringBuilder();

		private final List<String> ids = new ArrayList<>();

		private final List<String> comments = new ArrayList<>();

		private String finishReason = "";

		private String error = "";

		private boolean done;

		private Events(HttpResponse<InputStream> response) {
			this.response = response;
			this.lines = new BufferedReader(new InputStreamReader(response.body(), StandardCharsets.UTF_8));
		}

		/**
		 * Reads until so many events with an id came, or the end.
		 * @param events the number of events
		 * @return this
		 */
		Events read(int events) {
			try {
				String line = "";
				while (this.ids.size() < events && line != null) {
					line = this.lines.readLine();
					if (line != null) {
						take(line);
					}
				}
			}
			catch (IOException ex) {
				// the connection broke off, which is an end too
			}
			return this;
		}

		/**
		 * Reads until the next comment, or the end.
		 * @return this
		 */
		Events readComment() {
			int before = this.comments.size();
			try {
				String line = "";
				while (this.comments.size() == before && line != null) {
					line = this.lines.readLine();
					if (line != null) {
						take(line);
					}
				}
			}
			catch (IOException ex) {
				// the connection broke off, which is an end too
			}
			return this;
		}

		Events readAll() {
			return read(Integer.MAX_VALUE);
		}

		private void take(String line) throws IOException {
			if (line.startsWith("id: ")) {
				this.ids.add(line.substring(4));
				take(this.lines.readLine());
			}
			else if (line.startsWith(":")) {
				this.comments.add(line);
			}
			else if (line.equals("data: [DONE]")) {
				this.done = true;
			}
			else if (line.startsWith("event: error")) {
				this.error = this.lines.readLine().substring(6);
			}
			else if (line.startsWith("data: ")) {
				JsonNode choice = json(line.substring(6)).path("choices").path(0);
				this.text.append(choice.path("delta").path("content").asText(""));
				this.finishReason = choice.path("finish_reason").asText(this.finishReason);
			}
		}

		int status() {
			return this.response.statusCode();
		}

		String id() {
			return this.response.headers().firstValue("X-Request-Id").orElse("");
		}

		String text() {
			return this.text.toString();
		}

		List<String> ids() {
			return this.ids;
		}

		List<String> comments() {
			return this.comments;
		}

		String finishReason() {
			return this.finishReason;
		}

		String error() {
			return this.error;
		}

		boolean done() {
			return this.done;
		}

		@Override
		public void close() {
			try {
				this.response.body().close();
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

	}

}
