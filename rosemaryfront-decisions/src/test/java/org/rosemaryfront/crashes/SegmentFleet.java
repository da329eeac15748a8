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
import java.util.stream.IntStream;

import org.rosemaryfront.crashes.Evidence.State;
import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.fleet.Fleet;
import org.rosemaryfront.fleet.VirtualFleet;
import org.rosemaryfront.fleet.VirtualFleet.Identity;

/**
 * Gateways in virtual time, before servers that crash under segments of prompts. All
 * requests with such a segment differ in the rest of their prompts; harmless requests
 * share all segments with them but that one.
 */
final class SegmentFleet {

	/** The time after which a gateway is expected to know what others know. */
	private static final int CONTACT_MILLIS = 3_000;

	/** The crashes after which further requests with a segment are counted. */
	private static final int COUNTED_CRASHES = 5;

	/** The delay of a row's propagation, and of a refused new connection. */
	private static final int DELAY_MILLIS = 15;

	private static final int WRITE_INTERVAL_MILLIS = 20;

	private static final int MAX_QUEUE_MILLIS = 400;

	private static final int CRASH_MILLIS = 70;

	private static final int MIN_RUN_MILLIS = 150;

	private static final int MAX_RUN_MILLIS = 2_000;

	private static final int BOOT_MILLIS = 4_000;

	private static final int DOWN_MILLIS = 1_000;

	private static final double REQUESTS_PER_GATEWAY = 0.006;

	private static final int SESSIONS_PER_GATEWAY = 20;

	/** One of this many harmless requests belongs to the session of a harmful segment. */
	private static final int SHARED_SESSION_INTERVAL = 60;

	private static final String SERVICE = "llm";

	private static final String VERSION = "v1";

	private final Way way;

	private final int count;

	private final Random random;

	private final VirtualFleet<List<Evidence>> fleet;

	private final Map<Integer, Node> nodes = new HashMap<>();

	private final List<Server> servers = new ArrayList<>();

	private final PriorityQueue<Task> tasks = new PriorityQueue<>();

	private final Map<Crash, Evidence> rows = new LinkedHashMap<>();

	/** The holds of which a probe was sent. */
	private final Set<RequestDigest> probes = new HashSet<>();

	private final List<Harm> harms = new ArrayList<>();

	private boolean storeSilent;

	private boolean reportsLost;

	private long sequence;

	private int soundSent;

	private int soundRefused;

	private int soundCompleted;

	private SegmentFleet(Way way, int count, long seed) {
		this.way = way;
		this.count = count;
		this.random = new Random(seed);
		this.fleet = new VirtualFleet<>(count, 0, this.random, Node::new);
		int serverCount = Math.max(6, count * 2 / 3);
		IntStream.range(0, serverCount).forEach((_) -> this.servers.add(new Server()));
	}

	static SegmentFleet of(Way way, int gateways, long seed) {
		return new SegmentFleet(way, gateways, seed);
	}

	// -- load and faults

	/**
	 * Lets requests with a harmful segment arrive from now on.
	 * @param position the position of the segment in the prompt
	 * @param perSecond the rate of the requests
	 * @param attempts the servers that one request is sent to
	 * @return the segment
	 */
	Harm addHarm(int position, double perSecond, int attempts) {
		Harm harm = new Harm(this.harms.size(), position, perSecond, attempts);
		this.harms.add(harm);
		return harm;
	}

	void run(long millis) {
		this.fleet.run(millis, this::step);
	}

	void storeSilent(boolean silent) {
		this.storeSilent = silent;
		if (!silent) {
			this.nodes.values().forEach(Node::readAll);
		}
	}

	void reportsLost(boolean lost) {
		this.reportsLost = lost;
		this.fleet.lose(lost ? 1 : 0);
	}

	/**
	 * Kills gateways, which start again a second later and read the store.
	 * @param gateways the gateways
	 */
	void kill(List<Integer> gateways) {
		for (int gateway : gateways) {
			this.fleet.pause(gateway, true);
			Node killed = this.nodes.remove(gateway);
			this.servers.forEach((server) -> server.calls.values().removeIf((node) -> node == killed));
			at(DOWN_MILLIS, () -> this.fleet.restart(gateway));
		}
	}

	void killAll() {
		kill(IntStream.range(0, this.count).boxed().toList());
	}

	void killHalf() {
		kill(IntStream.range(0, this.count / 2).boxed().toList());
	}

	/**
	 * Crashes servers at the same time, whatever they run.
	 * @param fraction the fraction of the servers
	 */
	void crashServers(double fraction) {
		List<Server> alive = this.servers.stream().filter((server) -> server.alive).toList();
		alive.stream().limit(Math.max(1, Math.round(alive.size() * fraction))).forEach(Server::crash);
	}

	// -- results

	int soundSent() {
		return this.soundSent;
	}

	int soundRefused() {
		return this.soundRefused;
	}

	double soundCompletedFraction() {
		return (double) this.soundCompleted / this.soundSent;
	}

	int rows() {
		return this.rows.size();
	}

	int holds() {
		return this.nodes.values().stream().mapToInt((node) -> node.table.segments().holds().size()).max().orElse(0);
	}

	// -- internals

	private void step() {
		while (!this.tasks.isEmpty() && this.tasks.peek().atMillis <= this.fleet.nowMillis()) {
			this.tasks.poll().action.run();
		}
		for (double rate = this.count * REQUESTS_PER_GATEWAY; rate > 0; rate--) {
			if (this.random.nextDouble() < rate) {
				arrive(soundRequest());
			}
		}
		this.harms.stream()
			.filter((harm) -> this.random.nextDouble() < harm.perSecond / 1_000)
			.toList()
			.forEach((harm) -> arrive(harm.request()));
		if (this.fleet.nowMillis() % WRITE_INTERVAL_MILLIS == 0) {
			List.copyOf(this.nodes.values()).forEach(Node::write);
		}
	}

	// A gateway that is down takes no calls.
	private void arrive(Request request) {
		Node node = this.nodes.get(this.random.nextInt(this.count));
		if (node != null) {
			node.receive(request);
		}
	}

	private Request soundRequest() {
		boolean isShared = !this.harms.isEmpty() && this.random.nextInt(SHARED_SESSION_INTERVAL) == 0;
		String session = isShared ? this.harms.get(this.random.nextInt(this.harms.size())).session()
				: "session-" + session();
		return new Request(digest(), prompt("base", session), null, 1);
	}

	// A few sessions are much more common than the others.
	private int session() {
		double share = this.random.nextDouble();
		return (int) (share * share * share * this.count * SESSIONS_PER_GATEWAY);
	}

	private RequestDigest digest() {
		RequestDigest.Builder builder = RequestDigest.begin("sfax", "POST", "a.example", "/quotes/");
		builder.body(ByteBuffer.allocate(Long.BYTES).putLong(this.sequence++).flip());
		return builder.end();
	}

	private static Set<PromptSegment> prompt(String... shared) {
		List<String> ids = new ArrayList<>(List.of(shared));
		ids.add("own");
		return PromptSegment.sharedOf(SERVICE, ids);
	}

	private void at(long millis, Runnable action) {
		this.tasks.add(new Task(this.fleet.nowMillis() + millis, this.sequence++, action));
	}

	private long nowNanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.fleet.nowMillis());
	}

	private void writeRow(Evidence row) {
		Evidence before = this.rows.get(row.crash());
		if (before == null || before.state().compareTo(row.state()) < 0) {
			this.rows.put(row.crash(), row);
			at(DELAY_MILLIS, () -> {
				if (!this.storeSilent) {
					this.nodes.values().forEach((node) -> node.rowRead(row));
				}
			});
		}
	}

	/** How gateways choose the segments that they hold back. */
	enum Way {

		/** Few segments explain all crashes; only what occurs together is held back. */
		COVER,

		/** The same, without remembering what was responded to before a crash. */
		COVER_WITHOUT_MEMORY,

		/** Each segment with three crashes since its last response is held back. */
		COUNT

	}

	/** A segment that crashes servers. */
	final class Harm {

		private final int number;

		private final int position;

		private final double perSecond;

		private final int attempts;

		private final List<Long> crashes = new ArrayList<>();

		private final List<Long> sends = new ArrayList<>();

		private Harm(int number, int position, double perSecond, int attempts) {
			this.number = number;
			this.position = position;
			this.perSecond = perSecond;
			this.attempts = attempts;
		}

		private String session() {
			return "session-of-harm-" + this.number;
		}

		private Request request() {
			List<String> ids = new ArrayList<>(List.of("base", session()));
			ids.add(this.position, "harm-" + this.number);
			return new Request(digest(), prompt(ids.toArray(String[]::new)), this, this.attempts);
		}

		int crashes() {
			return this.crashes.size();
		}

		/** Returns how often requests with the segment were sent too late. */
		int lateSends() {
			if (this.crashes.size() < COUNTED_CRASHES) {
				return 0;
			}
			long from = this.crashes.get(COUNTED_CRASHES - 1) + CONTACT_MILLIS;
			return (int) this.sends.stream().filter((at) -> at > from).count();
		}

	}

	/**
	 * A request.
	 *
	 * @param digest its digest
	 * @param segments the shared segments of its prompt
	 * @param harm the harmful one of them, null if there is none
	 * @param attempts the servers that it may be sent to
	 */
	private record Request(RequestDigest digest, Set<PromptSegment> segments, Harm harm, int attempts) {
	}

	/** A gateway process. */
	private final class Node implements VirtualFleet.Process<List<Evidence>> {

		private final CrashTable table = new CrashTable();

		private final SoundSegments sound = SoundSegments.empty();

		private boolean urgent;

		private Node(Identity identity, Fleet unused) {
			SegmentFleet.this.nodes.put(identity.index(), this);
			readAll();
		}

		private void readAll() {
			if (!SegmentFleet.this.storeSilent) {
				SegmentFleet.this.rows.values().forEach(this::rowRead);
			}
		}

		// -- calls

		private void receive(Request request) {
			if (request.harm == null) {
				SegmentFleet.this.soundSent++;
			}
			send(request, request.attempts);
		}

		private void send(Request request, int attempts) {
			if (isRefused(request) && !isProbe(request)) {
				if (request.harm == null) {
					SegmentFleet.this.soundRefused++;
				}
				return;
			}
			List<Server> alive = SegmentFleet.this.servers.stream().filter((server) -> server.alive).toList();
			if (alive.isEmpty()) {
				return;
			}
			if (request.harm != null) {
				request.harm.sends.add(SegmentFleet.this.fleet.nowMillis());
			}
			Server server = alive.get(SegmentFleet.this.random.nextInt(alive.size()));
			server.receive(new Attempt(request, attempts, isHeld(request)), this);
		}

		private boolean isRefused(Request request) {
			return isHeld(request) || !(this.table.decide(request.digest) instanceof QuarantineDecision.Allowed);
		}

		private boolean isProbe(Request request) {
			return !SegmentFleet.this.storeSilent && this.table.segments()
				.hold(request.segments)
				.filter((hold) -> hold.mayProbe(SegmentFleet.this.fleet.nowMillis()))
				.filter((hold) -> SegmentFleet.this.probes.add(hold.digest()))
				.isPresent();
		}

		private boolean isHeld(Request request) {
			return switch (SegmentFleet.this.way) {
				case COVER, COVER_WITHOUT_MEMORY -> this.table.segments().hold(request.segments).isPresent();
				case COUNT -> request.segments.stream()
					.anyMatch((segment) -> this.table.segments().crashes(new SegmentSuspect(segment, VERSION)) >= 3);
			};
		}

		private void connectionBroke(Attempt attempt, Server server) {
			boolean isNew = false;
			for (Evidence evidence : evidence(attempt.request, server)) {
				isNew |= !isSound(evidence) && this.table.connectionLost(evidence, nowNanos());
			}
			if (isNew) {
				Incarnation start = server.start;
				at(DELAY_MILLIS, () -> this.urgent |= !this.table.serverCrashed(start, nowNanos()).isEmpty());
			}
			if (attempt.left > 1) {
				send(attempt.request, attempt.left - 1);
			}
		}

		private List<Evidence> evidence(Request request, Server server) {
			long now = SegmentFleet.this.fleet.nowMillis();
			List<Evidence> evidence = new ArrayList<>();
			evidence.add(Evidence.against(request.digest, server.start, State.SUSPECTED, now));
			request.segments.forEach((segment) -> evidence
				.add(new Evidence(new Crash(new SegmentSuspect(segment, VERSION), server.start), State.SUSPECTED, now,
						request.digest)));
			return evidence;
		}

		private boolean isSound(Evidence evidence) {
			return SegmentFleet.this.way != Way.COVER_WITHOUT_MEMORY
					&& evidence.crash().suspect() instanceof SegmentSuspect segment
					&& this.sound.contains(segment, nowNanos());
		}

		private void completed(Request request) {
			SegmentFleet.this.soundCompleted++;
			this.urgent |= !this.table.clear(request.digest, nowNanos()).isEmpty();
			List<SegmentSuspect> segments = request.segments.stream()
				.map((segment) -> new SegmentSuspect(segment, VERSION))
				.toList();
			this.sound.responded(segments, nowNanos());
			segments.forEach((segment) -> this.urgent |= !this.table.clear(segment, nowNanos()).isEmpty());
		}

		// -- evidence of others

		private void rowRead(Evidence row) {
			if (this.table.rowRead(row, nowNanos())) {
				added(row);
			}
		}

		private void added(Evidence evidence) {
			if (evidence.state() == State.CONFIRMED && isSound(evidence)) {
				this.urgent |= !this.table.clear(evidence.crash().suspect(), nowNanos()).isEmpty();
			}
		}

		private void write() {
			this.table.expire(nowNanos());
			for (Evidence row : this.table.pendingWrites(50, nowNanos())) {
				if (SegmentFleet.this.storeSilent) {
					this.table.writeFailed(row, nowNanos());
				}
				else {
					writeRow(row);
					this.table.writeCommitted(row);
				}
			}
			withdraw();
		}

		// Ends the calls that wait at a server and are held back by now.
		private void withdraw() {
			if (!this.table.segments().holds().isEmpty()) {
				SegmentFleet.this.servers.forEach((server) -> server.calls.entrySet()
					.removeIf((call) -> call.getValue() == this && !call.getKey().probe
							&& isHeld(call.getKey().request)));
			}
		}

		@Override
		public List<Evidence> report(int number, long nowNanos) {
			this.urgent = false;
			return this.table.updates(nowNanos);
		}

		@Override
		public boolean isUrgent() {
			return this.urgent && !SegmentFleet.this.reportsLost;
		}

		@Override
		public void reportReceived(Identity sender, List<Evidence> report, long nowNanos) {
			for (Evidence evidence : report) {
				if (this.table.receive(evidence, nowNanos)) {
					added(evidence);
				}
			}
		}

	}

	/** A server with its running attempts, each with the gateway that sent it. */
	private final class Server {

		private Incarnation start = newStart();

		private boolean alive = true;

		private final Map<Attempt, Node> calls = new LinkedHashMap<>();

		private Incarnation newStart() {
			return new Incarnation("s" + SegmentFleet.this.sequence++, 0);
		}

		private void receive(Attempt attempt, Node from) {
			this.calls.put(attempt, from);
			long queued = SegmentFleet.this.random.nextInt(MAX_QUEUE_MILLIS);
			long run = (attempt.request.harm != null) ? CRASH_MILLIS
					: SegmentFleet.this.random.nextInt(MIN_RUN_MILLIS, MAX_RUN_MILLIS);
			at(queued + run, () -> {
				if (this.calls.containsKey(attempt)) {
					complete(attempt, from);
				}
			});
		}

		private void complete(Attempt attempt, Node from) {
			if (attempt.request.harm != null) {
				attempt.request.harm.crashes.add(SegmentFleet.this.fleet.nowMillis());
				crash();
			}
			else {
				this.calls.remove(attempt);
				from.completed(attempt.request);
			}
		}

		private void crash() {
			this.alive = false;
			Map<Attempt, Node> lost = new LinkedHashMap<>(this.calls);
			this.calls.clear();
			lost.forEach((attempt, node) -> node.connectionBroke(attempt, this));
			at(BOOT_MILLIS, () -> {
				this.start = newStart();
				this.alive = true;
			});
		}

	}

	/** One attempt to run a request. */
	private static final class Attempt {

		private final Request request;

		/** How often the request may be sent, with this attempt. */
		private final int left;

		private final boolean probe;

		private Attempt(Request request, int left, boolean probe) {
			this.request = request;
			this.left = left;
			this.probe = probe;
		}

	}

	private record Task(long atMillis, long number, Runnable action) implements Comparable<Task> {

		@Override
		public int compareTo(Task other) {
			int order = Long.compare(this.atMillis, other.atMillis);
			return (order != 0) ? order : Long.compare(this.number, other.number);
		}

	}

}
