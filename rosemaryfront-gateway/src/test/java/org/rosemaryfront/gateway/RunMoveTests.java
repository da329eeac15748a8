package org.rosemaryfront.gateway;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Mono;

import org.rosemaryfront.gateway.RawCaller.Response;
import org.rosemaryfront.gateway.ScriptedServer.Exchange;
import org.rosemaryfront.gateway.ScriptedServer.Request;
import org.rosemaryfront.moves.CopyAnswer;
import org.rosemaryfront.moves.CopyAnswer.Copied;
import org.rosemaryfront.moves.CopyAnswer.Failed;
import org.rosemaryfront.moves.CopyAnswer.NoRoom;
import org.rosemaryfront.moves.CopyAnswer.NoRun;
import org.rosemaryfront.routes.CallKind;
import org.rosemaryfront.routes.CallerLimits;
import org.rosemaryfront.routes.Organisation;
import org.rosemaryfront.routes.Route;
import org.rosemaryfront.routes.ServiceSpec;
import org.rosemaryfront.routes.ServiceSpec.EngineSpec;
import org.rosemaryfront.routes.ServiceSpec.MoveSpec;
import org.rosemaryfront.routes.TrafficConfiguration;

import static org.assertj.core.api.Assertions.assertThat;

/** Streams of a server that leaves, which continue at another one from a copy. */
class RunMoveTests {

	private static final List<String> EVENTS = List.of("id: 1\ndata: one\n\n", "id: 2\ndata: two\n\n",
			"id: 3\ndata: three\n\n");

	private static final String STREAM = String.join("", EVENTS);

	private static final String RESUMABLE = "/summaries/";

	private static final String NOT_RESUMABLE = "/drafts/";

	private static final long AWAIT_SECONDS = 10;

	private final CountDownLatch stopped = new CountDownLatch(1);

	private final AtomicReference<String> first = new AtomicReference<>("");

	private volatile Behaviour source = Behaviour.STOPS;

	private volatile Behaviour target = Behaviour.ENDS;

	private boolean chunked;

	private GatewayHarness gateway;

	private ScriptedServer one;

	private ScriptedServer two;

	@BeforeEach
	void start() {
		this.gateway = GatewayHarness.start();
	}

	@AfterEach
	void stop() {
		this.stopped.countDown();
		this.gateway.close();
		this.one.close();
		this.two.close();
	}

	// Guards against a stream that is lost, read again, or joined with a gap or a
	// repetition when its server leaves; its old server may end it in any framing.
	@ParameterizedTest
	@CsvSource({ "/drafts/, true", "/drafts/, false", "/summaries/, true", "/summaries/, false" })
	void shouldContinueStreamAtOtherServerWhenItsServerLeaves(String path, boolean chunks) throws Exception {
		answer(new Copied("h1", 1), new Copied("h2", 1));
		Response response = call(path, chunks);
		assertThat(response.body()).isEqualTo(STREAM);
		assertThat(response.complete()).isTrue();
		assertThat(requests()).hasSize(2);
		Request last = other().requests().getFirst();
		assertThat(last.header("run-copy")).isEqualTo(leaving().address() + "/h2");
		assertThat(last.header("resume-after")).isEqualTo("1");
		assertThat(last.call()).isEqualTo("c1");
		assertThat(last.body()).isEqualTo("p:100");
		assertThat(this.gateway.runs.requests()).containsExactly("copy c1", "last c1");
		assertThat(this.gateway.metric("counters", "runs.moved")).isEqualTo(1);
	}

	// Guards against a stream that is cut for a move that has no target.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void shouldStayWhenCopyIsRefused(boolean chunks) throws Exception {
		this.source = Behaviour.ENDS_LATER;
		answer(new NoRoom(Optional.empty()), new NoRun());
		Response response = call(NOT_RESUMABLE, chunks);
		assertThat(response.body()).isEqualTo(STREAM);
		assertThat(response.complete()).isTrue();
		assertThat(requests()).hasSize(1);
		assertThat(this.gateway.runs.requests()).containsOnly("copy c1");
	}

	// Guards against a run that ends by itself while it is asked to stop, and is taken
	// for
	// one that was stopped.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void shouldEndStreamWhenRunHasEndedBeforeItStops(boolean chunks) throws Exception {
		this.source = Behaviour.ENDS_WHEN_STOPPED;
		answer(new Copied("h1", 1), new NoRun());
		Response response = call(NOT_RESUMABLE, chunks);
		assertThat(response.body()).isEqualTo(STREAM);
		assertThat(response.complete()).isTrue();
		assertThat(requests()).hasSize(1);
	}

	// Guards against a stream that is lost although its source still has its memory.
	@ParameterizedTest
	@ValueSource(strings = { NOT_RESUMABLE, RESUMABLE })
	void shouldGoBackToSourceWhenSwitchIsRefused(String path) throws Exception {
		answer(new Copied("h1", 1), new NoRoom(Optional.of("h2")));
		Response response = call(path, true);
		assertThat(response.body()).isEqualTo(STREAM);
		assertThat(response.complete()).isTrue();
		assertThat(other().requests()).isEmpty();
		assertThat(leaving().requests().getLast().header("run-copy")).isEqualTo(leaving().address() + "/h2");
	}

	@Test
	void shouldGoBackToSourceWhenTargetDoesNotRunIt() throws Exception {
		this.target = Behaviour.REFUSES;
		answer(new Copied("h1", 1), new Copied("h2", 1));
		Response response = call(NOT_RESUMABLE, true);
		assertThat(response.body()).isEqualTo(STREAM);
		assertThat(response.complete()).isTrue();
		assertThat(other().requests()).hasSize(1);
		assertThat(leaving().requests()).hasSize(2);
	}

	// Guards against a stream that runs twice, or ends as complete, when the server that
	// continues it dies.
	@Test
	void shouldBreakStreamWhenTargetDies() throws Exception {
		this.target = Behaviour.DIES;
		answer(new Copied("h1", 1), new Copied("h2", 1));
		Response response = call(NOT_RESUMABLE, true);
		assertThat(response.complete()).isFalse();
		assertThat(STREAM).startsWith(response.body());
		assertThat(requests()).hasSize(2);
	}

	// Guards against a stream that ends as complete when no answer tells whether it was
	// stopped.
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void shouldBreakStreamWhenSwitchIsNotAnswered(boolean chunks) throws Exception {
		answer(new Copied("h1", 1), new Failed("reset"));
		Response response = call(NOT_RESUMABLE, chunks);
		assertThat(response.complete()).isFalse();
		assertThat(requests()).hasSize(1);
	}

	@Test
	void shouldResumeStreamWithoutCopyWhenSourceDies() throws Exception {
		this.source = Behaviour.DIES_WHEN_STOPPED;
		this.gateway.runs.answer((_, _, _) -> {
			this.stopped.countDown();
			return Mono.never();
		});
		Response response = call(RESUMABLE, true);
		assertThat(response.body()).isEqualTo(STREAM);
		assertThat(response.complete()).isTrue();
		assertThat(other().requests().getFirst().header("run-copy")).isEmpty();
	}

	// Guards against copies that occupy servers after their callers have left.
	@Test
	void shouldFreeCopyWhenCallerLeaves() throws Exception {
		CountDownLatch copied = new CountDownLatch(1);
		this.gateway.runs.answer((_, _, last) -> {
			if (last) {
				copied.countDown();
				return Mono.never();
			}
			return Mono.just(new Copied("h1", 1));
		});
		startServers(true, Optional.of(new MoveSpec(5_000, 1)));
		try (RawCaller caller = this.gateway.caller()) {
			caller.send(RawCaller.prompt("c1", NOT_RESUMABLE, "p:100"));
			leave();
			assertThat(copied.await(AWAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
		}
		GatewayHarness.await(() -> this.gateway.runs.requests().contains("drop h1"));
		assertThat(other().requests()).isEmpty();
	}

	// Guards against a change where the engines are not said to move runs.
	@Test
	void shouldNotMoveWhenEngineDoesNot() throws Exception {
		this.source = Behaviour.ENDS_LATER;
		startServers(true, Optional.empty());
		assertThat(callAndLeave(NOT_RESUMABLE).body()).isEqualTo(STREAM);
		assertThat(this.gateway.runs.requests()).isEmpty();
	}

	private void answer(CopyAnswer copy, CopyAnswer last) {
		this.gateway.runs.answer((_, _, stops) -> {
			if (stops) {
				this.stopped.countDown();
			}
			return Mono.just(stops ? last : copy);
		});
	}

	// -- calls

	private Response call(String path, boolean chunks) throws Exception {
		startServers(chunks, Optional.of(new MoveSpec(5_000, 1)));
		return callAndLeave(path);
	}

	private Response callAndLeave(String path) throws Exception {
		CompletableFuture<Response> response = CompletableFuture.supplyAsync(() -> {
			try {
				return this.gateway.send(RawCaller.prompt("c1", path, "p:100"));
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		});
		leave();
		return response.get(AWAIT_SECONDS, TimeUnit.SECONDS);
	}

	private void leave() {
		GatewayHarness.await(() -> !this.first.get().isEmpty());
		this.gateway.store.put(GatewayHarness.SERVERS, this.first.get(), "app " + leaving().address() + " leaving");
	}

	// -- servers

	private void startServers(boolean chunks, Optional<MoveSpec> moves) throws IOException {
		this.chunked = chunks;
		this.one = ScriptedServer.start((request, exchange) -> serve("s1", request, exchange));
		this.two = ScriptedServer.start((request, exchange) -> serve("s2", request, exchange));
		this.gateway.declare(configuration(moves)).register("s1", this.one).register("s2", this.two).ready();
	}

	private static TrafficConfiguration configuration(Optional<MoveSpec> moves) {
		EngineSpec engine = new EngineSpec(8, 100_000, 1_000, 100_000, moves);
		return TrafficConfiguration.of(1,
				List.of(route("drafts", NOT_RESUMABLE, false), route("summaries", RESUMABLE, true)),
				List.of(new ServiceSpec("app", 100, Optional.of(engine), Optional.empty())),
				List.of(new Organisation("sfax", List.of("key-1"), OptionalInt.empty(), 0, 1,
						Organisation.QuotaUnit.REQUESTS, 1)),
				CallerLimits.INITIAL);
	}

	private static Route route(String name, String prefix, boolean resumable) {
		return new Route(name, "a.example", prefix, CallKind.STREAMING, 8_000, 500, 0,
				List.of(new Route.Target("app", 1)), 2, false, resumable);
	}

	private void serve(String id, Request request, Exchange exchange) throws IOException {
		boolean begins = this.first.get().isEmpty();
		if (begins) {
			begin(id, request, exchange);
		}
		else {
			Behaviour next = id.equals(this.first.get()) ? Behaviour.ENDS : this.target;
			next.serve(this, request, exchange);
		}
	}

	private void begin(String id, Request request, Exchange exchange) throws IOException {
		exchange.write(head(request) + chunk(EVENTS.getFirst()));
		this.first.set(id);
		this.source.serve(this, request, exchange);
	}

	private String head(Request request) {
		return "HTTP/1.1 200 OK\r\nCall: " + request.call() + "\r\nSignature: s\r\nContent-Type: text/event-stream\r\n"
				+ (this.chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
	}

	private String chunk(String part) {
		return this.chunked ? Integer.toHexString(part.length()) + "\r\n" + part + "\r\n" : part;
	}

	private void end(Exchange exchange) throws IOException {
		exchange.write(chunk(EVENTS.get(1) + EVENTS.get(2)) + (this.chunked ? "0\r\n\r\n" : ""));
		if (!this.chunked) {
			exchange.socket().close();
		}
	}

	private void awaitStop() {
		try {
			this.stopped.await(AWAIT_SECONDS, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private ScriptedServer leaving() {
		return this.first.get().equals("s1") ? this.one : this.two;
	}

	private ScriptedServer other() {
		return this.first.get().equals("s1") ? this.two : this.one;
	}

	private List<Request> requests() {
		return List.of(this.one, this.two)
			.stream()
			.flatMap((server) -> server.requests().stream())
			.collect(Collectors.toList());
	}

	/** What a server does with a request, or behind the first event. */
	private enum Behaviour {

		/** Closes the connection without the end of the stream when asked to stop. */
		STOPS {
			@Override
			void serve(RunMoveTests test, Request request, Exchange exchange) throws IOException {
				test.awaitStop();
				exchange.socket().close();
			}
		},

		/** Sends the rest of the stream when asked to stop. */
		ENDS_WHEN_STOPPED {
			@Override
			void serve(RunMoveTests test, Request request, Exchange exchange) throws IOException {
				test.awaitStop();
				test.end(exchange);
			}
		},

		/** Sends the rest of the stream while the gateway tries to move it. */
		ENDS_LATER {
			@Override
			void serve(RunMoveTests test, Request request, Exchange exchange) throws IOException {
				sleep(400);
				test.end(exchange);
			}
		},

		/** Resets the connection when asked to copy. */
		DIES_WHEN_STOPPED {
			@Override
			void serve(RunMoveTests test, Request request, Exchange exchange) throws IOException {
				test.awaitStop();
				exchange.reset();
			}
		},

		/** Continues the stream. */
		ENDS {
			@Override
			void serve(RunMoveTests test, Request request, Exchange exchange) throws IOException {
				exchange.write(test.head(request));
				test.end(exchange);
			}
		},

		/** Answers that it does not run the request. */
		REFUSES {
			@Override
			void serve(RunMoveTests test, Request request, Exchange exchange) throws IOException {
				exchange.status(request, 503, "Not-Run: 1\r\n");
			}
		},

		/** Continues the stream with one event and resets the connection. */
		DIES {
			@Override
			void serve(RunMoveTests test, Request request, Exchange exchange) throws IOException {
				exchange.write(test.head(request) + test.chunk(EVENTS.get(1)));
				sleep(50);
				exchange.reset();
			}
		};

		abstract void serve(RunMoveTests test, Request request, Exchange exchange) throws IOException;

		private static void sleep(long millis) {
			try {
				Thread.sleep(millis);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

	}

}
