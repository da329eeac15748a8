package org.rosemaryfront.load;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiFunction;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpMethod;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

import org.rosemaryfront.standin.http.StandInJson;

/**
 * The HTTP side of callers. Every call has a connection of its own, as the connections of
 * many callers behind a balancer have.
 */
final class LoadHttp {

	private static final int CONNECT_MILLIS = 1_000;

	private final AtomicInteger turn = new AtomicInteger();

	private volatile List<String> entries;

	private final Duration silence;

	LoadHttp(List<String> entries, Duration silence) {
		this.entries = entries;
		this.silence = silence;
	}

	void entries(List<String> changed) {
		this.entries = List.copyOf(changed);
	}

	// The next entry in turn, so that coming back goes to another one.
	String nextEntry() {
		List<String> known = this.entries;
		return known.get(Math.floorMod(this.turn.getAndIncrement(), known.size()));
	}

	<T> Flux<T> call(Call call, BiFunction<HttpClientResponse, ByteBufFlux, Publisher<T>> handler) {
		return Flux.defer(() -> {
			AtomicBoolean sent = new AtomicBoolean();
			return HttpClient.newConnection()
				.disableRetry(true)
				.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
				.responseTimeout(call.limit().orElse(this.silence))
				.doOnRequest((_, _) -> sent.set(true))
				.headers((headers) -> call.headers().forEach((header) -> headers.set(header.name(), header.value())))
				.request(call.method())
				.uri(call.url())
				.send(ByteBufMono.fromString(Mono.just(call.body())))
				.response(handler)
				.onErrorMap((failure) -> new Broken(sent.get(), failure));
		});
	}

	static Mono<Answer> read(HttpClientResponse response, ByteBufFlux bytes) {
		return bytes.aggregate()
			.asString()
			.defaultIfEmpty("")
			.map((body) -> new Answer(response.status().code(), response.responseHeaders().get("X-Request-Id", ""),
					response.responseHeaders().get("Location", ""), StandInJson.parse(body)));
	}

	/** A connection that broke before the end of the answer. */
	static final class Broken extends RuntimeException {

		private static final long serialVersionUID = 1L;

		private final boolean sent;

		Broken(boolean sent, Throwable cause) {
			super(cause);
			this.sent = sent;
		}

		boolean sent() {
			return this.sent;
		}

	}

	/**
	 * A call.
	 *
	 * @param method the method
	 * @param url the whole URL
	 * @param headers the headers
	 * @param body the body, empty for none
	 * @param limit the greatest time without a byte, empty for the usual one
	 */
	record Call(HttpMethod method, String url, List<Header> headers, String body, Optional<Duration> limit) {
	}

	/**
	 * A header.
	 *
	 * @param name the name
	 * @param value the value
	 */
	record Header(String name, String value) {
	}

	/**
	 * An answer in one piece.
	 *
	 * @param status the status
	 * @param request the identifier of the request, empty if the answer has none
	 * @param location where the result is, empty if the answer does not say so
	 * @param body the body
	 */
	record Answer(int status, String request, String location, JsonNode body) {

		String code() {
			return this.body.path("code").asText("status-" + this.status);
		}

		String verdict() {
			return this.body.path("verdict").asText();
		}

	}

}
