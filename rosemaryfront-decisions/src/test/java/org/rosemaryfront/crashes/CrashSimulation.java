package org.rosemaryfront.crashes;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.rosemaryfront.crashes.Evidence.State;
import org.rosemaryfront.dispatch.BackendServer.Incarnation;

/**
 * Simulates, on virtual time, gateways that send requests to servers that crash. One
 * request crashes each server that begins to run it and is retried through any gateway;
 * other requests run on the same servers and are retried once if their server crashes.
 * Gateways exchange reports and write to a store; both channels can fail.
 */
final class CrashSimulation {

	/** The time after which all gateways have received what the others observed. */
	private static final long PROPAGATION_MILLIS = 3_000;

	private static final int REPORT_MILLIS = 250;

	private static final int TICK_MILLIS = 20;

	private static final int URGENT_REPORT_MILLIS = 50;

	/** The delay of a report, of a row's propagation, and of a refused new connection. */
	private static final int DELAY_MILLIS = 15;

	/** The maximum time that a request waits in the queue of its server. */
	private static final int QUEUE_MILLIS = 600;

	/** The time from the first token of the request to the crash. */
	private static final int CRASH_MILLIS = 70;

	private static final int RUN_MILLIS = 300;

	private static final int BOOT_MILLIS = 4_000;

	private static final int SERVERS = 9;

	private final Random random;

	private final List<Gateway> gateways = new ArrayList<>();

	private final List<Server> servers = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	// -- store

	private final Map<Crash, Evidence> rows = new LinkedHashMap<>();

	private final Set<RequestDigest> probes = new HashSet<>();

	private boolean storeUnavailable;

	private boolean reportsLost;

	// -- results

	private final List<Long> harmfulRequestCrashes = new ArrayList<>();

	private final List<Long> harmfulRequestSends = new ArrayList<>();

	private final Map<RequestDigest, Integer> refused = new HashMap<>();

	private long nowMillis;

	private long sequence;

	private CrashSimulation(int count, long seed) {
		this.random = new Random(seed);
		for (int i = 0; i < count; i++) {
			this.gateways.add(new Gateway());
		}
		for (int i = 0; i < SERVERS; i++) {
			this.servers.add(new Server());
		}
	}

	static CrashSimulation of(int gateways, long seed) {
		return new CrashSimulation(gateways, seed);
	}

	/** Returns a request that has not been sent before. */
	RequestDigest request() {
		RequestDigest.Builder builder = RequestDigest.begin("sfax", "POST", "a.example", "/quotes/");
		builder.body(ByteBuffer.allocate(Long.BYTES).putLong(this.sequence++).flip());
		return builder.end();
	}

	// -- simulated events

	/**
	 * Advances the simulation.
	 * @param millis the time, in milliseconds
	 * @param load the incoming requests
	 */
	void run(long millis, Load load) {
		for (long until = this.nowMillis + millis; this.nowMillis < until; this.nowMillis++) {
			while (!this.events.isEmpty() && this.events.peek().atMillis <= this.nowMillis) {
				this.events.poll().action.run();
			}
			if (arrives(load.otherPerSecond)) {
				randomGateway().send(new Attempt(request(), false, false));
			}
			if (arrives(load.popularPerSecond)) {
				randomGateway().send(new Attempt(load.popular, false, false));
			}
			if (arrives(load.harmfulPerSecond)) {
				randomGateway().send(new Attempt(load.harmful, true, false));
			}
			this.gateways.forEach(Gateway::tick);
			if (this.nowMillis % TICK_MILLIS == 0) {
				withdraw(load.harmful);
			}
		}
	}

	void storeUnavailable(boolean unavailable) {
		this.storeUnavailable = unavailable;
		if (!unavailable) {
			this.gateways.forEach(Gateway::readAll);
		}
	}

	void reportsLost(boolean areLost) {
		this.reportsLost = areLost;
	}

	/**
	 * Kills all gateways and starts new processes in their place, which read the store.
	 */
	void killAll() {
		this.servers.forEach((server) -> server.calls.clear());
		this.gateways.replaceAll((_) -> new Gateway());
		this.gateways.forEach(Gateway::readAll);
	}

	/**
	 * Crashes servers simultaneously, without a request as the cause.
	 * @param count the number of servers
	 */
	void crashServers(int count) {
		this.servers.stream().filter((server) -> server.alive).limit(count).toList().forEach(Server::crash);
	}

	/** Resets all connections of a server, which stays alive. */
	void resetConnections() {
		Server server = this.servers.get(this.random.nextInt(SERVERS));
		List<Attempt> calls = List.copyOf(server.calls.keySet());
		calls.forEach((attempt) -> server.calls.get(attempt).connectionBroke(attempt, server));
		calls.forEach(server.calls::remove);
	}

	// -- results

	int harmfulRequestCrashes() {
		return this.harmfulRequestCrashes.size();
	}

	/**
	 * Returns how often the harmful request was sent after its third crash and the time
	 * for propagation.
	 */
	int excessSends() {
		if (this.harmfulRequestCrashes.size() < CrashTable.QUARANTINE_THRESHOLD) {
			return 0;
		}
		long from = this.harmfulRequestCrashes.get(CrashTable.QUARANTINE_THRESHOLD - 1) + PROPAGATION_MILLIS;
		return (int) this.harmfulRequestSends.stream().filter((at) -> at > from).count();
	}

	int refused(RequestDigest request) {
		return this.refused.getOrDefault(request, 0);
	}

	int refusedExcept(RequestDigest request) {
		return this.refused.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(request))
			.mapToInt(Map.Entry::getValue)
			.sum();
	}

	int rows() {
		return this.rows.size();
	}

	// -- internals

	private boolean arrives(double perSecond) {
		return this.random.nextDouble() < perSecond / 1_000;
	}

	private Gateway randomGateway() {
		return this.gateways.get(this.random.nextInt(this.gateways.size()));
	}

	private void schedule(long millis, Runnable action) {
		this.events.add(new Event(this.nowMillis + millis, this.sequence++, action));
	}

	private long nowNanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.nowMillis);
	}

	// Attempts that servers have not completed are withdrawn once their request is
	// quarantined.
	private void withdraw(RequestDigest request) {
		for (Gateway gateway : this.gateways) {
			if (gateway.table.decide(request) instanceof QuarantineDecision.Quarantined) {
				this.servers.forEach((server) -> server.calls.entrySet()
					.removeIf((call) -> call.getValue() == gateway && call.getKey().request.equals(request)
							&& !call.getKey().isProbe));
			}
		}
	}

	// All gateways read a new row after a delay, unless the store is unavailable then.
	private void writeRow(Evidence row) {
		Evidence before = this.rows.get(row.crash());
		if (before == null || before.state().compareTo(row.state()) < 0) {
			this.rows.put(row.crash(), row);
			schedule(DELAY_MILLIS, () -> {
				if (!this.storeUnavailable) {
					this.gateways.forEach((gateway) -> gateway.table.rowRead(row, nowNanos()));
				}
			});
		}
	}

	/** A gateway with its table of crashes. */
	private final class Gateway {

		private final CrashTable table = new CrashTable();

		private long reportedMillis = CrashSimulation.this.nowMillis
				- CrashSimulation.this.random.nextInt(REPORT_MILLIS);

		private boolean urgent;

		private void send(Attempt attempt) {
			switch (this.table.decide(attempt.request)) {
				case QuarantineDecision.Allowed _ -> sendTo(attempt);
				case QuarantineDecision.Quarantined _, QuarantineDecision.SegmentsQuarantined _ -> refuse(attempt);
				case QuarantineDecision.Probe _ -> {
					boolean granted = !CrashSimulation.this.storeUnavailable
							&& CrashSimulation.this.probes.add(attempt.request);
					if (!CrashSimulation.this.storeUnavailable) {
						CrashSimulation.this.gateways
							.forEach((gateway) -> gateway.table.setProbeGranted(attempt.request, true));
					}
					attempt.isProbe = granted;
					if (granted) {
						sendTo(attempt);
					}
					else {
						refuse(attempt);
					}
				}
			}
		}

		private void refuse(Attempt attempt) {
			CrashSimulation.this.refused.merge(attempt.request, 1, Integer::sum);
		}

		private void sendTo(Attempt attempt) {
			List<Server> live = CrashSimulation.this.servers.stream().filter((server) -> server.alive).toList();
			if (!live.isEmpty()) {
				if (attempt.harmful) {
					CrashSimulation.this.harmfulRequestSends.add(CrashSimulation.this.nowMillis);
				}
				live.get(CrashSimulation.this.random.nextInt(live.size())).receive(attempt, this);
			}
		}

		private void connectionBroke(Attempt attempt, Server server) {
			Evidence suspected = Evidence.against(attempt.request, server.start, State.SUSPECTED,
					CrashSimulation.this.nowMillis);
			if (this.table.connectionLost(suspected, nowNanos())) {
				schedule(DELAY_MILLIS, () -> checkServer(server));
			}
			if (!attempt.isRetry && !attempt.harmful) {
				send(new Attempt(attempt.request, false, true));
			}
		}

		private void checkServer(Server server) {
			if (server.alive) {
				this.table.serverResponded(server.start, nowNanos(), nowNanos());
			}
			else {
				this.urgent |= !this.table.serverCrashed(server.start, nowNanos()).isEmpty();
			}
		}

		private void responseReceived(Attempt attempt, Server server, long sentNanos) {
			this.table.serverResponded(server.start, sentNanos, nowNanos());
			this.urgent |= !this.table.clear(attempt.request, nowNanos()).isEmpty();
			if (CrashSimulation.this.probes.remove(attempt.request)) {
				CrashSimulation.this.gateways
					.forEach((gateway) -> gateway.table.setProbeGranted(attempt.request, false));
			}
		}

		private void tick() {
			if (CrashSimulation.this.nowMillis % TICK_MILLIS != 0) {
				return;
			}
			this.table.expire(nowNanos());
			for (Evidence row : this.table.pendingWrites(50, nowNanos())) {
				if (CrashSimulation.this.storeUnavailable) {
					this.table.writeFailed(row, nowNanos());
				}
				else {
					writeRow(row);
					this.table.writeCommitted(row);
				}
			}
			long interval = this.urgent ? URGENT_REPORT_MILLIS : REPORT_MILLIS;
			if (CrashSimulation.this.nowMillis - this.reportedMillis >= interval) {
				this.reportedMillis = CrashSimulation.this.nowMillis;
				this.urgent = false;
				report(this.table.updates(nowNanos()));
			}
		}

		private void report(List<Evidence> updates) {
			if (!updates.isEmpty() && !CrashSimulation.this.reportsLost) {
				schedule(DELAY_MILLIS,
						() -> CrashSimulation.this.gateways.stream()
							.filter((other) -> other != this)
							.forEach((other) -> updates.forEach((update) -> other.table.receive(update, nowNanos()))));
			}
		}

		private void readAll() {
			CrashSimulation.this.rows.values().forEach((row) -> this.table.rowRead(row, nowNanos()));
			CrashSimulation.this.probes.forEach((request) -> this.table.setProbeGranted(request, true));
		}

	}

	/** A server with its running attempts, each with the gateway that sent it. */
	private final class Server {

		private Incarnation start = newStart();

		private boolean alive = true;

		private final Map<Attempt, Gateway> calls = new LinkedHashMap<>();

		private Incarnation newStart() {
			return new Incarnation("s" + CrashSimulation.this.sequence++, 0);
		}

		private void receive(Attempt attempt, Gateway from) {
			this.calls.put(attempt, from);
			long attemptNanos = nowNanos();
			int queueMillis = CrashSimulation.this.random.nextInt(QUEUE_MILLIS);
			schedule(queueMillis + (attempt.harmful ? CRASH_MILLIS : RUN_MILLIS), () -> {
				if (this.calls.containsKey(attempt)) {
					complete(attempt, from, attemptNanos);
				}
			});
		}

		private void complete(Attempt attempt, Gateway from, long sentNanos) {
			if (attempt.harmful) {
				CrashSimulation.this.harmfulRequestCrashes.add(CrashSimulation.this.nowMillis);
				crash();
			}
			else {
				this.calls.remove(attempt);
				from.responseReceived(attempt, this, sentNanos);
			}
		}

		private void crash() {
			this.alive = false;
			Map<Attempt, Gateway> lost = new LinkedHashMap<>(this.calls);
			this.calls.clear();
			lost.forEach((attempt, gateway) -> gateway.connectionBroke(attempt, this));
			schedule(BOOT_MILLIS, () -> {
				this.start = newStart();
				this.alive = true;
			});
		}

	}

	/**
	 * The incoming requests.
	 *
	 * @param harmful the request that crashes its servers
	 * @param harmfulPerSecond the rate of this request
	 * @param popular a request that many callers send
	 * @param popularPerSecond the rate of this request
	 * @param otherPerSecond the rate of requests that are sent only once
	 */
	record Load(RequestDigest harmful, double harmfulPerSecond, RequestDigest popular, double popularPerSecond,
			double otherPerSecond) {

		Load withoutHarmful() {
			return new Load(this.harmful, 0, this.popular, this.popularPerSecond, this.otherPerSecond);
		}

	}

	/** One attempt to send a request. */
	private static final class Attempt {

		private final RequestDigest request;

		private final boolean harmful;

		private final boolean isRetry;

		private boolean isProbe;

		private Attempt(RequestDigest request, boolean harmful, boolean isRetry) {
			this.request = request;
			this.harmful = harmful;
			this.isRetry = isRetry;
		}

	}

	private record Event(long atMillis, long number, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int order = Long.compare(this.atMillis, other.atMillis);
			return (order != 0) ? order : Long.compare(this.number, other.number);
		}

	}

}
