package org.rosemaryfront.streams;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.rosemaryfront.fleet.Fleet;
import org.rosemaryfront.fleet.VirtualFleet;
import org.rosemaryfront.fleet.VirtualFleet.Identity;
import org.rosemaryfront.streams.OriginMessage.Told;

/**
 * Gateways in virtual time, before servers of three versions. Streams lose their gateway
 * or their connection, and their callers take them up at any other gateway.
 */
final class OriginFleet {

	/** What the network adds to each datagram, in bytes. */
	private static final int DATAGRAM_BYTES = 28;

	/** The encoded size of an origin, in bytes. */
	private static final int TOLD_BYTES = 30;

	private static final int ASKED_BYTES = 48;

	private static final int FIRST_EVENT_MILLIS = 100;

	private static final int MAX_STREAM_MILLIS = 4_000;

	/** How long a machine must have been undisturbed to count as in touch. */
	private static final int CONTACT_MILLIS = 3_000;

	private static final int MAX_RETURN_MILLIS = 300;

	private static final int DOWN_MILLIS = 1_500;

	/** The time after which it shows that the process of a gateway has ended. */
	private static final int PROBE_MILLIS = 100;

	private final Way way;

	private final Question question;

	private final int count;

	private final Random random;

	private final VirtualFleet<List<Told>> fleet;

	private final Map<Integer, Node> nodes = new HashMap<>();

	private final Set<Integer> down = new HashSet<>();

	private final Map<Integer, Long> disturbedMillis = new HashMap<>();

	private final Map<String, Integer> servers = new HashMap<>();

	private final PriorityQueue<Task> tasks = new PriorityQueue<>();

	private final List<StreamState> streams = new ArrayList<>();

	private double streamsPerMilli;

	private double resetFraction;

	/** The number of different requests; 0 if no two streams have the same one. */
	private int requests;

	private int begun;

	private int takenUp;

	private int wentOn;

	private int unknown;

	private int refused;

	private int joined;

	private long bytes;

	private long messages;

	OriginFleet(Way way, int count, long seed) {
		this(way, Question.CALL, count, seed);
	}

	OriginFleet(Way way, Question question, int count, long seed) {
		this.way = way;
		this.question = question;
		this.count = count;
		this.random = new Random(seed);
		this.fleet = new VirtualFleet<>(count, 0, this.random, Node::new);
	}

	// -- load and faults

	void streamsPerSecond(double rate, double resets) {
		this.streamsPerMilli = rate / 1_000;
		this.resetFraction = resets;
	}

	/**
	 * Lets streams share their requests.
	 * @param number the number of different requests
	 */
	void requests(int number) {
		this.requests = number;
	}

	/** Counts the streams that are taken up from now on. */
	void countFromNow() {
		this.takenUp = 0;
		this.wentOn = 0;
		this.refused = 0;
	}

	void servers(String version, int serving) {
		this.servers.put(version, serving);
	}

	void run(long millis) {
		this.fleet.run(millis, this::step);
	}

	void lose(double fraction) {
		this.fleet.lose(fraction);
	}

	/**
	 * Kills gateways at the same moment and starts them again later.
	 * @param gateways the gateways
	 */
	void kill(List<Integer> gateways) {
		for (int gateway : gateways) {
			disturb(gateway, DOWN_MILLIS);
			this.down.add(gateway);
			this.fleet.pause(gateway, true);
			this.streams.stream().filter((stream) -> stream.gateway == gateway).toList().forEach(this::breakOff);
			at(DOWN_MILLIS, () -> {
				this.down.remove(gateway);
				this.fleet.restart(gateway);
			});
		}
	}

	void killAll(long betweenMillis) {
		for (int i = 0; i < this.count; i++) {
			kill(List.of(i));
			run(betweenMillis);
		}
	}

	void pause(int gateway, long millis) {
		disturb(gateway, millis);
		this.fleet.pause(gateway, true);
		at(millis, () -> this.fleet.pause(gateway, false));
	}

	void cutOff(List<Integer> group, long millis) {
		group.forEach((gateway) -> disturb(gateway, millis));
		this.fleet.cutOff(group, true);
		at(millis, () -> this.fleet.cutOff(group, false));
	}

	List<Integer> some(int number) {
		List<Integer> all = new ArrayList<>(IntStream.range(0, this.count).boxed().toList());
		Collections.shuffle(all, this.random);
		return all.subList(0, number);
	}

	private void disturb(int gateway, long millis) {
		this.disturbedMillis.merge(gateway, this.fleet.nowMillis() + millis, Math::max);
	}

	private boolean isInTouch(int gateway) {
		return this.fleet.nowMillis()
				- this.disturbedMillis.getOrDefault(gateway, -1L * CONTACT_MILLIS) >= CONTACT_MILLIS;
	}

	// -- streams

	private void step() {
		while (!this.tasks.isEmpty() && this.tasks.peek().atMillis <= this.fleet.nowMillis()) {
			this.tasks.remove().action.run();
		}
		this.nodes.values().forEach((node) -> node.directory.tick(nanos()));
		int starting = (int) this.streamsPerMilli + ((this.random.nextDouble() < this.streamsPerMilli % 1) ? 1 : 0);
		for (int i = 0; i < starting && this.down.size() < this.count; i++) {
			String version = serving().get(this.random.nextInt(serving().size()));
			int request = (this.requests > 0) ? this.random.nextInt(this.requests) : this.begun;
			send(new StreamState(StreamKey.of("o", "s", "call-" + this.begun++),
					StreamKey.of("o", "s", "request-" + request)), running(-1), version);
		}
	}

	private List<String> serving() {
		return this.servers.entrySet()
			.stream()
			.flatMap((entry) -> IntStream.range(0, entry.getValue()).mapToObj((_) -> entry.getKey()))
			.sorted()
			.toList();
	}

	private int running(int except) {
		int gateway = this.random.nextInt(this.count);
		while (this.down.contains(gateway) || gateway == except) {
			gateway = this.random.nextInt(this.count);
		}
		return gateway;
	}

	private void send(StreamState stream, int gateway, String version) {
		stream.gateway = gateway;
		stream.attempt++;
		int attempt = stream.attempt;
		this.streams.add(stream);
		at(FIRST_EVENT_MILLIS, () -> this.fleet.at(gateway, () -> {
			if (stream.attempt == attempt) {
				event(stream, gateway, version);
			}
		}));
		int length = this.random.nextInt(MAX_STREAM_MILLIS);
		boolean reset = this.random.nextDouble() < this.resetFraction;
		at(FIRST_EVENT_MILLIS + length, () -> {
			if (stream.attempt == attempt && reset) {
				breakOff(stream);
			}
			else if (stream.attempt == attempt) {
				this.streams.remove(stream);
			}
		});
	}

	private void event(StreamState stream, int gateway, String version) {
		this.nodes.get(gateway).began(stream.call, version);
		if (this.question != Question.CALL) {
			this.nodes.get(gateway).began(stream.request, version);
		}
		stream.versions.add(version);
		this.joined += (stream.versions.size() == 2) ? 1 : 0;
	}

	private void breakOff(StreamState stream) {
		int gateway = stream.gateway;
		stream.attempt++;
		this.streams.remove(stream);
		if (!stream.versions.isEmpty()) {
			at(1 + this.random.nextInt(MAX_RETURN_MILLIS), () -> {
				if (this.down.size() < this.count - 1) {
					takeUp(stream, running(gateway));
				}
				else {
					comeBack(stream);
				}
			});
		}
	}

	// Callers come back later where no gateway runs.
	private void comeBack(StreamState stream) {
		if (this.down.size() < this.count) {
			takeUp(stream, running(-1));
		}
		else {
			at(MAX_RETURN_MILLIS, () -> comeBack(stream));
		}
	}

	private void takeUp(StreamState stream, int gateway) {
		boolean counts = isInTouch(gateway)
				&& stream.versions.stream().allMatch((version) -> this.servers.getOrDefault(version, 0) >= 2);
		this.takenUp += counts ? 1 : 0;
		this.fleet.at(gateway, () -> this.question.ask(this.nodes.get(gateway).directory, stream, nanos(), (origin) -> {
			if (origin instanceof Origin.Known known && this.servers.getOrDefault(known.version(), 0) > 0) {
				this.wentOn += counts ? 1 : 0;
				send(stream, gateway, known.version());
			}
			else if (!(origin instanceof Origin.Known)) {
				this.unknown++;
				this.refused += counts ? 1 : 0;
			}
		}));
	}

	private void at(long millis, Runnable action) {
		this.tasks.add(new Task(this.fleet.nowMillis() + millis, action));
	}

	private long nanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.fleet.nowMillis());
	}

	// -- results

	int begun() {
		return this.begun;
	}

	int takenUp() {
		return this.takenUp;
	}

	int wentOn() {
		return this.wentOn;
	}

	int joined() {
		return this.joined;
	}

	/**
	 * Formats what became of the streams that were taken up.
	 * @return the figures
	 */
	String outcome() {
		return String.format("%s %d gateways: taken up %d, went on %.3f, refused %.3f, joined %d", this.question,
				this.count, this.takenUp, (double) this.wentOn / Math.max(1, this.takenUp),
				(double) this.refused / Math.max(1, this.takenUp), this.joined);
	}

	/**
	 * Formats what was measured.
	 * @return one line
	 */
	String summary() {
		return String.format(
				"%s %d gateways: begun %d, taken up %d, went on %d (%.3f), unknown %d, joined %d, "
						+ "%.0f bytes and %.1f messages a stream",
				this.way, this.count, this.begun, this.takenUp, this.wentOn,
				(double) this.wentOn / Math.max(1, this.takenUp), this.unknown, this.joined,
				(double) this.bytes / this.begun, (double) this.messages / this.begun);
	}

	/** How gateways learn the origins of streams. */
	enum Way {

		/** A few are told before the first event, and asked. */
		HOLDERS,

		/** All are told with the next report. */
		REPORTS

	}

	/** What a gateway asks for when a stream is taken up. */
	enum Question {

		/** The caller names the first call. */
		CALL {
			@Override
			void ask(OriginDirectory directory, StreamState stream, long nowNanos, Consumer<Origin> caller) {
				directory.find(stream.call, nowNanos, caller);
			}
		},

		/** The caller repeats the request, and the first answer counts. */
		REQUEST_ANY_ANSWER {
			@Override
			void ask(OriginDirectory directory, StreamState stream, long nowNanos, Consumer<Origin> caller) {
				directory.find(stream.request, nowNanos, caller);
			}
		},

		/** The caller repeats the request, and all gateways answer. */
		REQUEST {
			@Override
			void ask(OriginDirectory directory, StreamState stream, long nowNanos, Consumer<Origin> caller) {
				directory.findOfRequest(stream.request, BOUND_MILLIS, nowNanos, caller);
			}
		};

		private static final long BOUND_MILLIS = 15_000;

		abstract void ask(OriginDirectory directory, StreamState stream, long nowNanos, Consumer<Origin> caller);

	}

	private record Task(long atMillis, Runnable action) implements Comparable<Task> {

		@Override
		public int compareTo(Task other) {
			return Long.compare(this.atMillis, other.atMillis);
		}

	}

	/** A stream as its caller sees it. */
	private static final class StreamState {

		private final StreamKey call;

		private final StreamKey request;

		private final Set<String> versions = new HashSet<>();

		private int gateway;

		/** Tells calls of the caller apart. */
		private int attempt;

		private StreamState(StreamKey call, StreamKey request) {
			this.call = call;
			this.request = request;
		}

	}

	/** A gateway. */
	private final class Node implements VirtualFleet.Process<List<Told>> {

		private final int index;

		private final Fleet fleet;

		private final Set<String> known;

		private final OriginDirectory directory;

		private List<Told> unreported = new ArrayList<>();

		private Node(Identity identity, Fleet fleet) {
			this.index = identity.index();
			this.fleet = fleet;
			this.known = (OriginFleet.this.way == Way.REPORTS) ? Set.of()
					: IntStream.range(0, OriginFleet.this.count)
						.filter((other) -> other != this.index)
						.mapToObj((other) -> "gateway-" + other)
						.collect(Collectors.toSet());
			long startedNanos = TimeUnit.MILLISECONDS.toNanos(identity.startedMillis());
			this.directory = OriginDirectory.of(identity.name(), this::send, startedNanos);
			refresh(startedNanos);
			OriginFleet.this.nodes.put(this.index, this);
		}

		private void refresh(long nowNanos) {
			this.directory.gateways(this.known,
					this.known.stream().filter(this.fleet::isLive).collect(Collectors.toSet()), nowNanos);
		}

		private void began(StreamKey stream, String version) {
			this.directory.began(stream, version, nanos());
			this.unreported.add(new Told(stream, Origin.known(version), 0));
		}

		private void send(String gateway, List<OriginMessage> sent) {
			int to = Integer.parseInt(gateway.substring("gateway-".length()));
			if (OriginFleet.this.down.contains(to)) {
				at(PROBE_MILLIS, () -> this.directory.gatewayEnded(gateway, nanos()));
			}
			int size = DATAGRAM_BYTES;
			for (OriginMessage message : sent) {
				size += (message instanceof Told) ? TOLD_BYTES : ASKED_BYTES;
			}
			count(size, 1);
			OriginFleet.this.fleet.send(this.index, to,
					(process) -> sent.forEach((message) -> ((Node) process).directory.receive(message, nanos(),
							(reply) -> ((Node) process).send("gateway-" + this.index, List.of(reply)))));
		}

		private void count(int bytes, int messages) {
			OriginFleet.this.bytes += bytes;
			OriginFleet.this.messages += messages;
		}

		@Override
		public List<Told> report(int number, long nowNanos) {
			refresh(nowNanos);
			List<Told> told = List.copyOf(this.unreported);
			this.unreported = new ArrayList<>();
			if (OriginFleet.this.way == Way.HOLDERS) {
				return List.of();
			}
			count(told.size() * TOLD_BYTES * (OriginFleet.this.count - 1), 0);
			return told;
		}

		@Override
		public void reportReceived(Identity sender, List<Told> report, long nowNanos) {
			report.forEach((told) -> this.directory.receive(told, nowNanos, (_) -> {
			}));
		}

		@Override
		public void gatewayStarted(Identity other, long nowNanos) {
			this.directory.gatewayStarted(other.name(), nowNanos);
		}

	}

}
