package org.rosemaryfront.tables;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.rosemaryfront.fleet.Fleet;
import org.rosemaryfront.fleet.Fleet.Report;
import org.rosemaryfront.tables.Question.Asked;

/**
 * Gateways that follow one table of a store in virtual time. They decide with the real
 * code which queries to send, and exchange reports that may be lost, late or sent by few
 * gateways.
 */
final class SimulatedFleet {

	static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private static final long TICK = 50 * MILLI;

	private static final long ANSWER_MOST = 1_200 * MILLI;

	private static final long URGENT = 50 * MILLI;

	private static final long OUTAGE = 2_400 * MILLI;

	private static final long FIRST_HAND = 1_000 * MILLI;

	/** The number of reports that include a change. */
	private static final int TIMES_TOLD = 3;

	/** The maximum number of changes in a report. */
	private static final int FITTING = 3;

	final SimulatedStore store;

	final List<Gateway> gateways;

	final Random random;

	private final FreshnessLimits limits;

	double loss = 0.01;

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private long now;

	private long order;

	SimulatedFleet(int count, long boundMillis, long seed) {
		this.limits = FreshnessLimits.within(boundMillis);
		this.random = new Random(seed);
		this.store = new SimulatedStore();
		this.gateways = IntStream.range(0, count).mapToObj(Gateway::new).toList();
		this.gateways.forEach((gateway) -> {
			this.gateways.forEach((other) -> gateway.found(other));
			at(this.random.nextLong(TICK), gateway::tick);
		});
	}

	long now() {
		return this.now;
	}

	/**
	 * Schedules an action.
	 * @param delayNanos the delay in nanoseconds
	 * @param action the action
	 */
	void at(long delayNanos, Runnable action) {
		this.events.add(new Event(this.now + delayNanos, this.order++, action));
	}

	void run(long untilNanos) {
		while (!this.events.isEmpty() && this.events.peek().atNanos <= untilNanos) {
			Event event = this.events.poll();
			this.now = event.atNanos;
			event.action.run();
		}
		this.now = untilNanos;
	}

	/** Records that a server has announced that it is leaving. */
	void change() {
		this.store.change(this.now);
	}

	/**
	 * Returns the longest time that a gateway took to receive a change.
	 * @param gateway the gateway
	 * @return the time in milliseconds, up to now for changes that it has not received
	 */
	long worstMillis(Gateway gateway) {
		long worst = 0;
		for (int change = 0; change < this.store.changes(); change++) {
			long learned = (gateway.learned.size() > change) ? gateway.learned.get(change) : -1;
			long at = this.store.changedAt(change);
			worst = Math.max(worst, ((learned < 0) ? this.now : learned) - at);
		}
		return worst / MILLI;
	}

	// A transit time of one millisecond and a random part.
	private long way(int moreMillis) {
		return MILLI + this.random.nextLong(moreMillis * MILLI);
	}

	/** A simulated gateway. */
	final class Gateway {

		final int index;

		final Freshness freshness = Freshness.unproven(OUTAGE);

		private final Fleet fleet;

		private final TableFollower follower = TableFollower.of(this.freshness, SimulatedFleet.this.limits,
				SimulatedFleet.this.random::nextDouble);

		/** When each change was received, -1 for those that were not. */
		private final List<Long> learned = new ArrayList<>();

		private final BitSet knows = new BitSet();

		private final List<Heard> waiting = new ArrayList<>();

		private final List<Long> told = new ArrayList<>();

		private long version;

		/**
		 * The gateway that reported changes that are missing here; null if any gateway
		 * may be queried.
		 */
		private Gateway teller;

		private boolean urgent;

		private long firstHandUntil;

		private long toldNanos = -URGENT;

		private int number;

		Role role = Role.STAND_BY;

		boolean killed;

		long pausedUntil;

		/** Whether its reports reach no other gateway. */
		boolean mute;

		/** Whether no reports reach it. */
		boolean deaf;

		Gateway(int index) {
			this.index = index;
			this.fleet = new Fleet(index + 1);
		}

		private String name() {
			return "gateway-" + this.index;
		}

		private void found(Gateway other) {
			if (other != this) {
				this.fleet.found(other.name(), 0);
			}
		}

		private void tick() {
			if (this.killed) {
				return;
			}
			long pause = Math.max(0, this.pausedUntil - SimulatedFleet.this.now);
			if (pause > 0) {
				at(pause, this::tick);
				return;
			}
			this.waiting.forEach(this::take);
			this.waiting.clear();
			this.fleet.fallenSilent(SimulatedFleet.this.now);
			this.role = this.fleet.role(name(), SimulatedFleet.this.now);
			this.follower.tick(this.role, SimulatedFleet.this.now).forEach(this::ask);
			boolean tells = this.firstHandUntil > SimulatedFleet.this.now
					|| this.follower.isReading(SimulatedFleet.this.now);
			long pace = (this.urgent && tells) ? URGENT : this.fleet.reportNanos();
			if (SimulatedFleet.this.now - this.toldNanos >= pace) {
				tell();
			}
			at(TICK, this::tick);
		}

		// -- queries

		private void ask(Asked asked) {
			if (asked.question() instanceof Question.OfGateway ofGateway) {
				askGateway(ofGateway.known());
				return;
			}
			long way = way(3);
			at(way, () -> SimulatedFleet.this.store.ask(this.index, asked, SimulatedFleet.this.now,
					(reply) -> at(way(3), () -> answered(asked, reply))));
			boolean feed = asked.question() instanceof Question.Feed;
			at(ANSWER_MOST + (feed ? TimeUnit.SECONDS.toNanos(20) : 0),
					() -> SimulatedFleet.this.store.unanswered(asked).ifPresent((reply) -> answered(asked, reply)));
		}

		private void answered(Asked asked, SimulatedStore.Reply reply) {
			if (this.killed) {
				return;
			}
			if (this.pausedUntil > SimulatedFleet.this.now) {
				at(this.pausedUntil - SimulatedFleet.this.now, () -> answered(asked, reply));
				return;
			}
			switch (reply) {
				case SimulatedStore.Reply.Rows rows -> {
					boolean firstHand = this.follower
						.answered(asked, rows.version(), !rows.changes().isEmpty(), SimulatedFleet.this.now)
						.firstHand();
					this.firstHandUntil = firstHand ? SimulatedFleet.this.now + FIRST_HAND : this.firstHandUntil;
					learn(rows.changes(), rows.version());
				}
				case SimulatedStore.Reply.Failed failed ->
					this.follower.failed(asked, failed.historyLost(), SimulatedFleet.this.now).ifPresent(this::ask);
			}
		}

		private void askGateway(long known) {
			Gateway other = (this.teller != null) ? this.teller : SimulatedFleet.this.gateways
				.get(SimulatedFleet.this.random.nextInt(SimulatedFleet.this.gateways.size()));
			this.teller = null;
			boolean answers = !other.killed && other.pausedUntil <= SimulatedFleet.this.now && other.version > known;
			if (answers) {
				List<Integer> changes = other.knows.stream().boxed().toList();
				long upTo = other.version;
				at(way(10), () -> takeTable(changes, upTo));
			}
		}

		private void takeTable(List<Integer> changes, long upTo) {
			if (!this.killed && upTo >= this.version) {
				learn(changes, upTo);
				this.follower.told(upTo, true, Optional.empty(), SimulatedFleet.this.now);
			}
		}

		private void learn(List<Integer> changes, long upTo) {
			for (int change : changes) {
				if (!this.knows.get(change)) {
					this.knows.set(change);
					while (this.learned.size() <= change) {
						this.learned.add(-1L);
					}
					this.learned.set(change, SimulatedFleet.this.now);
					this.urgent = true;
				}
			}
			this.version = Math.max(this.version, upTo);
		}

		// -- reports

		private void tell() {
			this.toldNanos = SimulatedFleet.this.now;
			this.urgent = false;
			this.number++;
			boolean reads = this.follower.isReading(SimulatedFleet.this.now);
			boolean tells = reads || this.firstHandUntil > SimulatedFleet.this.now;
			Optional<News> news = tells ? Optional.of(news()) : Optional.empty();
			Report report = new Report(name(), this.index + 1, this.number, false, 0, reads, Optional.empty());
			for (Gateway other : SimulatedFleet.this.gateways) {
				boolean lost = this.mute || other.deaf
						|| SimulatedFleet.this.random.nextDouble() < SimulatedFleet.this.loss;
				if (other != this && !lost) {
					at(way(50), () -> other.waiting.add(new Heard(this, report, news)));
				}
			}
		}

		private News news() {
			this.told.add(this.version);
			long since = this.told.get(Math.max(0, this.told.size() - 1 - TIMES_TOLD));
			List<Integer> changes = this.knows.stream()
				.filter((change) -> SimulatedStore.version(change) > since)
				.boxed()
				.toList();
			boolean omitted = changes.size() > FITTING;
			return new News(this.version, since, omitted ? List.of() : changes, omitted,
					this.follower.ownAgeNanos(SimulatedFleet.this.now).orElse(-1));
		}

		private void take(Heard heard) {
			if (this.fleet.heard(heard.report, SimulatedFleet.this.now) == Fleet.Hearing.LATE) {
				return;
			}
			heard.news.ifPresent((news) -> {
				boolean follows = !news.omitted && news.since <= this.version;
				if (follows) {
					learn(news.changes, news.version);
				}
				boolean whole = follows || news.version <= this.version;
				Optional<Long> proven = (news.ageNanos < 0) ? Optional.empty()
						: Optional.of(SimulatedFleet.this.now - news.ageNanos);
				this.follower.told(news.version, whole, proven, SimulatedFleet.this.now);
				this.teller = whole ? this.teller : heard.from;
			});
		}

	}

	private record Event(long atNanos, long order, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.atNanos, other.atNanos);
			return (byTime != 0) ? byTime : Long.compare(this.order, other.order);
		}

	}

	private record Heard(Gateway from, Report report, Optional<News> news) {
	}

	private record News(long version, long since, List<Integer> changes, boolean omitted, long ageNanos) {
	}

}
