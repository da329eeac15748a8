package org.rosemaryfront.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

import org.rosemaryfront.standin.engine.StandInAnswer;
import org.rosemaryfront.standin.http.StandInJson;
import org.rosemaryfront.standin.http.StandInServer;
import org.rosemaryfront.standin.http.StandInServer.ListenSettings;

/** An entry that behaves well or badly as told, for tests of the load run. */
final class ScriptedEntry implements AutoCloseable {

	private final Map<String, JsonNode> requests = new ConcurrentHashMap<>();

	private final Map<String, Integer> executions = new ConcurrentHashMap<>();

	private final AtomicInteger numbers = new AtomicInteger();

	private final Behaviour behaviour;

	private final StandInServer server;

	ScriptedEntry(Behaviour behaviour) {
		this.behaviour = behaviour;
		this.server = StandInServer.start(new ListenSettings("127.0.0.1", 0),
				(routes) -> routes.post("/v1/chat/completions", this::complete)
					.post("/v1/completions", this::complete)
					.get("/v1/results/{request}", this::result)
					.post("/services/booking/{path}", this::book)
					.get("/standin/v1/executions", (_, response) -> StandInJson.answer(response, 200,
							StandInJson.of(new TreeMap<>(this.executions)))));
	}

	String url() {
		return "http://" + this.server.address();
	}

	private Publisher<Void> complete(HttpServerRequest request, HttpServerResponse response) {
		return StandInJson.body(request).flatMap((text) -> {
			if (this.behaviour == Behaviour.REFUSES) {
				return problem(response, 503, "overloaded", "not-run");
			}
			JsonNode body = StandInJson.parse(text);
			String id = "r" + this.numbers.incrementAndGet();
			this.requests.put(id, body);
			response.header("X-Request-Id", id);
			if (!body.path("stream").asBoolean()) {
				if (this.behaviour == Behaviour.REDIRECTS) {
					return response.status(303).header("Location", "/v1/results/" + id).send().then();
				}
				return StandInJson.answer(response, 200, whole(tokens(body)));
			}
			return stream(response, id, script(tokens(body)), 0);
		});
	}

	private Publisher<Void> result(HttpServerRequest request, HttpServerResponse response) {
		String id = request.param("request");
		JsonNode body = this.requests.get(id);
		if (this.behaviour == Behaviour.FORGETS || body == null) {
			return problem(response, 404, "unknown-request", "not-run");
		}
		if (!body.path("stream").asBoolean()) {
			return StandInJson.answer(response, 200, whole(tokens(body)));
		}
		String last = request.requestHeaders().get("Last-Event-ID");
		int offset = Integer.parseInt(last.substring(last.lastIndexOf(':') + 1));
		List<String> rest = new ArrayList<>(tokens(body).subList(offset, tokens(body).size()));
		rest.add("[DONE]");
		return stream(response, id, rest, offset);
	}

	// What goes out on the first connection; [DONE] is there unless the stream is cut.
	private List<String> script(List<String> tokens) {
		List<String> script = new ArrayList<>(tokens);
		script.add("[DONE]");
		switch (this.behaviour) {
			case CUTS, FORGETS -> script.subList(5, script.size()).clear();
			case DROPS_A_TOKEN -> script.remove(4);
			case DOUBLES_A_TOKEN -> script.add(4, script.get(4));
			case MIXES_ANSWERS -> script.set(4, " w-of-another-caller");
			case ENDS_EARLY -> script.remove(script.size() - 2);
			case FAILS -> script.add(4, "error");
			default -> {
			}
		}
		return script;
	}

	private Mono<Void> stream(HttpServerResponse response, String id, List<String> script, int offset) {
		Flux<String> events = Flux.range(0, script.size()).map((i) -> switch (script.get(i)) {
			case "[DONE]" -> "data: [DONE]\n\n";
			case "error" -> "event: error\ndata: {\"code\":\"deadline\",\"verdict\":\"may-have-run\"}\n\n";
			case String token -> "id: " + id + ":" + (offset + i + 1) + "\ndata: " + chunk(token) + "\n\n";
		});
		return response.header("Content-Type", "text/event-stream").sendString(events).then();
	}

	private static String chunk(String token) {
		return "{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + token + "\"}}]}";
	}

	private static String whole(List<String> tokens) {
		return "{\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":\"" + String.join("", tokens)
				+ "\"}}]}";
	}

	private static List<String> tokens(JsonNode body) {
		List<String> messages = new ArrayList<>();
		body.path("messages")
			.forEach(
					(message) -> messages.add(message.path("role").asText() + ": " + message.path("content").asText()));
		String prompt = body.has("prompt") ? body.path("prompt").asText() : String.join("\n", messages);
		return StandInAnswer.tokens(prompt, body.path("model").asText(), "", body.path("max_tokens").asInt());
	}

	private Publisher<Void> book(HttpServerRequest request, HttpServerResponse response) {
		String key = request.requestHeaders().get("Idempotency-Key");
		return StandInJson.body(request).flatMap((_) -> {
			switch (this.behaviour) {
				case RUNS_TWICE -> this.executions.merge(key, 1, Integer::sum);
				case INVENTS_BOOKINGS, REFUSES -> {
				}
				default -> this.executions.putIfAbsent(key, 1);
			}
			return switch (this.behaviour) {
				case DENIES_BOOKINGS, REFUSES -> problem(response, 503, "overloaded", "not-run");
				default -> StandInJson.answer(response, 201, "{}");
			};
		});
	}

	private static Mono<Void> problem(HttpServerResponse response, int status, String code, String verdict) {
		return StandInJson.answer(response, status,
				StandInJson.object().put("code", code).put("status", status).put("verdict", verdict));
	}

	@Override
	public void close() {
		this.server.close();
	}

	/** How an entry behaves. */
	enum Behaviour {

		WELL, CUTS, FORGETS, REDIRECTS, REFUSES, FAILS, DROPS_A_TOKEN, DOUBLES_A_TOKEN, MIXES_ANSWERS, ENDS_EARLY,
		RUNS_TWICE, DENIES_BOOKINGS, INVENTS_BOOKINGS

	}

}
