package org.rosemaryfront.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.rosemaryfront.fleet.Fleet;
import org.rosemaryfront.fleet.Fleet.Hearing;
import org.rosemaryfront.fleet.Fleet.Report;
import org.rosemaryfront.quota.QuotaTable.Use;
import org.rosemaryfront.routes.Organisation;

/**
 * Gateways that share quotas by telling one another, on virtual time: reports that are
 * late, lost or cut one way, processes that stand still, die and start. One organisation
 * asks for far more than its quota, through all of them.
 */
final class QuotaFleet {

	/** A large organisation with long prompts, and nothing beside its quota. */
	private static final Load LARGE = new Load(1_690_000, 9_000, 0);

	private static final long WINDOW_MILLIS = 8_000;

	private static final int TICK_MILLIS = 50;

	/** Of the network between gateways; the rest waits for its turn on a thread. */
	private static final int DELAY_MILLIS = 15;

	private final Load load;

	private final Organisation organisation;

	private final Random random;

	private final List<Gateway> gateways = new ArrayList<>();

	/** Reports in the order in which they arrive. */
	private final Deque<Telling> underWay = new ArrayDeque<>();

	private final List<Passed> passed = new ArrayList<>();

	private final List<Passed> asked = new ArrayList<>();

	private final int count;

	private long nowMillis;

	private QuotaFleet(int count, long seed, Load load) {
		this.load = load;
		this.organisation = new Organisation("sfax", List.of("k"), OptionalInt.empty(),
				load.quota / 10 / (WINDOW_MILLIS / 1_000.0), load.quota * 0.9, Organisation.Counts.TOKENS, 1);
		this.count = count;
		this.random = new Random(seed);
	}

	/**
	 * Gateways that have known one another for longer than a window.
	 * @param count how many
	 * @param seed of all that is random
	 * @return the gateways
	 */
	static QuotaFleet of(int count, long seed) {
		return of(count, seed, LARGE);
	}

	/**
	 * Gateways that have known one another for longer than a window.
	 * @param count how many
	 * @param seed of all that is random
	 * @param load what the organisation may use and asks for
	 * @return the gateways
	 */
	static QuotaFleet of(int count, long seed, Load load) {
		QuotaFleet fleet = new QuotaFleet(count, seed, load);
		for (int i = 0; i < count; i++) {
			fleet.gateways.add(fleet.new Gateway(i, -2 * WINDOW_MILLIS));
		}
		fleet.run(2 * WINDOW_MILLIS, 0);
		return fleet;
	}

	// -- what happens

	/**
	 * Lets time pass while the organisation asks.
	 * @param millis how long
	 * @param quotasPerSecond what it asks for, in quotas a second
	 */
	void run(long millis, double quotasPerSecond) {
		double callsPerMilli = quotasPerSecond * this.load.quota / this.load.callUnits / 1_000;
		for (long until = this.nowMillis + millis; this.nowMillis < until; this.nowMillis++) {
			deliver();
			for (double calls = callsPerMilli; calls > 0; calls--) {
				if (this.random.nextDouble() < calls) {
					caller().called(units());
				}
			}
			this.gateways.forEach(Gateway::tick);
		}
	}

	/**
	 * Cuts the way from a gateway to another, or heals it.
	 * @param from who is not heard any more
	 * @param to who does not hear
	 * @param cut whether it is cut
	 */
	void cut(int from, int to, boolean cut) {
		this.gateways.get(to).deafTo.put(from, cut);
	}

	/**
	 * Cuts a group off from all others, both ways, or heals it.
	 * @param group the gateways
	 * @param cut whether they are cut off
	 */
	void cutOff(List<Integer> group, boolean cut) {
		for (int i = 0; i < this.gateways.size(); i++) {
			for (int inside : group) {
				if (!group.contains(i)) {
					cut(i, inside, cut);
					cut(inside, i, cut);
				}
			}
		}
	}

	/**
	 * A gateway stands still; its callers go on to call, and are served at its wake.
	 * @param gateway which
	 * @param frozen whether it stands still
	 */
	void freeze(int gateway, boolean frozen) {
		this.gateways.get(gateway).freeze(frozen);
	}

	/**
	 * A gateway is killed and another process starts in its place.
	 * @param gateway which
	 */
	void restart(int gateway) {
		this.gateways.set(gateway, new Gateway(gateway, this.nowMillis));
	}

	/**
	 * All gateways are killed; other processes start in their places.
	 * @param downMillis how long nobody serves
	 */
	void killAll(long downMillis) {
		this.gateways.forEach((gateway) -> gateway.freeze(true));
		run(downMillis, 0);
		for (int i = 0; i < this.count; i++) {
			restart(i);
		}
	}

	// -- what is seen

	int gateways() {
		return this.count;
	}

	/**
	 * The most that was let through in any window.
	 * @return in quotas
	 */
	double worstWindow() {
		double worst = 0;
		double sum = 0;
		int first = 0;
		for (Passed use : this.passed) {
			sum += use.units;
			while (this.passed.get(first).atMillis <= use.atMillis - WINDOW_MILLIS) {
				sum -= this.passed.get(first++).units;
			}
			worst = Math.max(worst, sum);
		}
		return worst / this.load.quota;
	}

	/**
	 * What was let through since a moment.
	 * @param sinceMillis the moment
	 * @return in quotas
	 */
	double usedSince(long sinceMillis) {
		return this.passed.stream().filter((use) -> use.atMillis >= sinceMillis).mapToDouble(Passed::units).sum()
				/ this.load.quota;
	}

	/**
	 * The share of what was asked for that was let through, by units.
	 * @return from 0 to 1
	 */
	double served() {
		return usedSince(Long.MIN_VALUE) * this.load.quota / this.asked.stream().mapToDouble(Passed::units).sum();
	}

	/**
	 * What was let through, against what one gateway that sees all calls would let
	 * through without passing the quota in any window.
	 * @return 1 for as much
	 */
	double servedOfDue() {
		double due = 0;
		double window = 0;
		Deque<Passed> inWindow = new ArrayDeque<>();
		for (Passed call : this.asked) {
			while (!inWindow.isEmpty() && inWindow.getFirst().atMillis <= call.atMillis - WINDOW_MILLIS) {
				window -= inWindow.removeFirst().units;
			}
			if (window + call.units <= this.load.quota) {
				inWindow.addLast(call);
				window += call.units;
				due += call.units;
			}
		}
		return usedSince(Long.MIN_VALUE) * this.load.quota / due;
	}

	long nowMillis() {
		return this.nowMillis;
	}

	// -- inside

	// Callers keep to some gateways more than to others: the first has three times the
	// calls of the last.
	private Gateway caller() {
		double place = this.random.nextDouble();
		return this.gateways.get((int) (this.gateways.size() * (0.5 * place + 0.5 * place * place)));
	}

	private double units() {
		return Math.min(5 * this.load.callUnits, this.load.callUnits * -Math.log(1 - this.random.nextDouble()));
	}

	private void deliver() {
		while (!this.underWay.isEmpty() && this.underWay.getFirst().arrives <= this.nowMillis) {
			Telling telling = this.underWay.removeFirst();
			this.gateways.get(telling.to).heard(telling);
		}
	}

	/** A process with the part of the fleet that it hears. */
	private final class Gateway {

		private final int index;

		private final String process;

		private final QuotaTable table;

		private final Fleet fleet;

		private final Map<Integer, Boolean> deafTo = new HashMap<>();

		/** What waits for this process to run again. */
		private final Deque<Runnable> waiting = new ArrayDeque<>();

		private boolean frozen;

		private long nextTellMillis;

		private long nextTickMillis;

		private int number;

		/** What the last report said. */
		private int group;

		private Optional<Use> use = Optional.empty();

		private Gateway(int index, long startedMillis) {
			this.index = index;
			this.process = index + "/" + startedMillis;
			this.table = new QuotaTable(WINDOW_MILLIS, TimeUnit.MILLISECONDS.toNanos(startedMillis),
					QuotaFleet.this.load.slack, QuotaFleet.this.random::nextDouble);
			this.fleet = new Fleet(this.process.hashCode());
			for (int other = 0; other < QuotaFleet.this.count; other++) {
				if (other != index) {
					this.fleet.found("gateway-" + other, nowNanos());
				}
			}
			this.fleet.complete();
			this.nextTellMillis = startedMillis + QuotaFleet.this.random.nextInt((int) tellMillis());
			this.nextTickMillis = startedMillis + QuotaFleet.this.random.nextInt(TICK_MILLIS);
		}

		private long tellMillis() {
			return TimeUnit.NANOSECONDS.toMillis(this.fleet.reportNanos());
		}

		private void freeze(boolean now) {
			this.frozen = now;
			while (!now && !this.waiting.isEmpty()) {
				this.waiting.removeFirst().run();
			}
		}

		private void called(double units) {
			QuotaFleet.this.asked.add(new Passed(QuotaFleet.this.nowMillis, units));
			whenRunning(() -> {
				this.table.sharing(this.fleet.sharing(nowNanos()));
				if (this.table.take(QuotaFleet.this.organisation, units, nowNanos()).waitMillis() == 0) {
					QuotaFleet.this.passed.add(new Passed(QuotaFleet.this.nowMillis, units));
				}
			});
		}

		private void heard(Telling telling) {
			if (!this.deafTo.getOrDefault(telling.from, false)) {
				whenRunning(() -> {
					Hearing hearing = this.fleet.heard(telling.report, nowNanos());
					if (hearing == Hearing.LATE) {
						return;
					}
					Map<String, Use> uses = telling.use.map((use) -> Map.of("sfax", use)).orElse(Map.of());
					this.table.usedByOther(telling.process, uses, nowNanos());
					if (hearing == Hearing.FIRST) {
						answer(telling.from);
					}
				});
			}
		}

		private void whenRunning(Runnable task) {
			if (this.frozen) {
				this.waiting.addLast(task);
			}
			else {
				task.run();
			}
		}

		private void tick() {
			if (this.frozen || QuotaFleet.this.nowMillis < this.nextTickMillis) {
				return;
			}
			this.nextTickMillis = QuotaFleet.this.nowMillis + TICK_MILLIS;
			if (QuotaFleet.this.nowMillis >= this.nextTellMillis) {
				this.nextTellMillis = QuotaFleet.this.nowMillis + tellMillis();
				this.number++;
				tell();
			}
		}

		private void tell() {
			this.group = this.fleet.group(nowNanos());
			this.use = Optional.ofNullable(this.table.used(nowNanos()).get("sfax"));
			this.table.told(this.number, nowNanos());
			this.fleet.told(this.number, nowNanos());
			for (int to = 0; to < QuotaFleet.this.gateways.size(); to++) {
				if (to != this.index) {
					send(to);
				}
			}
		}

		// The last report once more, for one that waits for its confirmation.
		private void answer(int to) {
			if (this.number == 0) {
				this.nextTellMillis = QuotaFleet.this.nowMillis;
			}
			else {
				send(to);
			}
		}

		private void send(int to) {
			Report report = new Report("gateway-" + this.index, this.process.hashCode(), this.number, false, this.group,
					false, this.fleet.confirmation("gateway-" + to, nowNanos()));
			QuotaFleet.this.underWay.addLast(new Telling(this.index, to, this.process, report, this.use,
					QuotaFleet.this.nowMillis + DELAY_MILLIS));
		}

		private long nowNanos() {
			return TimeUnit.MILLISECONDS.toNanos(QuotaFleet.this.nowMillis);
		}

	}

	/**
	 * What an organisation may use and what it asks for.
	 *
	 * @param quota what it may use in a window, in units
	 * @param callUnits what a call counts on average, in units
	 * @param slack what may be used beside the quota, in units
	 */
	record Load(double quota, double callUnits, double slack) {
	}

	/** A report under way. */
	private record Telling(int from, int to, String process, Report report, Optional<Use> use, long arrives) {
	}

	/** A call that was let through. */
	private record Passed(long atMillis, double units) {
	}

}
