package org.rosemaryfront.gateway;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.core.publisher.Mono;

import org.rosemaryfront.gateway.RawCaller.Response;
import org.rosemaryfront.gateway.ScriptedServer.Exchange;
import org.rosemaryfront.gateway.ScriptedServer.Request;
import org.rosemaryfront.moves.CopyAnswer.Copied;
import org.rosemaryfront.routes.CallKind;
import org.rosemaryfront.routes.CallerLimits;
import org.rosemaryfront.routes.Organisation;
import org.rosemaryfront.routes.Route;
import org.rosemaryfront.routes.ServiceSpec;
import org.rosemaryfront.routes.ServiceSpec.EngineSpec;
import org.rosemaryfront.routes.ServiceSpec.MoveSpec;
import org.rosemaryfront.routes.TrafficConfiguration;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs that the gateway itself has stopped to move them, and whose target does not
 * continue them.
 */
class StoppedRunTests {

	private static final List<String> EVENTS = List.of("id: 1\ndata: one\n\n", "id: 2\ndata: two\n\n",
			"id: 3\ndata: three\n\n");

	private static final String STREAM = String.join("", EVENTS);

	private static final long AWAIT_SECONDS = 10;

	/** So long that a process that has just started is in time. */
	private static final long TARGET_MILLIS = 5_000;

	private static final long GAP_MILLIS = 500;

	/** Longer than the time within which the server that leaves may be sent requests. */
	private static final long DRAINED_MILLIS = 2_300;

	/** Longer than a test, so that retries are earned by calls alone. */
	private static final long RETRY_WINDOW_MILLIS = 60_000;

	private static final int CALLS_FOR_ONE_RETRY = 7;

	private final CountDownLatch begun = new CountDownLatch(1);

	private final CountDownLatch stopped = new CountDownLatch(1);

	private final ScriptedServer source = ScriptedServer.start(this::serveSource);

	private final ScriptedServer other = ScriptedServer
		.start((request, exchange) -> exchange.write(head(request) + chunk(STREAM) + "0\r\n\r\n"));

	private GatewayHarness gateway = GatewayHarness.start();

	private int earlierCalls;

	@AfterEach
	void stop() {
		this.stopped.countDown();
		this.gateway.close();
		this.source.close();
		this.other.close();
	}

	// Guards against a stream that runs again from its request after its run was stopped,
	// when the target is out of reach and leaves, or is gone, before the connection
	// fails.
	@ParameterizedTest
	@CsvSource({ "/drafts/, none", "/drafts/, leaves", "/drafts/, gone", "/summaries/, none", "/summaries/, leaves",
			"/summaries/, gone" })
	void shouldGoBackToSourceWhenTargetIsOutOfReach(String path, String change) throws Exception {
		try (SilentServer target = SilentServer.start()) {
			answer(() -> change(target.address(), change));
			Response response = call(path, target.address());
			assertThat(response.body()).isEqualTo(STREAM);
			assertThat(response.complete()).isTrue();
			assertThat(this.other.requests()).isEmpty();
			assertThat(this.source.requests()).hasSize(2);
			assertThat(this.source.requests().getLast().header("run-copy")).isEqualTo(this.source.address() + "/h2");
			assertThat(this.gateway.runs.requests()).containsExactly("copy c1", "last c1");
		}
	}

	// Guards against a stream that is lost since no retry is left for the way back to the
	// server that has its memory.
	@Test
	void shouldGoBackToSourceWhenNoRetryIsLeft() throws Exception {
		this.gateway.close();
		this.gateway = GatewayHarness.startWithRetryWindow(RETRY_WINDOW_MILLIS);
		this.earlierCalls = CALLS_FOR_ONE_RETRY;
		try (ScriptedServer target = ScriptedServer
			.start((request, exchange) -> exchange.status(request, 503, "Not-Run: 1\r\n"))) {
			answer(() -> {
			});
			Response response = call("/drafts/", target.address());
			assertThat(response.body()).isEqualTo(STREAM);
			assertThat(response.complete()).isTrue();
			assertThat(target.requests()).hasSize(1);
			assertThat(this.other.requests()).isEmpty();
		}
	}

	// Guards against a run that is sent to a server long after that began to leave, and
	// against one that begins anew then.
	@ParameterizedTest
	@CsvSource({ "leaves", "gone" })
	void shouldBreakStreamWhenNoServerMayBeSentIt(String change) throws Exception {
		try (ScriptedServer target = ScriptedServer.start(this::serveSource)) {
			answer(() -> {
				change(target.address(), change);
				sleep(DRAINED_MILLIS);
			});
			Response response = call("/drafts/", target.address());
			assertThat(response.complete()).isFalse();
			assertThat(response.body()).isEqualTo(EVENTS.getFirst());
			assertThat(target.requests()).isEmpty();
			assertThat(this.other.requests()).isEmpty();
			assertThat(this.source.requests()).hasSize(1);
		}
	}

	// Guards against a way back to a source that is not known any more and that began to
	// leave long ago.
	@Test
	void shouldBreakStreamWhenItsSourceIsGoneForLong() throws Exception {
		try (ScriptedServer target = ScriptedServer.start((request, exchange) -> {
			this.gateway.store.remove(GatewayHarness.SERVERS, "s1");
			sleep(DRAINED_MILLIS);
			exchange.status(request, 503, "Not-Run: 1\r\n");
		})) {
			answer(() -> {
			});
			Response response = call("/drafts/", target.address());
			assertThat(response.complete()).isFalse();
			assertThat(response.body()).isEqualTo(EVENTS.getFirst());
			assertThat(target.requests()).hasSize(1);
			assertThat(this.source.requests()).hasSize(1);
		}
	}

	// -- the move

	private void answer(Runnable beforeStopped) {
		this.gateway.runs.answer((_, _, stops) -> {
			if (!stops) {
				return Mono.just(new Copied("h1", 1));
			}
			return Mono.fromFuture(CompletableFuture.supplyAsync(() -> {
				beforeStopped.run();
				this.stopped.countDown();
				return new Copied("h2", 1);
			}));
		});
	}

	// The other server appears so late that it is no target.
	private void change(String target, String change) {
		switch (change) {
			case "leaves" -> this.gateway.store.put(GatewayHarness.SERVERS, "s2", "app " + target + " leaving");
			case "gone" -> this.gateway.store.remove(GatewayHarness.SERVERS, "s2");
			default -> {
			}
		}
		this.gateway.store.put(GatewayHarness.SERVERS, "s3", "app " + this.other.address() + " ready");
	}

	private Response call(String path, String target) throws Exception {
		this.gateway.declare(configuration()).register("s1", this.source).ready();
		for (int i = 0; i < this.earlierCalls; i++) {
			this.gateway.send(RawCaller.prompt("short" + i, "/short/", "p:100"));
		}
		CompletableFuture<Response> response = CompletableFuture.supplyAsync(() -> {
			try {
				return this.gateway.send(RawCaller.prompt("c1", path, "p:100"));
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		});
		assertThat(this.begun.await(AWAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
		this.gateway.store.put(GatewayHarness.SERVERS, "s2", "app " + target + " ready");
		GatewayHarness.await(() -> this.gateway.knowsServer("s2"));
		this.gateway.store.put(GatewayHarness.SERVERS, "s1", "app " + this.source.address() + " leaving");
		return response.get(AWAIT_SECONDS, TimeUnit.SECONDS);
	}

	private static TrafficConfiguration configuration() {
		EngineSpec engine = new EngineSpec(8, 100_000, 1_000, 100_000, Optional.of(new MoveSpec(5_000, 1)));
		return TrafficConfiguration.of(1,
				List.of(route("drafts", "/drafts/", false), route("summaries", "/summaries/", true),
						route("short", "/short/", false)),
				List.of(new ServiceSpec("app", 100, Optional.of(engine), Optional.empty())),
				List.of(new Organisation("sfax", List.of("key-1"), OptionalInt.empty(), 0, 1,
						Organisation.QuotaUnit.REQUESTS, 1)),
				CallerLimits.INITIAL);
	}

	private static Route route(String name, String prefix, boolean resumable) {
		return new Route(name, "a.example", prefix, CallKind.STREAMING, 8_000, TARGET_MILLIS, 0,
				List.of(new Route.Target("app", 1)), 2, false, resumable, OptionalLong.of(GAP_MILLIS));
	}

	// -- servers

	private void serveSource(Request request, Exchange exchange) throws IOException {
		if (request.call().startsWith("short")) {
			exchange.write(head(request) + chunk(STREAM) + "0\r\n\r\n");
		}
		else if (request.header("run-copy").isEmpty()) {
			exchange.write(head(request) + chunk(EVENTS.getFirst()));
			this.begun.countDown();
			await(this.stopped);
			exchange.socket().close();
		}
		else {
			exchange.write(head(request) + chunk(EVENTS.get(1) + EVENTS.get(2)) + "0\r\n\r\n");
		}
	}

	private static String head(Request request) {
		return "HTTP/1.1 200 OK\r\nCall: " + request.call()
				+ "\r\nSignature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
	}

	private static String chunk(String part) {
		return Integer.toHexString(part.length()) + "\r\n" + part + "\r\n";
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await(AWAIT_SECONDS, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
