package org.rosemaryfront.entry;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.HttpHeaderNames;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

import org.rosemaryfront.model.Problem;
import org.rosemaryfront.problems.ProblemDocument;

/**
 * Writes answers, documents and problems to callers.
 */
final class AnswerWriter {

	/** The header that names a request to its caller. */
	static final String REQUEST_ID = "X-Request-Id";

	private static final String JSON = "application/json";

	private static final String RESULTS = "/v1/results/";

	private AnswerWriter() {
	}

	// -- answers

	/**
	 * Writes an answer as server-sent events. The status waits for the first event, so
	 * that a refusal before it is an ordinary error response.
	 * @param response the response
	 * @param source the answer
	 * @return when it is written
	 */
	static Mono<Void> stream(HttpServerResponse response, AnswerSource source) {
		return source.events().switchOnFirst((signal, events) -> switch (signal.get()) {
			case null -> events.then();
			case AnswerEvent.Failed failed -> problem(response, failed.problem(), source.id());
			case AnswerEvent.Moved _ -> seeOther(response, source.id());
			default -> sendEvents(response, source, events);
		}).then();
	}

	private static Publisher<Void> sendEvents(HttpServerResponse response, AnswerSource source,
			Flux<AnswerEvent> events) {
		response.status(200)
			.header(HttpHeaderNames.CONTENT_TYPE, "text/event-stream; charset=utf-8")
			.header(HttpHeaderNames.CACHE_CONTROL, "no-cache")
			.header(REQUEST_ID, source.id());
		Counter sent = new Counter(source.offset());
		Flux<ByteBuf> buffers = events.concatMap((event) -> switch (event) {
			case AnswerEvent.Moved _ -> breakOff(response);
			default -> Mono.just(buffer(text(source, sent, event)));
		}, 1);
		return response.send(buffers, (_) -> true);
	}

	// Guards against an answer that looks whole and is not: a client that does not look
	// for [DONE] takes a proper end of the response for the end of the answer. A response
	// broken in the middle it reports as an error, and it can come back with its last
	// event's id.
	private static Mono<ByteBuf> breakOff(HttpServerResponse response) {
		return Mono.defer(() -> {
			response.withConnection((connection) -> connection.channel().close());
			return Mono.never();
		});
	}

	private static String text(AnswerSource source, Counter sent, AnswerEvent event) {
		return switch (event) {
			case AnswerEvent.Token token -> {
				sent.tokens = token.index() + 1;
				yield CompletionDocuments.token(source.head().get(), token.index(), token.text());
			}
			case AnswerEvent.Heartbeat _ -> ": heartbeat\n\n";
			case AnswerEvent.Finished finished ->
				CompletionDocuments.end(source.head().get(), sent.tokens, finished.reason(), source.includeUsage());
			case AnswerEvent.Failed failed ->
				"event: error\ndata: " + ProblemDocument.of(failed.problem(), source.id()) + "\n\n";
			case AnswerEvent.Moved _ -> "";
		};
	}

	/**
	 * Writes a whole answer.
	 * @param response the response
	 * @param source the answer, from the first token on
	 * @param wait how long to wait for its end
	 * @return when it is written
	 */
	static Mono<Void> whole(HttpServerResponse response, AnswerSource source, Duration wait) {
		List<String> tokens = new ArrayList<>();
		return source.events().doOnNext((event) -> {
			if (event instanceof AnswerEvent.Token token) {
				tokens.add(token.text());
			}
		})
			.last(new AnswerEvent.Moved())
			.timeout(wait, Mono.just(new AnswerEvent.Heartbeat()))
			.takeUntilOther(closed(response))
			.flatMap((last) -> switch (last) {
				case AnswerEvent.Finished finished -> document(response.header(REQUEST_ID, source.id()), 200,
						CompletionDocuments.whole(source.head().get(), tokens, finished.reason()));
				case AnswerEvent.Failed failed -> problem(response, failed.problem(), source.id());
				case AnswerEvent.Moved _ -> seeOther(response, source.id());
				case AnswerEvent.Heartbeat _, AnswerEvent.Token _ ->
					document(response.header(HttpHeaderNames.RETRY_AFTER, "1").header(REQUEST_ID, source.id()), 202,
							CompletionDocuments.running(source.id()));
			});
	}

	private static Mono<Void> closed(HttpServerResponse response) {
		return Mono.create((sink) -> response.withConnection((connection) -> {
			ChannelFutureListener listener = (_) -> sink.success();
			connection.channel().closeFuture().addListener(listener);
			sink.onDispose(() -> connection.channel().closeFuture().removeListener(listener));
		}));
	}

	private static Mono<Void> seeOther(HttpServerResponse response, String id) {
		return response.status(303)
			.header(HttpHeaderNames.LOCATION, RESULTS + id)
			.header(REQUEST_ID, id)
			.header(HttpHeaderNames.RETRY_AFTER, "1")
			.header(HttpHeaderNames.CONTENT_LENGTH, "0")
			.send();
	}

	// -- documents

	/**
	 * Writes a JSON document.
	 * @param response the response
	 * @param status the status
	 * @param document the document
	 * @return when it is written
	 */
	static Mono<Void> document(HttpServerResponse response, int status, String document) {
		return send(response.status(status).header(HttpHeaderNames.CONTENT_TYPE, JSON), document);
	}

	/**
	 * Writes a problem.
	 * @param response the response
	 * @param problem the problem
	 * @param request the request's identifier, empty when it has none
	 * @return when it is written
	 */
	static Mono<Void> problem(HttpServerResponse response, Problem problem, String request) {
		if (!request.isEmpty()) {
			response.header(REQUEST_ID, request);
		}
		return ProblemDocument.send(response, problem, request);
	}

	private static Mono<Void> send(HttpServerResponse response, String text) {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		return response.header(HttpHeaderNames.CONTENT_LENGTH, String.valueOf(bytes.length))
			.sendByteArray(Mono.just(bytes))
			.then();
	}

	private static ByteBuf buffer(String text) {
		return Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8));
	}

	private static final class Counter {

		private int tokens;

		private Counter(int tokens) {
			this.tokens = tokens;
		}

	}

}
