package org.rosemaryfront.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.TestInstance.Lifecycle;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.rosemaryfront.gateway.RawCaller.Response;
import org.rosemaryfront.gateway.ScriptedServer.Exchange;
import org.rosemaryfront.gateway.ScriptedServer.Request;

import static org.assertj.core.api.Assertions.assertThat;

/** Streams that break off while servers of two versions of their software serve. */
@TestInstance(Lifecycle.PER_CLASS)
class StreamVersionTests {

	private static final int GATEWAYS = 4;

	private static final int EVENTS = 4;

	private static final long QUOTA_WINDOW_MILLIS = 8_000;

	/** The gateways may retry four calls in 10 ms. */
	private static final long BEFORE_RETRY_MILLIS = 12;

	/** For how long a stream may be taken up, and a table of streams must be whole. */
	private static final long TAKEN_UP_MILLIS = 15_000;

	private static final int MAX_TRIAL_CALLS = 300;

	private static final int TRIAL_STREAMS = 3;

	private static final Case WHOLE = new Case(Where.WHOLE, How.CLOSED, Who.GATEWAY, Left.ONE);

	private static final Case ONE_EVENT_EACH = new Case(Where.BEHIND_NEXT_EVENT, How.CLOSED, Who.CALLER_HERE, Left.ONE);

	private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (\\S+)\n\n");

	private final MemoryRowStore store = new MemoryRowStore();

	private final AtomicInteger cases = new AtomicInteger();

	private final Map<String, ScriptedServer> servers = new HashMap<>();

	private List<GatewayHarness> fleet;

	@BeforeAll
	void start() throws IOException {
		this.fleet = GatewayHarness.startFleet(this.store, GATEWAYS, QUOTA_WINDOW_MILLIS);
		this.fleet.getFirst().declare();
		for (GatewayHarness gateway : this.fleet) {
			gateway.ready();
		}
		GatewayHarness
			.await(() -> this.fleet.stream().allMatch((gateway) -> gateway.liveGateways() == this.fleet.size()));
	}

	@AfterAll
	void stop() {
		this.fleet.forEach(GatewayHarness::close);
	}

	@AfterEach
	void stopServers() {
		List.copyOf(this.servers.keySet()).forEach(this::remove);
	}

	// Guards against a stream whose events are from servers of two versions, and against
	// one that does not go on although a server of its version is left.
	@ParameterizedTest
	@MethodSource("cases")
	void shouldGoOnOnlyAtVersionThatBeganStream(Case broken) throws Exception {
		String call = "c" + this.cases.incrementAndGet();
		startServers(call, broken);
		List<String> received = new ArrayList<>();
		boolean complete = broken.who.receive(this, call, broken, received);
		List<String> ids = received.stream().map((event) -> event.split(" ")[0]).toList();
		Set<String> versions = new LinkedHashSet<>(received.stream().map((event) -> event.split(" ")[1]).toList());
		assertThat(versions).as("versions of %s", received).hasSizeLessThanOrEqualTo(1);
		assertThat(ids).as("%s", received).doesNotHaveDuplicates();
		boolean goesOn = broken.left != Left.NONE || broken.where.events == 0;
		assertThat(complete).as("complete after %s", received).isEqualTo(goesOn);
		if (goesOn) {
			assertThat(ids).hasSize(EVENTS);
		}
	}

	static Stream<Case> cases() {
		return Stream.of(Who.values())
			.flatMap((who) -> Stream.of(Where.values())
				.filter((where) -> where.breaks && (who == Who.GATEWAY || where.events > 0))
				.flatMap((where) -> Stream.of(How.values())
					.flatMap((how) -> Stream.of(Left.values()).map((left) -> new Case(where, how, who, left)))));
	}

	// Guards against a stream that goes on at a guessed version.
	@ParameterizedTest
	@ValueSource(strings = { "Resume-After: 1\r\n", "First-Call: nobody\r\nResume-After: 1\r\n",
			"First-Call: nobody\r\n", "First-Call: own\r\nResume-After: 1\r\n" })
	void shouldRefuseStreamWhenItsOriginIsUnknown(String headers) throws IOException {
		String call = "u" + this.cases.incrementAndGet();
		String server = call + "-s1";
		startServer(server, "v1", WHOLE);
		awaitServer(server);
		Response response = send(0, call, call, headers.replace("own", call));
		assertThat(response.status()).isEqualTo(503);
		assertThat(response.hasHeader("retry-after")).isTrue();
		assertThat(this.servers.get(server).requests()).isEmpty();
		assertThat(send(0, call, call, "").status()).isEqualTo(200);
	}

	// Guards against streams that end since their callers do not name the first call.
	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 2, 3 })
	void shouldGoOnAtVersionThatBeganSameRequestWhenCallerNamesNoCall(int gateway) throws IOException {
		String call = "n" + this.cases.incrementAndGet();
		startServers(call, new Case(Where.BEHIND_EVENT, How.CLOSED, Who.CALLER_HERE, Left.ONE));
		awaitStreamsKnown(TAKEN_UP_MILLIS / 2);
		awaitStreamsKnown(TAKEN_UP_MILLIS);
		List<String> received = new ArrayList<>();
		addEvents(send(0, call, call, "").body(), received);
		sleep(BEFORE_RETRY_MILLIS);
		Response response = send(gateway, call + "-again", call, "Resume-After: 1\r\n");
		assertThat(response.status()).isEqualTo(200);
		addEvents(response.body(), received);
		assertThat(received.stream().map((event) -> event.split(" ")[1]).distinct()).as("%s", received).hasSize(1);
		assertThat(received).hasSize(EVENTS);
	}

	// Guards against a stream that goes on at either of two versions that began the same
	// request.
	@Test
	void shouldRefuseStreamWhenTwoVersionsBeganSameRequest() throws IOException {
		startServer("q-s1", "v1", WHOLE);
		awaitServer("q-s1");
		assertThat(send(0, "same-1", "same", "").complete()).isTrue();
		remove("q-s1");
		startServer("q-s2", "v2", WHOLE);
		awaitServer("q-s2");
		assertThat(send(1, "same-2", "same", "").complete()).isTrue();
		assertThat(send(2, "same-3", "same", "Resume-After: 1\r\n").status()).isEqualTo(503);
		assertThat(send(2, "same-4", "same", "First-Call: same-1\r\nResume-After: 1\r\n").status()).isEqualTo(503);
		assertThat(send(2, "same-5", "same", "First-Call: same-2\r\nResume-After: 1\r\n").status()).isEqualTo(200);
	}

	// Guards against a stream that goes on at either of two versions that began streams
	// with the same id.
	@Test
	void shouldRefuseStreamWhenTwoVersionsBeganItsId() throws IOException {
		startServer("d-s1", "v1", WHOLE);
		awaitServer("d-s1");
		assertThat(send(0, "twice", "twice", "").complete()).isTrue();
		remove("d-s1");
		startServer("d-s2", "v2", WHOLE);
		awaitServer("d-s2");
		assertThat(send(1, "twice", "twice", "").complete()).isTrue();
		for (int gateway = 0; gateway < GATEWAYS; gateway++) {
			assertThat(send(gateway, "again", "twice", "First-Call: twice\r\nResume-After: 1\r\n").status())
				.isEqualTo(503);
		}
	}

	// Guards against a stream that can be taken up only once, or from the gateway that
	// went on with it last.
	@Test
	void shouldGoOnAtItsVersionWhenStreamIsTakenUpAgainAndAgain() throws IOException {
		for (int i = 1; i <= GATEWAYS; i++) {
			startServer("t-s" + i, (i % 2 == 0) ? "v2" : "v1", ONE_EVENT_EACH);
			awaitServer("t-s" + i);
		}
		List<String> received = new ArrayList<>();
		addEvents(send(0, "t", "t", "").body(), received);
		for (int i = 1; i < GATEWAYS; i++) {
			sleep(BEFORE_RETRY_MILLIS);
			String last = received.getLast().split(" ")[0];
			addEvents(send(i, "t-" + i, "t", "First-Call: t\r\nResume-After: " + last + "\r\n").body(), received);
		}
		assertThat(received).hasSizeGreaterThanOrEqualTo(GATEWAYS);
		assertThat(received.stream().map((event) -> event.split(" ")[1]).distinct()).hasSize(1);
	}

	// Guards against a roll-out that sends a stream that its candidate began to another
	// version.
	@Test
	void shouldGoOnAtCandidateWhenItBeganStream() throws IOException {
		Case broken = new Case(Where.BEHIND_EVENT, How.CLOSED, Who.GATEWAY, Left.ONE);
		try (GatewayHarness gateway = GatewayHarness.start();
				ScriptedServer baseline = scripted("v1", broken);
				ScriptedServer otherBaseline = scripted("v1", broken);
				ScriptedServer candidate = scripted("v2", broken);
				ScriptedServer otherCandidate = scripted("v2", broken)) {
			gateway.declare().register("a1", baseline).register("a2", otherBaseline);
			gateway.store.put(GatewayHarness.SERVERS, "b1", "app " + candidate.address() + " ready 0 v2");
			gateway.store.put(GatewayHarness.SERVERS, "b2", "app " + otherCandidate.address() + " ready 0 v2");
			gateway.ready();
			GatewayHarness.await(() -> gateway.knowsServer("b1") && gateway.knowsServer("b2"));
			gateway.store.put("declared", "rollout/app", "v2 60000");
			int begunAtCandidate = 0;
			for (int i = 0; i < MAX_TRIAL_CALLS && begunAtCandidate < TRIAL_STREAMS; i++) {
				sleep(BEFORE_RETRY_MILLIS);
				List<String> received = new ArrayList<>();
				addEvents(gateway.send(RawCaller.get("r" + i, "/summaries/r" + i)).body(), received);
				List<String> versions = received.stream().map((event) -> event.split(" ")[1]).distinct().toList();
				assertThat(received).hasSize(EVENTS);
				assertThat(versions).as("%s", received).hasSize(1);
				begunAtCandidate += versions.contains("v2") ? 1 : 0;
			}
			assertThat(begunAtCandidate).isEqualTo(TRIAL_STREAMS);
		}
	}

	private void awaitStreamsKnown(long millis) {
		GatewayHarness.await(() -> this.fleet.stream()
			.allMatch((gateway) -> gateway.metric("gauges", "streams.origins.known.millis") >= millis));
	}

	private void awaitServer(String id) {
		GatewayHarness.await(() -> this.fleet.stream().allMatch((gateway) -> gateway.knowsServer(id)));
	}

	// The names alternate between the versions, so that the second choice of a call is a
	// server of the other version.
	private void startServers(String call, Case broken) throws IOException {
		startServer(call + "-s1", "v1", broken);
		startServer(call + "-s2", "v2", broken);
		if (broken.left == Left.ONE) {
			startServer(call + "-s3", "v1", broken);
		}
		startServer(call + "-s4", "v2", broken);
		Set<String> ids = Set.copyOf(this.servers.keySet());
		GatewayHarness
			.await(() -> this.fleet.stream().allMatch((gateway) -> ids.stream().allMatch(gateway::knowsServer)));
		sleep(BEFORE_RETRY_MILLIS);
	}

	private void startServer(String id, String version, Case broken) {
		ScriptedServer server = scripted(version, broken);
		this.servers.put(id, server);
		this.store.put(GatewayHarness.SERVERS, id, "app " + server.address() + " ready 0 " + version);
	}

	private static ScriptedServer scripted(String version, Case broken) {
		return ScriptedServer.start((request, exchange) -> answer(request, exchange, version, broken));
	}

	private static void answer(Request request, Exchange exchange, String version, Case broken) throws IOException {
		boolean resumed = !request.header("resume-after").isEmpty();
		boolean takenUp = !request.header("first-call").isEmpty() || request.call().endsWith("-again");
		boolean completes = (takenUp && broken.where.breaks) || (broken.who == Who.GATEWAY && broken.where.breaks
				&& (resumed || request.header("server").matches(".*-s[234]")));
		int after = resumed ? Integer.parseInt(request.header("resume-after")) : 0;
		if (!completes) {
			broken.where.write(request, exchange, version, after);
			if (broken.where != Where.WHOLE) {
				broken.how.end(exchange);
			}
			return;
		}
		exchange.write(head(request));
		for (int i = after + 1; i <= EVENTS; i++) {
			exchange.write(chunk(event(i, version)));
		}
		exchange.write("0\r\n\r\n");
	}

	private static String head(Request request) {
		return "HTTP/1.1 200 OK\r\nCall: " + request.call()
				+ "\r\nSignature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
	}

	private static String event(int number, String version) {
		return "id: " + number + "\ndata: " + version + "\n\n";
	}

	private static String chunk(String text) {
		return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
	}

	private Response send(int gateway, String call, String path, String more) throws IOException {
		return this.fleet.get(gateway)
			.send(RawCaller.get(call, "/summaries/" + path).replace("\r\n\r\n", "\r\n" + more + "\r\n"));
	}

	private static void addEvents(String body, List<String> received) {
		Matcher events = EVENT.matcher(body);
		while (events.find()) {
			received.add(events.group(1) + " " + events.group(2));
		}
	}

	// Another call of the caller, which names the first one and the last event. The
	// server
	// that began the stream is gone.
	private boolean takeUp(int gateway, String call, Case broken, List<String> received) throws IOException {
		String server = call + "-s1";
		remove(server);
		GatewayHarness.await(() -> this.fleet.stream()
			.filter((running) -> running != this.fleet.getFirst() || broken.who != Who.CALLER_AFTER_KILL)
			.noneMatch((running) -> running.knowsServer(server)));
		sleep(BEFORE_RETRY_MILLIS);
		String last = received.getLast().split(" ")[0];
		Response response = send(gateway, call + "-again", call,
				"First-Call: " + call + "\r\nResume-After: " + last + "\r\n");
		addEvents(response.body(), received);
		if (broken.left == Left.NONE) {
			assertThat(response.status()).isEqualTo(503);
			assertThat(response.hasHeader("retry-after")).isTrue();
			return false;
		}
		return response.complete() && response.status() == 200;
	}

	private void remove(String server) {
		this.store.remove(GatewayHarness.SERVERS, server);
		this.servers.remove(server).close();
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new AssertionError(ex);
		}
	}

	/** Where the first server breaks the stream off. */
	private enum Where {

		BEFORE_HEAD(0) {
			@Override
			void write(Request request, Exchange exchange, String version, int after) {
			}
		},

		BEFORE_EVENT(0) {
			@Override
			void write(Request request, Exchange exchange, String version, int after) throws IOException {
				exchange.write(head(request));
			}
		},

		INSIDE_FIRST_EVENT(0) {
			@Override
			void write(Request request, Exchange exchange, String version, int after) throws IOException {
				exchange.write(head(request) + chunk("id: 1\nda"));
			}
		},

		BEHIND_EVENT(1) {
			@Override
			void write(Request request, Exchange exchange, String version, int after) throws IOException {
				exchange.write(head(request) + ((after == 0) ? chunk(event(1, version)) : ""));
			}
		},

		INSIDE_SECOND_EVENT(1) {
			@Override
			void write(Request request, Exchange exchange, String version, int after) throws IOException {
				exchange.write(head(request) + chunk(((after == 0) ? event(1, version) : "") + "id: 2\nda"));
			}
		},

		BEHIND_NEXT_EVENT(1, false) {
			@Override
			void write(Request request, Exchange exchange, String version, int after) throws IOException {
				exchange.write(head(request) + chunk(event(after + 1, version)));
			}
		},

		WHOLE(0, false) {
			@Override
			void write(Request request, Exchange exchange, String version, int after) throws IOException {
				exchange.write(head(request) + chunk(event(1, version)) + "0\r\n\r\n");
			}
		};

		private final int events;

		/** Whether it breaks the stream off for good. */
		private final boolean breaks;

		Where(int events) {
			this(events, true);
		}

		Where(int events, boolean breaks) {
			this.events = events;
			this.breaks = breaks;
		}

		abstract void write(Request request, Exchange exchange, String version, int after) throws IOException;

	}

	/** How the first server ends its connection. */
	private enum How {

		CLOSED {
			@Override
			void end(Exchange exchange) throws IOException {
				sleep(BEFORE_RETRY_MILLIS);
				exchange.socket().close();
			}
		},

		RESET {
			@Override
			void end(Exchange exchange) throws IOException {
				sleep(BEFORE_RETRY_MILLIS);
				exchange.reset();
			}
		};

		abstract void end(Exchange exchange) throws IOException;

	}

	/** Which servers of the version that began the stream are left. */
	private enum Left {

		NONE, ONE

	}

	/** Who goes on with the stream. */
	private enum Who {

		GATEWAY {
			@Override
			boolean receive(StreamVersionTests test, String call, Case broken, List<String> received)
					throws IOException {
				Response response = test.send(0, call, call, "");
				addEvents(response.body(), received);
				return response.complete() && response.status() == 200;
			}
		},

		CALLER_HERE {
			@Override
			boolean receive(StreamVersionTests test, String call, Case broken, List<String> received)
					throws IOException {
				addEvents(test.send(0, call, call, "").body(), received);
				return test.takeUp(0, call, broken, received);
			}
		},

		CALLER_ELSEWHERE {
			@Override
			boolean receive(StreamVersionTests test, String call, Case broken, List<String> received)
					throws IOException {
				addEvents(test.send(0, call, call, "").body(), received);
				return test.takeUp(1 + test.cases.get() % (GATEWAYS - 1), call, broken, received);
			}
		},

		// The gateway stops in the middle of the stream, as when it is killed.
		CALLER_AFTER_KILL {
			@Override
			boolean receive(StreamVersionTests test, String call, Case broken, List<String> received) throws Exception {
				CountDownLatch begun = new CountDownLatch(1);
				CountDownLatch end = new CountDownLatch(1);
				addEvents(test.send(0, call, call, "").body(), received);
				test.fleet.getFirst().stall(begun, end);
				begun.await();
				try {
					return test.takeUp(1 + test.cases.get() % (GATEWAYS - 1), call, broken, received);
				}
				finally {
					end.countDown();
				}
			}
		};

		abstract boolean receive(StreamVersionTests test, String call, Case broken, List<String> received)
				throws Exception;

	}

	/**
	 * A stream that breaks off.
	 *
	 * @param where where its first server breaks it off
	 * @param how how that server ends the connection
	 * @param who who goes on with it
	 * @param left which servers of its version are left
	 */
	private record Case(Where where, How how, Who who, Left left) {
	}

}
