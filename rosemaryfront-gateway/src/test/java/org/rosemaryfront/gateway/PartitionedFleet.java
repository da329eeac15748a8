package org.rosemaryfront.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.rosemaryfront.standin.net.Relay;
import org.rosemaryfront.standin.net.Relay.Partition;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Gateways and backend servers with a relay on each link between them, and callers at
 * each gateway. The callers send each request once.
 */
final class PartitionedFleet implements AutoCloseable {

	/** The first tries that the users' rule lets fail in addition to a share of all. */
	private static final int ALLOWED_FAILURES = 10;

	/** One of this many first tries may fail. */
	private static final int ALLOWED_FAILURE_INTERVAL = 50;

	/** The time between two calls at a gateway, in milliseconds. */
	private static final long CALL_INTERVAL_MILLIS = 20;

	private static final long ANSWER_NANOS = 30_000_000;

	private static final int ANSWERS_PER_CONNECTION = 20;

	private static final int STREAM_EVENTS = 5;

	private static final String STREAM_PATH = "/summaries/";

	private static final List<String> PATHS = List.of("/sheets/", "/visits/", STREAM_PATH);

	private final MemoryRowStore store = new MemoryRowStore();

	private final PlainCodecs codecs = new PlainCodecs();

	private final List<ScriptedServer> servers = new ArrayList<>();

	/** The relays of each gateway, by the registered address of the server. */
	private final List<Map<String, Relay>> links = new ArrayList<>();

	private final List<GatewayHarness> gateways = new CopyOnWriteArrayList<>();

	/** How often each call reached a server, by its identifier. */
	private final Map<String, Integer> arrivals = new ConcurrentHashMap<>();

	private final List<Outcome> outcomes = new CopyOnWriteArrayList<>();

	/** What each server states in its responses, as headers. */
	private final Map<Integer, String> statements = new ConcurrentHashMap<>();

	private final Set<Integer> rejecting = ConcurrentHashMap.newKeySet();

	/** The requests that reached servers while these stated something. */
	private final List<Arrival> stated = new CopyOnWriteArrayList<>();

	/** The answers that servers give again later, once they do. */
	private volatile Optional<RepeatedAnswers> repeated = Optional.empty();

	private final AtomicInteger starts = new AtomicInteger();

	private final AtomicInteger answered = new AtomicInteger();

	private final AtomicInteger lastCall = new AtomicInteger();

	private final ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor();

	private volatile boolean ended;

	private PartitionedFleet() {
	}

	/**
	 * Starts a fleet and waits until it is ready.
	 * @param gatewayCount the number of gateways
	 * @param serverCount the number of servers
	 * @return the fleet, without callers
	 */
	static PartitionedFleet start(int gatewayCount, int serverCount) throws IOException {
		PartitionedFleet fleet = new PartitionedFleet();
		fleet.startServers(serverCount);
		for (int i = 0; i < gatewayCount; i++) {
			fleet.links.add(new ConcurrentHashMap<>());
			fleet.gateways.add(fleet.startGateway(i));
		}
		fleet.gateways.getFirst().declare();
		fleet.ready();
		return fleet;
	}

	private void startServers(int count) {
		for (int i = 0; i < count; i++) {
			int index = i;
			ScriptedServer server = ScriptedServer.start((request, exchange) -> arrived(index, request, exchange));
			this.servers.add(server);
			this.store.put(GatewayHarness.SERVERS, "s" + i, "app " + server.address() + " ready");
		}
	}

	private void arrived(int server, ScriptedServer.Request request, ScriptedServer.Exchange exchange)
			throws IOException {
		if (this.statements.containsKey(server)) {
			this.stated.add(new Arrival(request.header("sender"), server, request.call(), System.nanoTime(),
					this.rejecting.contains(server)));
		}
		if (this.rejecting.contains(server)) {
			exchange.status(request, 503, "Not-Run: 1\r\n" + this.statements.get(server));
			return;
		}
		this.arrivals.merge(request.call(), 1, Integer::sum);
		answer(request, exchange, this.statements.getOrDefault(server, ""));
	}

	private void answer(ScriptedServer.Request request, ScriptedServer.Exchange exchange, String statement)
			throws IOException {
		if (this.repeated.isPresent()) {
			exchange.write(this.repeated.get().before(exchange.socket(), request.call()));
		}
		if (isFailing(request.call())) {
			exchange.status(request, 500, "Signature: s\r\n");
		}
		else if (request.line().contains(STREAM_PATH)) {
			stream(request, exchange, statement);
		}
		else {
			LockSupport.parkNanos(ANSWER_NANOS);
			answerWhole(request, exchange, statement);
		}
	}

	// Closes connections now and then, so that new ones are needed.
	private void answerWhole(ScriptedServer.Request request, ScriptedServer.Exchange exchange, String statement)
			throws IOException {
		boolean last = this.answered.incrementAndGet() % ANSWERS_PER_CONNECTION == 0;
		exchange.write(head(request) + statement + (last ? "Connection: close\r\n" : "") + "Content-Length: "
				+ request.call().length() + "\r\n\r\n" + request.call());
		if (last) {
			exchange.socket().close();
		}
	}

	private boolean isFailing(String call) {
		return this.repeated.filter((answers) -> answers.isFailing(call)).isPresent();
	}

	private static void stream(ScriptedServer.Request request, ScriptedServer.Exchange exchange, String statement)
			throws IOException {
		String after = request.header("resume-after");
		exchange.write(head(request) + statement + "Transfer-Encoding: chunked\r\n\r\n");
		for (int id = after.isEmpty() ? 1 : Integer.parseInt(after) + 1; id <= STREAM_EVENTS; id++) {
			LockSupport.parkNanos(ANSWER_NANOS);
			String event = event(id, request.call());
			exchange.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
		}
		exchange.write("0\r\n\r\n");
	}

	private static String head(ScriptedServer.Request request) {
		return "HTTP/1.1 200 OK\r\nCall: " + request.call() + "\r\nSignature: s\r\n";
	}

	private static String event(int id, String call) {
		return "id: " + id + "\ndata: " + call + "\n\n";
	}

	// What a caller must get with a success.
	private static String expectedBody(String call, String path) {
		return path.equals(STREAM_PATH) ? IntStream.rangeClosed(1, STREAM_EVENTS)
			.mapToObj((id) -> event(id, call))
			.collect(Collectors.joining()) : call;
	}

	private GatewayHarness startGateway(int index) {
		Map<String, Relay> own = this.links.get(index);
		return GatewayHarness.startOne(this.store, index + 1,
				this.codecs.withServersAt((address) -> own.computeIfAbsent(address, Relay::start).address())
					.withSender(index + "/" + this.starts.incrementAndGet()));
	}

	private void ready() throws IOException {
		List<String> ids = IntStream.range(0, this.servers.size()).mapToObj((i) -> "s" + i).toList();
		for (GatewayHarness gateway : this.gateways) {
			gateway.ready(ids);
			GatewayHarness.await(() -> gateway.liveGateways() == this.gateways.size());
		}
	}

	// -- callers

	/**
	 * Starts callers at all gateways. New calls are made at a constant rate until the
	 * fleet is closed, whether or not earlier ones have ended.
	 */
	void call() {
		for (int gateway = 0; gateway < this.gateways.size(); gateway++) {
			int at = gateway;
			this.callers.submit(() -> callUntilEnd(at));
		}
	}

	private Void callUntilEnd(int gateway) throws InterruptedException {
		while (!this.ended) {
			int number = this.lastCall.incrementAndGet();
			this.callers
				.submit(() -> this.outcomes.add(callOnce(gateway, "c" + number, PATHS.get(number % PATHS.size()))));
			Thread.sleep(CALL_INTERVAL_MILLIS);
		}
		return null;
	}

	private Outcome callOnce(int gateway, String call, String path) {
		long started = System.nanoTime();
		try {
			RawCaller.Response response = this.gateways.get(gateway).send(RawCaller.get(call, path));
			return outcome(gateway, call, path, started, response);
		}
		catch (IOException ex) {
			return new Outcome(gateway, call, path, started, System.nanoTime(), 0, true);
		}
	}

	private Outcome outcome(int gateway, String call, String path, long started, RawCaller.Response response) {
		int status = response.complete() ? response.status() : 0;
		boolean correct = status != 200 || !isFailing(call) && response.body().equals(expectedBody(call, path));
		return new Outcome(gateway, call, path, started, System.nanoTime(), status, correct);
	}

	/**
	 * Starts a caller at each gateway who calls over one connection until the gateway
	 * closes it, then over another one, until the fleet is closed.
	 */
	void callOverOpenConnections() {
		for (int gateway = 0; gateway < this.gateways.size(); gateway++) {
			int at = gateway;
			this.callers.submit(() -> {
				while (!this.ended) {
					callOverOneConnection(at);
					Thread.sleep(CALL_INTERVAL_MILLIS);
				}
				return null;
			});
		}
	}

	private void callOverOneConnection(int gateway) throws InterruptedException {
		try (RawCaller caller = this.gateways.get(gateway).caller()) {
			boolean open = true;
			while (!this.ended && open) {
				open = callOn(caller, gateway);
				Thread.sleep(CALL_INTERVAL_MILLIS);
			}
		}
		catch (IOException ex) {
			// The gateway is stopping; the next one is called.
		}
	}

	private boolean callOn(RawCaller caller, int gateway) {
		int number = this.lastCall.incrementAndGet();
		String call = "c" + number;
		String path = PATHS.get(number % PATHS.size());
		long started = System.nanoTime();
		try {
			RawCaller.Response response = caller.send(RawCaller.get(call, path)).read();
			this.outcomes.add(outcome(gateway, call, path, started, response));
			return response.complete() && !response.head().toLowerCase(Locale.ROOT).contains("connection: close");
		}
		catch (IOException ex) {
			this.outcomes.add(new Outcome(gateway, call, path, started, System.nanoTime(), 0, true));
			return false;
		}
	}

	// -- faults

	/**
	 * Cuts the links of gateways to all servers.
	 * @param kind how the partition shows
	 * @param cut the gateways
	 */
	void partition(Partition kind, List<Integer> cut) {
		cut.forEach((gateway) -> this.links.get(gateway).values().forEach((link) -> link.partition(kind)));
	}

	/**
	 * Restores the links of gateways.
	 * @param cut the gateways
	 */
	void heal(List<Integer> cut) {
		cut.forEach((gateway) -> this.links.get(gateway).values().forEach(Relay::heal));
	}

	/**
	 * Pauses the traffic thread of a gateway.
	 * @param gateway the gateway
	 * @param until the pause ends when this reaches zero
	 */
	void pause(int gateway, CountDownLatch until) {
		this.gateways.get(gateway).stall(new CountDownLatch(1), until);
	}

	/**
	 * Stops a gateway as planned and starts another process in its place.
	 * @param gateway the gateway
	 */
	void restart(int gateway) {
		this.gateways.get(gateway).stop();
		this.gateways.set(gateway, startGateway(gateway));
	}

	/**
	 * Makes a server say in its responses that it leaves; it goes on serving.
	 * @param server the number of the server
	 */
	void leave(int server) {
		this.statements.put(server, "Leaving: 1\r\n");
	}

	/**
	 * Makes a server reject all requests and ask for a backoff, or serve again.
	 * @param server the number of the server
	 * @param reject whether it rejects them
	 * @param backoffSeconds the backoff that it asks for
	 */
	void reject(int server, boolean reject, int backoffSeconds) {
		if (reject) {
			this.statements.put(server, "Retry-After: " + backoffSeconds + "\r\n");
			this.rejecting.add(server);
		}
		else {
			this.rejecting.remove(server);
			this.statements.remove(server);
		}
	}

	/**
	 * Makes servers fail some calls, and answer calls again right before the next answer
	 * on their connection, whole or broken off.
	 * @param seed the seed of what is answered again
	 */
	void answerTwice(long seed) {
		this.repeated = Optional.of(new RepeatedAnswers(seed));
	}

	// -- queries

	/**
	 * Returns the requests that reached servers while these stated something.
	 * @return the arrivals in order
	 */
	List<Arrival> statedArrivals() {
		return List.copyOf(this.stated);
	}

	GatewayHarness gateway(int index) {
		return this.gateways.get(index);
	}

	/**
	 * Returns the outcomes of calls that started in a time.
	 * @param fromNanos the start of the time
	 * @param untilNanos its end
	 * @return the outcomes
	 */
	List<Outcome> outcomes(long fromNanos, long untilNanos) {
		return this.outcomes.stream()
			.filter((outcome) -> outcome.startedNanos - fromNanos >= 0 && outcome.startedNanos - untilNanos < 0)
			.toList();
	}

	/**
	 * Returns the outcomes of all calls by their identifiers.
	 * @return the outcomes
	 */
	Map<String, Outcome> outcomesByCall() {
		return this.outcomes.stream().collect(Collectors.toMap(Outcome::call, Function.identity()));
	}

	/**
	 * Returns the calls that got a success with another body than theirs.
	 * @return the identifiers
	 */
	List<String> wronglyAnswered() {
		return this.outcomes.stream().filter((outcome) -> !outcome.correct).map(Outcome::call).toList();
	}

	/**
	 * Returns the calls that must not run twice and reached servers more than once.
	 * @return the identifiers
	 */
	List<String> ranTwice() {
		return this.outcomes.stream()
			.filter((outcome) -> outcome.path.equals("/visits/"))
			.map(Outcome::call)
			.filter((call) -> this.arrivals.getOrDefault(call, 0) > 1)
			.toList();
	}

	/**
	 * Returns the calls that were answered as not run although they reached a server.
	 * @return the identifiers
	 */
	List<String> ranThoughRefused() {
		return this.outcomes.stream()
			.filter((outcome) -> outcome.status == 503 || outcome.status == 429)
			.map(Outcome::call)
			.filter(this.arrivals::containsKey)
			.toList();
	}

	/**
	 * Asserts that no more first tries failed than the users' rule allows.
	 * @param outcomes the first tries
	 * @param faults the faults meanwhile, for the message of a failed check
	 */
	static void assertServed(List<Outcome> outcomes, Object faults) {
		long failed = outcomes.stream().filter((outcome) -> !outcome.isServed()).count();
		assertThat(outcomes).isNotEmpty();
		assertThat(failed).as("failed of %s: %s, %s", outcomes.size(), summary(outcomes), faults)
			.isLessThanOrEqualTo(ALLOWED_FAILURES + outcomes.size() / ALLOWED_FAILURE_INTERVAL);
	}

	// The number of outcomes by path and status.
	private static Map<String, Integer> summary(List<Outcome> outcomes) {
		Map<String, Integer> counts = new HashMap<>();
		outcomes.forEach((outcome) -> counts.merge(outcome.path + " " + outcome.status, 1, Integer::sum));
		return counts;
	}

	@Override
	public void close() {
		this.ended = true;
		this.callers.close();
		this.gateways.forEach(GatewayHarness::close);
		this.links.forEach((own) -> own.values().forEach(Relay::close));
		this.servers.forEach(ScriptedServer::close);
	}

	/**
	 * A request that reached a server which states something.
	 *
	 * @param sender the gateway of the call, and which start of it
	 * @param server the number of the server
	 * @param call the identifier of the call
	 * @param atNanos when it arrived
	 * @param rejected whether the server rejected it
	 */
	record Arrival(String sender, int server, String call, long atNanos, boolean rejected) {
	}

	/**
	 * What became of a call.
	 *
	 * @param gateway the gateway that received it
	 * @param call its identifier
	 * @param path its path
	 * @param startedNanos when the caller connected
	 * @param endedNanos when the caller had the response or none
	 * @param status the status of the response, 0 if there was no complete one
	 * @param correct whether the body is that of the call, if the call succeeded
	 */
	record Outcome(int gateway, String call, String path, long startedNanos, long endedNanos, int status,
			boolean correct) {

		boolean isServed() {
			return this.status == 200;
		}

	}

}
