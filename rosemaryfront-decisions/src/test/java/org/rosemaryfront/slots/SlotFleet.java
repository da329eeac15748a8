package org.rosemaryfront.slots;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.slots.SlotMessage.Addressed;
import org.rosemaryfront.slots.SlotMessage.Outcome;
import org.rosemaryfront.slots.SlotRequests.SlotCall;

/** Gateways before three servers of six slots, in virtual time, with datagrams. */
final class SlotFleet {

	static final int SERVERS = 3;

	static final int SLOTS = 6;

	static final double UTILISATION = 0.8;

	static final double SERVICE_MILLIS = 30;

	static final long TARGET_MILLIS = 600;

	static final long SECOND = TimeUnit.SECONDS.toNanos(1);

	private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private static final long TICK_NANOS = 5 * MILLI;

	private static final long REPORT_NANOS = 300 * MILLI;

	/** The time after which reports show that a gateway is gone. */
	private static final long GONE_NANOS = 700 * MILLI;

	/** The time after which reports show that a link is cut. */
	private static final long UNCONFIRMED_NANOS = 1_300 * MILLI;

	private static final int ORDER = 3;

	private int keepers = ORDER;

	private final Random arrivals;

	private final Random links;

	private final long delayNanos;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));

	private final List<Gateway> gateways = new ArrayList<>();

	private final int[] busy = new int[SERVERS];

	private final Speeds speeds;

	/** The calls of each gateway at each server, as last reported. */
	private int[][] reported;

	private double loss;

	private BiPredicate<Integer, Integer> cut = (_, _) -> false;

	/** Whether reports have shown which links are cut. */
	private boolean cutKnown;

	private long nowNanos;

	private long eventCount;

	final List<Call> calls = new ArrayList<>();

	int metFull;

	SlotFleet(int count, double delayMillis, Speeds speeds, long seed) {
		this.arrivals = new Random(seed);
		this.links = new Random(seed + 1);
		this.delayNanos = (long) (delayMillis * MILLI);
		this.speeds = speeds;
		this.reported = new int[count][SERVERS];
		IntStream.range(0, count).forEach((index) -> this.gateways.add(new Gateway(index)));
		this.gateways.forEach(Gateway::tick);
		every(TICK_NANOS, () -> this.gateways.forEach(Gateway::tick));
		every(REPORT_NANOS, this::report);
		arrive();
	}

	/** Lets each gateway choose by its own calls and the last reports. */
	void chooseAlone() {
		this.keepers = 0;
	}

	// -- faults

	void lose(double part) {
		this.loss = part;
	}

	/** Cuts links to or from the first keeper. */
	void cut(BiPredicate<Integer, Integer> links) {
		this.cut = links;
		at(this.nowNanos + UNCONFIRMED_NANOS, () -> {
			this.cutKnown = true;
			this.gateways.getFirst().keeper.serving(false);
		});
	}

	/** Stops the first keeper for good. */
	void killKeeper() {
		stopKeeper();
		this.gateways.getFirst().asking.values().forEach((call) -> call.atStopped = true);
	}

	private void stopKeeper() {
		this.gateways.getFirst().stoppedNanos = this.nowNanos;
	}

	/** Stops the first keeper for some time. */
	void freezeKeeper(long nanos) {
		stopKeeper();
		at(this.nowNanos + nanos, () -> {
			Gateway keeper = this.gateways.getFirst();
			keeper.stoppedNanos = Long.MAX_VALUE;
			keeper.inSocket.forEach(Runnable::run);
			keeper.inSocket.clear();
		});
	}

	// -- time

	void run(double seconds) {
		long end = this.nowNanos + (long) (seconds * SECOND);
		while (this.events.peek().atNanos <= end) {
			Event event = this.events.remove();
			this.nowNanos = event.atNanos;
			event.action.run();
		}
		this.nowNanos = end;
	}

	long nowNanos() {
		return this.nowNanos;
	}

	private void at(long nanos, Runnable action) {
		this.events.add(new Event(nanos, this.eventCount++, action));
	}

	private void every(long nanos, Runnable action) {
		at(this.nowNanos + nanos, () -> {
			action.run();
			every(nanos, action);
		});
	}

	private void arrive() {
		double perNano = UTILISATION * SERVERS * SLOTS / (SERVICE_MILLIS * MILLI);
		at(this.nowNanos + (long) (-Math.log(1 - this.arrivals.nextDouble()) / perNano), () -> {
			long work = (long) (-Math.log(1 - this.arrivals.nextDouble()) * SERVICE_MILLIS * MILLI);
			Call call = new Call(this.nowNanos, work);
			Gateway gateway = this.gateways.get(this.arrivals.nextInt(this.gateways.size()));
			this.calls.add(call);
			gateway.whenRunning(() -> gateway.ask(call));
			call.atStopped = gateway.stoppedNanos != Long.MAX_VALUE;
			arrive();
		});
	}

	private void report() {
		this.reported = this.gateways.stream().map((gateway) -> gateway.own.clone()).toArray(int[][]::new);
	}

	private List<String> order(int asking) {
		return this.gateways.stream()
			.filter((gateway) -> !this.cutKnown
					|| !(this.cut.test(asking, gateway.index) || this.cut.test(gateway.index, asking)))
			.filter((gateway) -> this.nowNanos - gateway.stoppedNanos < GONE_NANOS)
			.limit(this.keepers)
			.map((gateway) -> gateway.name)
			.toList();
	}

	// -- results

	/** Returns a percentile of the waits of calls that arrived within a time. */
	double waitMillis(double part, long fromNanos, long toNanos) {
		List<Long> waits = this.calls.stream()
			.filter((call) -> !call.atStopped && call.runs > 0 && call.atNanos >= fromNanos && call.atNanos < toNanos)
			.map((call) -> call.startedNanos - call.atNanos)
			.sorted()
			.toList();
		return waits.get((int) (part * waits.size())) / (double) MILLI;
	}

	/**
	 * Returns the same percentile of one queue before all slots, which knows the speeds
	 * of servers.
	 * @param part the percentile, from 0 to 1
	 * @param idleNanos for how long a slot is idle between two calls
	 */
	double commonQueueMillis(double part, long idleNanos) {
		long[] free = new long[SERVERS * SLOTS];
		List<Long> waits = new ArrayList<>();
		for (Call call : this.calls) {
			long start = Math.max(call.atNanos, LongStream.of(free).min().orElseThrow());
			int slot = IntStream.range(0, free.length)
				.filter((index) -> free[index] <= start)
				.boxed()
				.min(Comparator.comparingDouble((index) -> this.speeds.timeFactor(index / SLOTS, start)))
				.orElseThrow();
			free[slot] = start + (long) (call.workNanos * this.speeds.timeFactor(slot / SLOTS, start)) + idleNanos;
			waits.add(start - call.atNanos);
		}
		waits.sort(Long::compare);
		return waits.get((int) (part * waits.size())) / (double) MILLI;
	}

	double refusedPart() {
		return this.calls.stream().filter((call) -> call.refused).count() / (double) this.calls.size();
	}

	double metFullPart() {
		return this.metFull / (double) this.calls.size();
	}

	/** Returns the calls that arrived some time ago and neither ran nor were refused. */
	long lost() {
		return this.calls.stream()
			.filter((call) -> !call.atStopped && this.nowNanos - call.atNanos > SECOND && call.runs == 0
					&& !call.refused)
			.count();
	}

	long doubled() {
		return this.calls.stream().filter((call) -> call.runs > 1 || (call.runs > 0 && call.refused)).count();
	}

	/** How fast servers are at a time. */
	interface Speeds {

		double timeFactor(int server, long nowNanos);

		/** What gateways know of it. */
		default double lastingFactor(int server) {
			return timeFactor(server, 0);
		}

	}

	static final class Call {

		final long atNanos;

		final long workNanos;

		final Set<String> tried = new HashSet<>();

		long startedNanos;

		int runs;

		boolean refused;

		/** Whether it came to a gateway that did not run. */
		boolean atStopped;

		private Call(long atNanos, long workNanos) {
			this.atNanos = atNanos;
			this.workNanos = workNanos;
		}

	}

	private record Event(long atNanos, long number, Runnable action) {
	}

	private final class Gateway {

		final int index;

		final String name;

		final SlotRequests requests;

		final SlotKeeper keeper = SlotKeeper.empty();

		final Map<Long, Call> asking = new HashMap<>();

		final int[] own = new int[SERVERS];

		final List<Runnable> inSocket = new ArrayList<>();

		long stoppedNanos = Long.MAX_VALUE;

		Gateway(int index) {
			this.index = index;
			this.name = "g" + index;
			this.requests = SlotRequests.of(index + 1, (server) -> server.id().startsWith("s"));
		}

		void whenRunning(Runnable action) {
			if (this.stoppedNanos == Long.MAX_VALUE) {
				action.run();
			}
			else {
				this.inSocket.add(action);
			}
		}

		void tick() {
			if (this.stoppedNanos != Long.MAX_VALUE) {
				return;
			}
			if (this.index < ORDER + 1) {
				this.keeper.servers(IntStream.range(0, SERVERS).mapToObj(this::server).toList());
				this.keeper.tick(SlotFleet.this.nowNanos);
			}
			this.requests.tick(SlotFleet.this.nowNanos);
			flush();
		}

		private SlotServer server(int server) {
			Map<String, Integer> uses = new HashMap<>();
			for (Gateway other : SlotFleet.this.gateways) {
				uses.put(other.name, SlotFleet.this.reported[other.index][server]);
			}
			return new SlotServer(new Incarnation("s" + server, 0), SLOTS, SlotFleet.this.speeds.lastingFactor(server),
					uses);
		}

		void ask(Call call) {
			long number = this.requests.ask(new SlotCall("small", 0, TARGET_MILLIS, call.tried), order(this.index),
					SlotFleet.this.nowNanos);
			this.asking.put(number, call);
			flush();
		}

		private void flush() {
			this.requests.takeMessages().forEach((message) -> deliver(message, true));
			this.keeper.takeMessages().forEach((message) -> deliver(message, false));
			this.requests.takeAnswers().forEach((answered) -> answer(answered.number(), answered.answer()));
		}

		private void deliver(Addressed addressed, boolean toKeeper) {
			int to = Integer.parseInt(addressed.gateway().substring(1));
			boolean same = to == this.index;
			boolean dropped = !same && (SlotFleet.this.cut.test(this.index, to)
					|| SlotFleet.this.links.nextDouble() < SlotFleet.this.loss);
			if (!dropped) {
				Gateway target = SlotFleet.this.gateways.get(to);
				at(SlotFleet.this.nowNanos + (same ? 0 : SlotFleet.this.delayNanos),
						() -> target.whenRunning(() -> target.receive(this.name, addressed.message(), toKeeper)));
			}
		}

		private void receive(String from, SlotMessage message, boolean toKeeper) {
			if (toKeeper) {
				this.keeper.receive(from, message, SlotFleet.this.nowNanos);
			}
			else {
				this.requests.receive(from, message, SlotFleet.this.nowNanos);
			}
			flush();
		}

		private void answer(long number, SlotAnswer answer) {
			Call call = this.asking.remove(number);
			switch (answer) {
				case SlotAnswer.Send send -> send(number, call, Integer.parseInt(send.server().id().substring(1)));
				case SlotAnswer.Refuse _ -> call.refused = true;
				case SlotAnswer.ChooseAlone _ -> {
					int server = IntStream.range(0, SERVERS)
						.boxed()
						.filter((candidate) -> !call.tried.contains("s" + candidate))
						.min(Comparator.comparingInt(this::seen))
						.orElseThrow();
					this.requests.chosenAlone(number, "small", new Incarnation("s" + server, 0),
							SlotFleet.this.nowNanos);
					send(number, call, server);
				}
			}
		}

		private int seen(int server) {
			int others = 0;
			for (int[] uses : SlotFleet.this.reported) {
				others += uses[server];
			}
			return others - SlotFleet.this.reported[this.index][server] + this.own[server];
		}

		private void send(long number, Call call, int server) {
			if (SlotFleet.this.busy[server] >= SLOTS) {
				SlotFleet.this.metFull++;
				call.tried.add("s" + server);
				this.requests.ended(number, Outcome.REJECTED, SlotFleet.this.nowNanos);
				call.refused = call.tried.size() == SERVERS;
				if (!call.refused) {
					ask(call);
				}
				return;
			}
			call.runs++;
			call.startedNanos = SlotFleet.this.nowNanos;
			SlotFleet.this.busy[server]++;
			this.own[server]++;
			double factor = SlotFleet.this.speeds.timeFactor(server, SlotFleet.this.nowNanos);
			at(SlotFleet.this.nowNanos + (long) (call.workNanos * factor), () -> {
				SlotFleet.this.busy[server]--;
				whenRunning(() -> {
					this.own[server]--;
					this.requests.ended(number, Outcome.ENDED, SlotFleet.this.nowNanos);
					flush();
				});
			});
		}

	}

}
