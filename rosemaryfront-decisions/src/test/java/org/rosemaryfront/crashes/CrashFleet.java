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

import org.rosemaryfront.dispatch.BackendServer.Start;

/**
 * Simulates, on virtual time, gateways that send requests to servers that crash. One
 * request crashes each server that begins to run it and is retried through any gateway;
 * other requests run on the same servers and are retried once if their server crashes.
 * Gateways exchange reports and write to a store; both channels can fail.
 */
final class CrashFleet {

	/** The time after which all gateways have received what the others observed. */
	private static final long CONTACT_MILLIS = 3_000;

	private static final int TELL_MILLIS = 250;

	private static final int LOOK_MILLIS = 20;

	private static final int TELL_SOON_MILLIS = 50;

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

	private final Set<RequestDigest> trials = new HashSet<>();

	private boolean storeAway;

	private boolean deaf;

	// -- results

	private final List<Long> guiltyCrashes = new ArrayList<>();

	private final List<Long> guiltySendings = new ArrayList<>();

	private final Map<RequestDigest, Integer> refused = new HashMap<>();

	private long nowMillis;

	private long names;

	private CrashFleet(int count, long seed) {
		this.random = new Random(seed);
		for (int i = 0; i < count; i++) {
			this.gateways.add(new Gateway());
		}
		for (int i = 0; i < SERVERS; i++) {
			this.servers.add(new Server());
		}
	}

	static CrashFleet of(int gateways, long seed) {
		return new CrashFleet(gateways, seed);
	}

	/** Returns a request that has not been sent before. */
	RequestDigest request() {
		RequestDigest.Builder builder = RequestDigest.begin("sfax", "POST", "a.example", "/quotes/");
		builder.body(ByteBuffer.allocate(Long.BYTES).putLong(this.names++).flip());
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
				this.events.poll().what.run();
			}
			if (comes(load.otherPerSecond)) {
				anyGateway().send(new Copy(request(), false, false));
			}
			if (comes(load.popularPerSecond)) {
				anyGateway().send(new Copy(load.popular, false, false));
			}
			if (comes(load.guiltyPerSecond)) {
				anyGateway().send(new Copy(load.guilty, true, false));
			}
			this.gateways.forEach(Gateway::tick);
			if (this.nowMillis % LOOK_MILLIS == 0) {
				withdraw(load.guilty);
			}
		}
	}

	void storeAway(boolean away) {
		this.storeAway = away;
		if (!away) {
			this.gateways.forEach(Gateway::readAll);
		}
	}

	void deaf(boolean now) {
		this.deaf = now;
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
	void loseServers(int count) {
		this.servers.stream().filter((server) -> server.lives).limit(count).toList().forEach(Server::crash);
	}

	/** Resets all connections of a server, which stays alive. */
	void resetConnections() {
		Server server = this.servers.get(this.random.nextInt(SERVERS));
		List<Copy> calls = List.copyOf(server.calls.keySet());
		calls.forEach((copy) -> server.calls.get(copy).broke(copy, server));
		calls.forEach(server.calls::remove);
	}

	// -- results

	int guiltyCrashes() {
		return this.guiltyCrashes.size();
	}

	/**
	 * Returns the number of times the request was sent after the time for propagation.
	 */
	int sendingsTooMany() {
		if (this.guiltyCrashes.size() < CrashTable.HELD_AFTER) {
			return 0;
		}
		long from = this.guiltyCrashes.get(CrashTable.HELD_AFTER - 1) + CONTACT_MILLIS;
		return (int) this.guiltySendings.stream().filter((at) -> at > from).count();
	}

	int refused(RequestDigest request) {
		return this.refused.getOrDefault(request, 0);
	}

	int refusedBut(RequestDigest request) {
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

	private boolean comes(double perSecond) {
		return this.random.nextDouble() < perSecond / 1_000;
	}

	private Gateway anyGateway() {
		return this.gateways.get(this.random.nextInt(this.gateways.size()));
	}

	private void after(long millis, Runnable what) {
		this.events.add(new Event(this.nowMillis + millis, this.names++, what));
	}

	private long nowNanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.nowMillis);
	}

	// Copies in the servers' queues are withdrawn once their request is quarantined.
	private void withdraw(RequestDigest request) {
		for (Gateway gateway : this.gateways) {
			if (gateway.table.judge(request) instanceof Judgement.Held) {
				this.servers.forEach((server) -> server.calls.entrySet()
					.removeIf((call) -> call.getValue() == gateway && call.getKey().request.equals(request)
							&& !call.getKey().onTrial));
			}
		}
	}

	// All gateways read a new row after a delay, unless the store is unavailable then.
	private void put(Evidence row) {
		Evidence before = this.rows.get(row.crash());
		if (before == null || before.state().compareTo(row.state()) < 0) {
			this.rows.put(row.crash(), row);
			after(DELAY_MILLIS, () -> {
				if (!this.storeAway) {
					this.gateways.forEach((gateway) -> gateway.table.stored(row, nowNanos()));
				}
			});
		}
	}

	/** A gateway with its table of crashes. */
	private final class Gateway {

		private final CrashTable table = new CrashTable();

		private long toldMillis = CrashFleet.this.nowMillis - CrashFleet.this.random.nextInt(TELL_MILLIS);

		private boolean urgent;

		private void send(Copy copy) {
			switch (this.table.judge(copy.request)) {
				case Judgement.Free _ -> sendTo(copy);
				case Judgement.Held _ -> refuse(copy);
				case Judgement.OnTrial _ -> {
					boolean granted = !CrashFleet.this.storeAway && CrashFleet.this.trials.add(copy.request);
					if (!CrashFleet.this.storeAway) {
						CrashFleet.this.gateways.forEach((gateway) -> gateway.table.trial(copy.request, true));
					}
					copy.onTrial = granted;
					if (granted) {
						sendTo(copy);
					}
					else {
						refuse(copy);
					}
				}
			}
		}

		private void refuse(Copy copy) {
			CrashFleet.this.refused.merge(copy.request, 1, Integer::sum);
		}

		private void sendTo(Copy copy) {
			List<Server> living = CrashFleet.this.servers.stream().filter((server) -> server.lives).toList();
			if (!living.isEmpty()) {
				if (copy.guilty) {
					CrashFleet.this.guiltySendings.add(CrashFleet.this.nowMillis);
				}
				living.get(CrashFleet.this.random.nextInt(living.size())).take(copy, this);
			}
		}

		private void broke(Copy copy, Server server) {
			Crash crash = new Crash(copy.request, server.start);
			if (this.table.suspected(crash, CrashFleet.this.nowMillis, nowNanos())) {
				after(DELAY_MILLIS, () -> asked(server));
			}
			if (!copy.isRepeat && !copy.guilty) {
				send(new Copy(copy.request, false, true));
			}
		}

		private void asked(Server server) {
			if (server.lives) {
				this.table.answers(server.start, nowNanos(), nowNanos());
			}
			else {
				this.urgent |= !this.table.crashed(server.start, nowNanos()).isEmpty();
			}
		}

		private void answered(Copy copy, Server server, long sentNanos) {
			this.table.answers(server.start, sentNanos, nowNanos());
			this.urgent |= !this.table.cleared(copy.request, nowNanos()).isEmpty();
			if (CrashFleet.this.trials.remove(copy.request)) {
				CrashFleet.this.gateways.forEach((gateway) -> gateway.table.trial(copy.request, false));
			}
		}

		private void tick() {
			if (CrashFleet.this.nowMillis % LOOK_MILLIS != 0) {
				return;
			}
			this.table.expire(nowNanos());
			for (Evidence row : this.table.unwritten(50, nowNanos())) {
				if (CrashFleet.this.storeAway) {
					this.table.notWritten(row, nowNanos());
				}
				else {
					put(row);
					this.table.written(row);
				}
			}
			long pause = this.urgent ? TELL_SOON_MILLIS : TELL_MILLIS;
			if (CrashFleet.this.nowMillis - this.toldMillis >= pause) {
				this.toldMillis = CrashFleet.this.nowMillis;
				this.urgent = false;
				tell(this.table.news(nowNanos()));
			}
		}

		private void tell(List<Evidence> news) {
			if (!news.isEmpty() && !CrashFleet.this.deaf) {
				after(DELAY_MILLIS,
						() -> CrashFleet.this.gateways.stream()
							.filter((other) -> other != this)
							.forEach((other) -> news.forEach((one) -> other.table.heard(one, nowNanos()))));
			}
		}

		private void readAll() {
			CrashFleet.this.rows.values().forEach((row) -> this.table.stored(row, nowNanos()));
			CrashFleet.this.trials.forEach((request) -> this.table.trial(request, true));
		}

	}

	/** A server with its calls, each with the gateway that sent it. */
	private final class Server {

		private Start start = name();

		private boolean lives = true;

		private final Map<Copy, Gateway> calls = new LinkedHashMap<>();

		private Start name() {
			return new Start("s" + CrashFleet.this.names++, 0);
		}

		private void take(Copy copy, Gateway from) {
			this.calls.put(copy, from);
			long sent = nowNanos();
			int queue = CrashFleet.this.random.nextInt(QUEUE_MILLIS);
			after(queue + (copy.guilty ? CRASH_MILLIS : RUN_MILLIS), () -> {
				if (this.calls.containsKey(copy)) {
					end(copy, from, sent);
				}
			});
		}

		private void end(Copy copy, Gateway from, long sentNanos) {
			if (copy.guilty) {
				CrashFleet.this.guiltyCrashes.add(CrashFleet.this.nowMillis);
				crash();
			}
			else {
				this.calls.remove(copy);
				from.answered(copy, this, sentNanos);
			}
		}

		private void crash() {
			this.lives = false;
			Map<Copy, Gateway> lost = new LinkedHashMap<>(this.calls);
			this.calls.clear();
			lost.forEach((copy, gateway) -> gateway.broke(copy, this));
			after(BOOT_MILLIS, () -> {
				this.start = name();
				this.lives = true;
			});
		}

	}

	/**
	 * The incoming requests.
	 *
	 * @param guilty the request that crashes its servers
	 * @param guiltyPerSecond the rate of this request
	 * @param popular a request that many callers send
	 * @param popularPerSecond the rate of this request
	 * @param otherPerSecond the rate of requests that are sent only once
	 */
	record Load(RequestDigest guilty, double guiltyPerSecond, RequestDigest popular, double popularPerSecond,
			double otherPerSecond) {

		Load withoutGuilty() {
			return new Load(this.guilty, 0, this.popular, this.popularPerSecond, this.otherPerSecond);
		}

	}

	/** One attempt to send a request. */
	private static final class Copy {

		private final RequestDigest request;

		private final boolean guilty;

		private final boolean isRepeat;

		private boolean onTrial;

		private Copy(RequestDigest request, boolean guilty, boolean isRepeat) {
			this.request = request;
			this.guilty = guilty;
			this.isRepeat = isRepeat;
		}

	}

	private record Event(long atMillis, long number, Runnable what) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int order = Long.compare(this.atMillis, other.atMillis);
			return (order != 0) ? order : Long.compare(this.number, other.number);
		}

	}

}
