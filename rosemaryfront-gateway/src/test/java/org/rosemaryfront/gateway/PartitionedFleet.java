package org.rosemaryfront.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;

import org.rosemaryfront.standin.net.Relay;
import org.rosemaryfront.standin.net.Relay.Partition;

/**
 * Gateways and backend servers with a relay on each link between them, and callers at
 * each gateway. The callers send each request once.
 */
final class PartitionedFleet implements AutoCloseable {

	/** The time between two calls at a gateway, in milliseconds. */
	private static final long CALL_INTERVAL_MILLIS = 20;

	private static final long ANSWER_NANOS = 30_000_000;

	private static final int ANSWERS_PER_CONNECTION = 20;

	private static final String EVENT = "id: 1\n\n";

	private static final List<String> PATHS = List.of("/sheets/", "/visits/", "/summaries/");

	private final MemoryRowStore store = new MemoryRowStore();

	private final PlainCodecs codecs = new PlainCodecs();

	private final List<ScriptedServer> servers = new ArrayList<>();

	/** The relays of each gateway, by the registered address of the server. */
	private final List<Map<String, Relay>> links = new ArrayList<>();

	private final List<GatewayHarness> gateways = new ArrayList<>();

	/** How often each call reached a server, by its identifier. */
	private final Map<String, Integer> arrivals = new ConcurrentHashMap<>();

	private final List<Outcome> outcomes = new CopyOnWriteArrayList<>();

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
			ScriptedServer server = ScriptedServer.start((request, exchange) -> {
				this.arrivals.merge(request.call(), 1, Integer::sum);
				answer(request, exchange);
			});
			this.servers.add(server);
			this.store.put(GatewayHarness.SERVERS, "s" + i, "app " + server.address() + " ready");
		}
	}

	// Closes connections now and then, so that new ones are needed.
	private void answer(ScriptedServer.Request request, ScriptedServer.Exchange exchange) throws IOException {
		LockSupport.parkNanos(ANSWER_NANOS);
		boolean last = this.answered.incrementAndGet() % ANSWERS_PER_CONNECTION == 0;
		exchange.write("HTTP/1.1 200 OK\r\nCall: " + request.call() + "\r\nSignature: s\r\n"
				+ (last ? "Connection: close\r\n" : "") + "Content-Length: " + EVENT.length() + "\r\n\r\n" + EVENT);
		if (last) {
			exchange.socket().close();
		}
	}

	private GatewayHarness startGateway(int index) {
		Map<String, Relay> own = this.links.get(index);
		return GatewayHarness.startOne(this.store, index + 1,
				this.codecs.withServersAt((address) -> own.computeIfAbsent(address, Relay::start).address()));
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
			return new Outcome(gateway, call, path, started, response.complete() ? response.status() : 0);
		}
		catch (IOException ex) {
			return new Outcome(gateway, call, path, started, 0);
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

	// -- queries

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
	 * Returns the number of outcomes by path and status, for the message of a failed
	 * check.
	 * @param outcomes the outcomes
	 * @return the counts
	 */
	static Map<String, Integer> summary(List<Outcome> outcomes) {
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
	 * What became of a call.
	 *
	 * @param gateway the gateway that received it
	 * @param call its identifier
	 * @param path its path
	 * @param startedNanos when the caller connected
	 * @param status the status of the response, 0 if there was no complete one
	 */
	record Outcome(int gateway, String call, String path, long startedNanos, int status) {

		boolean isServed() {
			return this.status == 200;
		}

	}

}
