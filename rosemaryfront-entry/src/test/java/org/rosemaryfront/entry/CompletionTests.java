package org.rosemaryfront.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rosemaryfront.entry.Caller.Events;

import static org.assertj.core.api.Assertions.assertThat;

class CompletionTests {

	private static final String CHAT = "/v1/chat/completions";

	private FakeEngine engine;

	private TestEntry entry;

	@BeforeEach
	void start() {
		this.engine = FakeEngine.start();
		this.entry = TestEntry.start("e1", new EntrySettings.Limits(4_096, 0, 300, 3, 0));
		this.entry.see("r1", "tunis-a", this.engine);
	}

	@AfterEach
	void stop() {
		this.entry.close();
		this.engine.close();
	}

	// -- whole answers

	@Test
	void shouldAnswerWholeChatCompletion() {
		HttpResponse<String> response = Caller.post(this.entry, CHAT, Caller.chat(5, false));
		assertThat(response.statusCode()).isEqualTo(200);
		JsonNode answer = Caller.json(response.body());
		assertThat(answer.path("object").asText()).isEqualTo("chat.completion");
		assertThat(answer.at("/choices/0/message/content").asText()).isEqualTo(Caller.words(0, 5));
		assertThat(answer.at("/choices/0/finish_reason").asText()).isEqualTo("length");
		assertThat(answer.at("/usage/completion_tokens").asInt()).isEqualTo(5);
		assertThat(answer.at("/usage/prompt_tokens").asInt()).isEqualTo(4);
		assertThat(response.headers().firstValue("X-Request-Id")).contains(answer.path("id").asText());
		assertThat(this.engine.orders().getFirst().path("prompt").asText()).isEqualTo("user: draft a quote");
	}

	@Test
	void shouldAnswerWholeTextCompletionOfAdapter() {
		HttpResponse<String> response = Caller.post(this.entry, "/v1/completions",
				"{\"model\":\"quotes\",\"prompt\":\"villa by the sea\",\"max_tokens\":3,\"temperature\":0.2,\"n\":1}");
		assertThat(Caller.json(response.body()).at("/choices/0/text").asText()).isEqualTo(Caller.words(0, 3));
		assertThat(this.engine.orders().getFirst().path("model").asText()).isEqualTo("rounds");
		assertThat(this.engine.orders().getFirst().path("adapter").asText()).isEqualTo("quotes");
	}

	// -- streams

	@Test
	void shouldStreamEventsWithConsecutiveIds() {
		try (Events events = Caller.stream(this.entry, Caller.chat(4, true)).readAll()) {
			assertThat(events.status()).isEqualTo(200);
			assertThat(events.text()).isEqualTo(Caller.words(0, 4));
			assertThat(events.ids()).containsExactly(events.id() + ":1", events.id() + ":2", events.id() + ":3",
					events.id() + ":4", events.id() + ":4");
			assertThat(events.finishReason()).isEqualTo("length");
			assertThat(events.done()).isTrue();
		}
	}

	@Test
	void shouldSendHeartbeatsWhileNoTokenComes() {
		this.engine.openGate(1);
		try (Events events = Caller.stream(this.entry, Caller.chat(2, true)).read(1).readComment()) {
			assertThat(events.comments()).containsExactly(": heartbeat");
			this.engine.openGate(2);
			events.readAll();
			assertThat(events.text()).isEqualTo(Caller.words(0, 2));
			assertThat(events.done()).isTrue();
		}
	}

	@Test
	void shouldResumeStreamAtOffset() {
		this.engine.openGate(6);
		try (Events first = Caller.stream(this.entry, Caller.chat(10, true)).read(4)) {
			first.close();
			this.engine.openGate(10);
			try (Events rest = Caller.resume(this.entry, first.id(), 4).readAll()) {
				assertThat(first.text() + rest.text()).isEqualTo(Caller.words(0, 10));
				assertThat(rest.ids().getFirst()).isEqualTo(first.id() + ":5");
				assertThat(rest.done()).isTrue();
			}
		}
	}

	// -- keys

	@Test
	void shouldAnswerNotFoundWhenOtherOrganisationAsksForResult() {
		String id = Caller.json(Caller.post(this.entry, CHAT, Caller.chat(2, false)).body()).path("id").asText();
		HttpResponse<String> foreign = Caller.get(this.entry, "/v1/results/" + id, TestEntry.RIVAL_KEY);
		HttpResponse<String> unknown = Caller.get(this.entry, "/v1/results/chatcmpl-0", TestEntry.RIVAL_KEY);
		assertThat(foreign.statusCode()).isEqualTo(404);
		assertThat(foreign.body()).isEqualTo(unknown.body());
		assertThat(Caller.get(this.entry, "/v1/results/" + id, TestEntry.KEY).statusCode()).isEqualTo(200);
	}

	@ParameterizedTest
	@ValueSource(strings = { "/v1/models", "/v1/results/chatcmpl-0", "/v1/nothing", "/services/booking/bookings" })
	void shouldAnswerUnauthenticatedWhenKeyIsUnknown(String path) {
		HttpResponse<String> response = Caller.get(this.entry, path, "guessed");
		assertThat(response.statusCode()).isEqualTo(401);
		assertThat(Caller.json(response.body()).path("verdict").asText()).isEqualTo("not-run");
	}

	// -- bad input

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			{"model":"rounds","prompt":"a","n":2}                  | 'n'
			{"model":"rounds","prompt":"a","max_tokens":"many"}    | 'max_tokens'
			{"model":"rounds","prompt":"a","max_tokens":0}         | 'max_tokens'
			{"model":"rounds","prompt":"a","temprature":1}         | 'temprature'
			{"model":"rounds","prompt":7}                          | 'prompt'
			{"model":"rounds","prompt":"a","stream":"yes"}         | 'stream'
			{"model":"rounds","prompt":"a","service_tier":"gold"}  | 'gold'
			{"model":"rounds","prompt":"a"                         | valid JSON
			[]                                                     | JSON object
			{"model":"rounds","prompt":"a","prompt":"b"}           | prompt
			""", quoteCharacter = '`')
	void shouldNameFieldWhenBodyIsWrong(String body, String named) {
		HttpResponse<String> response = Caller.post(this.entry, "/v1/completions", body);
		assertThat(response.statusCode()).isEqualTo(400);
		JsonNode problem = Caller.json(response.body());
		assertThat(problem.path("detail").asText()).contains(named);
		assertThat(problem.path("verdict").asText()).isEqualTo("not-run");
		assertThat(this.engine.orders()).isEmpty();
	}

	@Test
	void shouldAnswerNotFoundWhenModelIsUnknown() {
		HttpResponse<String> response = Caller.post(this.entry, "/v1/completions",
				"{\"model\":\"other\",\"prompt\":\"a\"}");
		assertThat(response.statusCode()).isEqualTo(404);
		assertThat(response.headers().firstValue("Content-Type")).contains("application/problem+json");
	}

	@Test
	void shouldAnswerTooLargeWhenBodyExceedsLimit() {
		String body = "{\"model\":\"rounds\",\"prompt\":\"" + "a".repeat(5_000) + "\"}";
		assertThat(Caller.post(this.entry, "/v1/completions", body).statusCode()).isEqualTo(413);
		assertThat(this.engine.orders()).isEmpty();
	}

	/**
	 * A caller's phone loses its network in the middle of a body. The connection stays
	 * open at the entry and nothing more comes. Without a time limit the request would
	 * hold its place and its memory for good.
	 */
	@Test
	void shouldTimeOutWhenBodyIsSentByHalf() throws IOException {
		try (Socket socket = connect()) {
			OutputStream out = socket.getOutputStream();
			out.write(head(100).getBytes(StandardCharsets.US_ASCII));
			out.write("{\"model\":".getBytes(StandardCharsets.US_ASCII));
			out.flush();
			String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
			assertThat(answer).startsWith("HTTP/1.1 400").contains("not complete").contains("not-run");
		}
	}

	@Test
	void shouldRefuseWhenTooManyRequestsAreOpen() throws IOException {
		try (Socket first = connect(); Socket second = connect(); Socket third = connect()) {
			this.engine.openGate(0);
			String body = Caller.chat(2, false);
			for (Socket socket : new Socket[] { first, second, third }) {
				socket.getOutputStream().write((head(body.length()) + body).getBytes(StandardCharsets.US_ASCII));
			}
			Conditions.await("three streams", () -> this.engine.orders().size() == 3);
			HttpResponse<String> refused = Caller.post(this.entry, CHAT, body);
			assertThat(refused.statusCode()).isEqualTo(503);
			assertThat(refused.headers().firstValue("Retry-After")).contains("1");
			assertThat(Caller.json(refused.body()).path("verdict").asText()).isEqualTo("not-run");
		}
	}

	// -- other paths

	@Test
	void shouldListModelsOfOrganisation() {
		JsonNode list = Caller.json(Caller.get(this.entry, "/v1/models", TestEntry.KEY).body());
		assertThat(list.path("data").findValuesAsText("id")).containsExactly("quotes", "rounds");
	}

	@Test
	void shouldShowMetricsAfterAnswer() {
		Caller.post(this.entry, CHAT, Caller.chat(5, false));
		JsonNode metrics = Caller.json(Caller.get(this.entry, "/metrics", "").body());
		assertThat(metrics.at("/histograms/serving.firstToken.micros/count").asInt()).isEqualTo(1);
		assertThat(metrics.at("/histograms/serving.betweenTokens.micros/count").asInt()).isEqualTo(4);
		assertThat(metrics.at("/histograms/serving.queueing.micros/count").asInt()).isEqualTo(1);
	}

	private Socket connect() throws IOException {
		Socket socket = new Socket("127.0.0.1", Integer.parseInt(this.entry.address().split(":")[1]));
		socket.setSoTimeout(30_000);
		return socket;
	}

	private static String head(int length) {
		return "POST " + CHAT + " HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + TestEntry.KEY
				+ "\r\nContent-Length: " + length + "\r\n\r\n";
	}

	/**
	 * An entry has just started on a new VM and knows no configuration yet, and a
	 * balancer sends callers there. They read 401 with their good key, and one that came
	 * back for the rest of its answer gave it up.
	 */
	@Test
	void shouldSayNotReadyWhenNoKeyIsKnownYet() {
		this.entry.forgetConfiguration();
		HttpResponse<String> asked = Caller.post(this.entry, "/v1/chat/completions", Caller.chat(4, false));
		HttpResponse<String> cameBack = Caller.get(this.entry, "/v1/results/chatcmpl-0", TestEntry.KEY);
		assertThat(List.of(asked, cameBack)).allSatisfy((answer) -> {
			assertThat(answer.statusCode()).isEqualTo(503);
			assertThat(Caller.json(answer.body()).path("code").asText()).isEqualTo("not-ready");
			assertThat(Caller.json(answer.body()).path("verdict").asText()).isEqualTo("not-run");
		});
	}

}
