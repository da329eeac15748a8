package org.rosemaryfront.services;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

import org.rosemaryfront.model.VmId;

/** A booking service in this process that counts how often each booking ran. */
final class BookingService implements AutoCloseable {

	private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

	private final Map<String, Map<String, String>> headers = new ConcurrentHashMap<>();

	private final String vm;

	private final DisposableServer server;

	private volatile Behaviour behaviour = Behaviour.ANSWER;

	private volatile int answerBytes;

	private BookingService(String vm) {
		this.vm = vm;
		this.server = HttpServer.create().host("127.0.0.1").port(0).handle(this::handle).bindNow();
	}

	static BookingService start(String vm) {
		return new BookingService(vm);
	}

	void answerBytes(int bytes) {
		this.answerBytes = bytes;
	}

	void behave(Behaviour next) {
		this.behaviour = next;
	}

	Map<String, String> headersOf(String body) {
		return this.headers.get(body);
	}

	int runs(String body) {
		return this.runs.getOrDefault(body, new AtomicInteger()).get();
	}

	ServiceServer server(String zone) {
		return new ServiceServer(new VmId(this.vm), "booking", zone, "127.0.0.1:" + this.server.port(), false);
	}

	@Override
	public void close() {
		this.server.disposeNow(Duration.ofSeconds(5));
	}

	private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
		return request.receive().aggregate().asString().defaultIfEmpty("").flatMap((body) -> {
			if (this.behaviour == Behaviour.REFUSE) {
				return response.status(503).header("X-Not-Run", "true").send();
			}
			int run = this.runs.computeIfAbsent(body, (_) -> new AtomicInteger()).incrementAndGet();
			Map<String, String> seen = new ConcurrentHashMap<>();
			request.requestHeaders().forEach((header) -> seen.put(header.getKey().toLowerCase(), header.getValue()));
			this.headers.put(body, seen);
			return switch (this.behaviour) {
				case SILENT -> Mono.never();
				case BREAK -> {
					response.withConnection((connection) -> connection.channel().close());
					yield Mono.never();
				}
				case SLOW -> Mono.delay(Duration.ofMillis(500)).then(answer(response, body, run));
				default -> answer(response, body, run);
			};
		});
	}

	private Mono<Void> answer(HttpServerResponse response, String body, int run) {
		String padding = "x".repeat(this.answerBytes);
		return response.status(201)
			.header("Content-Type", "application/json")
			.sendString(Mono.just("{\"booking\":\"" + body + "\",\"run\":" + run + ",\"padding\":\"" + padding + "\"}"))
			.then();
	}

	enum Behaviour {

		ANSWER, REFUSE, SILENT, BREAK, SLOW

	}

}
