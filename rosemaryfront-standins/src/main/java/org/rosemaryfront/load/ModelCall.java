package org.rosemaryfront.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.netty.handler.codec.http.HttpMethod;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClientResponse;

import org.rosemaryfront.load.LoadHttp.Answer;
import org.rosemaryfront.load.LoadHttp.Broken;
import org.rosemaryfront.load.LoadHttp.Call;
import org.rosemaryfront.load.LoadHttp.Header;
import org.rosemaryfront.standin.http.StandInJson;

/**
 * One caller's request to a model, up to its whole answer: a broken stream is resumed
 * through another entry, a redirection to the result is followed.
 */
final class ModelCall {

	private static final Duration PAUSE = Duration.ofMillis(150);

	private final LoadHttp http;

	private final LoadTally tally;

	private final LoadSettings settings;

	private final ModelRequest request;

	private final AnswerCheck check;

	private final long started = System.nanoTime();

	private final long startedMillis = System.currentTimeMillis();

	private String entry = "";

	private String requestId = "";

	private boolean accepted;

	private long lastToken;

	private long unknownSince;

	ModelCall(LoadHttp http, LoadTally tally, LoadSettings settings, ModelRequest request) {
		this.http = http;
		this.tally = tally;
		this.settings = settings;
		this.request = request;
		this.check = request.check(settings.model());
	}

	Mono<Void> run() {
		return attempt(firstCall()).flatMap(this::next);
	}

	// -- steps

	private Mono<Void> next(End end) {
		if (end instanceof End.Whole) {
			this.tally.verdict(this.check);
			if (this.check.result() != AnswerCheck.Result.WHOLE) {
				failure(this.check.result().name(), false);
			}
			if (!this.request.stream()) {
				LoadTally.record(this.tally.wholeAnswer, System.nanoTime() - this.started);
			}
			return Mono.empty();
		}
		if (end instanceof End.Failed failed) {
			return lost(failed.code(), true);
		}
		if (!this.accepted) {
			countUnaccepted(end);
			return Mono.empty();
		}
		if (pastLimit(end)) {
			return lost(end.toString(), false);
		}
		return Mono.delay(PAUSE).then(Mono.defer(this::comeBack));
	}

	private Mono<Void> comeBack() {
		this.tally.resumed.increment();
		return attempt(resultCall()).flatMap(this::next);
	}

	private void countUnaccepted(End end) {
		switch (end) {
			case End.Refused refused -> this.tally.refused(refused.code());
			case End.Cut cut when cut.sent() -> this.tally.unanswered.increment();
			default -> this.tally.unreachable.increment();
		}
	}

	private boolean pastLimit(End end) {
		long now = System.nanoTime();
		boolean unknown = end instanceof End.Refused refused && refused.status() == 404;
		this.unknownSince = !unknown ? 0 : (this.unknownSince != 0) ? this.unknownSince : now;
		return now - this.started > this.settings.timeout().toNanos()
				|| (unknown && now - this.unknownSince > this.settings.unknown().toNanos());
	}

	private Mono<Void> lost(String told, boolean failed) {
		this.tally.lost(told);
		failure(told, failed);
		return Mono.empty();
	}

	private void failure(String told, boolean failed) {
		this.tally.failure(new LoadReport.Failure(this.requestId, this.entry, told, failed, this.check.tokens(),
				this.startedMillis));
	}

	// -- calls

	private Mono<End> attempt(Call call) {
		return this.http.call(call, this.request.stream() ? this::readStream : this::readWhole)
			.next()
			.onErrorResume(Broken.class, (broken) -> Mono.just(new End.Cut(broken.sent())))
			.onErrorResume((failure) -> Mono.just(new End.Cut(true)))
			.defaultIfEmpty(new End.Cut(true));
	}

	private Call firstCall() {
		List<Header> headers = new ArrayList<>(authorised());
		headers.add(new Header("Content-Type", "application/json"));
		Optional<Duration> limit = this.request.stream() ? Optional.empty() : Optional.of(this.settings.timeout());
		this.entry = this.http.nextEntry();
		return new Call(HttpMethod.POST, this.entry + this.request.path(), headers, this.request.body(), limit);
	}

	private Call resultCall() {
		List<Header> headers = new ArrayList<>(authorised());
		String url = this.http.nextEntry() + "/v1/results/" + this.requestId;
		if (this.request.stream()) {
			headers.add(new Header("Last-Event-ID", this.requestId + ":" + this.check.tokens()));
			headers.add(new Header("Accept", "text/event-stream"));
			return new Call(HttpMethod.GET, url, headers, "", Optional.empty());
		}
		return new Call(HttpMethod.GET, url + "?wait=" + this.settings.silence().toMillis(), headers, "",
				Optional.of(this.settings.silence().multipliedBy(2)));
	}

	private List<Header> authorised() {
		return List.of(new Header("Authorization", "Bearer " + this.request.organisation().key()));
	}

	// -- answers

	private Publisher<End> readStream(HttpClientResponse response, ByteBufFlux bytes) {
		if (response.status().code() != 200) {
			return LoadHttp.read(response, bytes).map(this::refusal);
		}
		accept(response.responseHeaders().get("X-Request-Id", this.requestId));
		ServerSentEvents events = new ServerSentEvents();
		return bytes.asByteArray()
			.concatMapIterable(events::feed)
			.concatMap((event) -> Mono.justOrEmpty(take(event)))
			.next()
			.switchIfEmpty(Mono.just(new End.Cut(true)));
	}

	private Optional<End> take(ServerSentEvents.Event event) {
		if (event.event().equals("error")) {
			return Optional.of(new End.Failed(StandInJson.parse(event.data()).path("code").asText("error")));
		}
		if (event.data().equals("[DONE]")) {
			return Optional.of(new End.Whole());
		}
		var choice = StandInJson.parse(event.data()).path("choices").path(0);
		String text = choice.path("delta").path("content").asText(choice.path("text").asText());
		if (!text.isEmpty()) {
			takeText(text);
		}
		int colon = event.id().lastIndexOf(':');
		if (colon > 0) {
			this.requestId = event.id().substring(0, colon);
			this.check.offset(Integer.parseInt(event.id().substring(colon + 1)));
		}
		return Optional.empty();
	}

	private void takeText(String text) {
		long now = System.nanoTime();
		if (this.lastToken == 0) {
			LoadTally.record(this.tally.firstToken, now - this.started);
		}
		else {
			LoadTally.record(this.tally.betweenTokens, now - this.lastToken);
		}
		this.lastToken = now;
		int before = this.check.tokens();
		this.check.feed(text);
		this.tally.tokens.add(this.check.tokens() - before);
	}

	private Publisher<End> readWhole(HttpClientResponse response, ByteBufFlux bytes) {
		return LoadHttp.read(response, bytes).map((answer) -> {
			if (answer.status() == 200) {
				accept(answer.request());
				var choice = answer.body().path("choices").path(0);
				this.check.feed(choice.path("message").path("content").asText(choice.path("text").asText()));
				this.tally.tokens.add(this.check.tokens());
				return new End.Whole();
			}
			if (answer.status() == 303) {
				this.tally.redirected.increment();
				accept(answer.location().substring(answer.location().lastIndexOf('/') + 1));
				return new End.Cut(true);
			}
			return refusal(answer);
		});
	}

	// A result that is refused for now is asked for again; a final problem ends the call.
	private End refusal(Answer answer) {
		boolean later = answer.status() == 404 || answer.status() == 202 || answer.status() == 429
				|| answer.body().path("verdict").asText().equals("not-run");
		return (!this.accepted || later) ? new End.Refused(answer.status(), answer.code())
				: new End.Failed(answer.code());
	}

	private void accept(String id) {
		if (!this.accepted) {
			this.accepted = true;
			this.tally.accepted.increment();
		}
		if (!id.isEmpty()) {
			this.requestId = id;
		}
	}

	/** How one call ended. */
	private sealed interface End {

		/** The answer is complete. */
		record Whole() implements End {
		}

		/** The caller was told that there will be no answer. */
		record Failed(String code) implements End {
		}

		/** The call was refused. */
		record Refused(int status, String code) implements End {
		}

		/** The call ended before the answer did. */
		record Cut(boolean sent) implements End {
		}

	}

}
