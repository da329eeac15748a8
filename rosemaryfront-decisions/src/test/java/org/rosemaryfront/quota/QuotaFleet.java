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
import org.rosemaryfront.fleet.Fleet.Report;
import org.rosemaryfront.fleet.Fleet.ReportStatus;
import org.rosemaryfront.quota.QuotaTable.Use;
import org.rosemaryfront.routes.Organisation;

/**
 * Gateways that share quotas through reports, in virtual time. Reports may be late, lost
 * or cut in one direction, and processes may be paused, killed and started. One
 * organisation requests far more than its quota, through all gateways.
 */
final class QuotaFleet {

	/** A large organisation with long prompts and no slack beyond its quota. */
	private static final Load LARGE_ORGANISATION = new Load(1_690_000, 9_000, 0);

	private static final long WINDOW_MILLIS = 8_000;

	private static final int TICK_MILLIS = 50;

	/**
	 * The network delay between gateways. The rest of the transit time is the wait for
	 * the next tick of a thread.
	 */
	private static final int DELAY_MILLIS = 15;

	private final Load load;

	private final Organisation organisation;

	private final Random random;

	private final List<Gateway> gateways = new ArrayList<>();

	/** The reports in transit, in the order of their arrival. */
	private final Deque<ReportInTransit> inTransit = new ArrayDeque<>();

	private final List<RecordedCall> admitted = new ArrayList<>();

	private final List<RecordedCall> requested = new ArrayList<>();

	private final int count;

	private long nowMillis;

	private QuotaFleet(int count, long seed, Load load) {
		this.load = load;
		this.organisation = new Organisation("sfax", List.of("k"), OptionalInt.empty(),
				load.quota / 10 / (WINDOW_MILLIS / 1_000.0), load.quota * 0.9, Organisation.QuotaUnit.TOKENS, 1);
		this.count = count;
		this.random = new Random(seed);
	}

	/**
	 * Creates gateways that have exchanged reports for longer than a window.
	 * @param count the number of gateways
	 * @param seed the seed of all random numbers
	 * @return the gateways
	 */
	static QuotaFleet of(int count, long seed) {
		return of(count, seed, LARGE_ORGANISATION);
	}

	/**
	 * Creates gateways that have exchanged reports for longer than a window.
	 * @param count the number of gateways
	 * @param seed the seed of all random numbers
	 * @param load the quota of the organisation and the size of its calls
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

	// -- load and faults

	/**
	 * Advances the time while the organisation sends calls.
	 * @param millis the time in milliseconds
	 * @param quotasPerSecond the requested units per second, in quotas
	 */
	void run(long millis, double quotasPerSecond) {
		double callsPerMilli = quotasPerSecond * this.load.quota / this.load.callUnits / 1_000;
		for (long until = this.nowMillis + millis; this.nowMillis < until; this.nowMillis++) {
			deliver();
			for (double calls = callsPerMilli; calls > 0; calls--) {
				if (this.random.nextDouble() < calls) {
					randomGateway().processCall(units());
				}
			}
			this.gateways.forEach(Gateway::tick);
		}
	}

	/**
	 * Cuts or restores the link from one gateway to another.
	 * @param from the gateway whose reports are lost
	 * @param to the gateway that does not receive them
	 * @param cut whether the link is cut
	 */
	void cut(int from, int to, boolean cut) {
		this.gateways.get(to).cutLinks.put(from, cut);
	}

	/**
	 * Cuts a group off from all others in both directions, or reconnects it.
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
	 * Pauses or resumes a gateway. Its callers continue to call, and are served when it
	 * resumes.
	 * @param gateway the gateway
	 * @param paused whether it is paused
	 */
	void pause(int gateway, boolean paused) {
		this.gateways.get(gateway).pause(paused);
	}

	/**
	 * Kills a gateway and starts another process in its place.
	 * @param gateway the gateway
	 */
	void restart(int gateway) {
		this.gateways.set(gateway, new Gateway(gateway, this.nowMillis));
	}

	/**
	 * Kills all gateways and starts other processes in their places.
	 * @param downMillis the time without any process, in milliseconds
	 */
	void killAll(long downMillis) {
		this.gateways.forEach((gateway) -> gateway.pause(true));
		run(downMillis, 0);
		for (int i = 0; i < this.count; i++) {
			restart(i);
		}
	}

	// -- results

	int gateways() {
		return this.count;
	}

	/**
	 * Returns the maximum use that was admitted in any window.
	 * @return the use in quotas
	 */
	double worstWindow() {
		double worst = 0;
		double sum = 0;
		int first = 0;
		for (RecordedCall use : this.admitted) {
			sum += use.units;
			while (this.admitted.get(first).atMillis <= use.atMillis - WINDOW_MILLIS) {
				sum -= this.admitted.get(first++).units;
			}
			worst = Math.max(worst, sum);
		}
		return worst / this.load.quota;
	}

	/**
	 * Returns the use that was admitted since a time.
	 * @param sinceMillis the time
	 * @return the use in quotas
	 */
	double usedSince(long sinceMillis) {
		return this.admitted.stream()
			.filter((use) -> use.atMillis >= sinceMillis)
			.mapToDouble(RecordedCall::units)
			.sum() / this.load.quota;
	}

	/**
	 * Returns the fraction of the requested units that was admitted.
	 * @return the fraction, from 0 to 1
	 */
	double servedFraction() {
		return usedSince(Long.MIN_VALUE) * this.load.quota
				/ this.requested.stream().mapToDouble(RecordedCall::units).sum();
	}

	/**
	 * Returns the admitted units, relative to what one gateway that receives all calls
	 * would admit without exceeding the quota in any window.
	 * @return the ratio, 1 for as much
	 */
	double servedOfPermitted() {
		double permitted = 0;
		double window = 0;
		Deque<RecordedCall> inWindow = new ArrayDeque<>();
		for (RecordedCall call : this.requested) {
			while (!inWindow.isEmpty() && inWindow.getFirst().atMillis <= call.atMillis - WINDOW_MILLIS) {
				window -= inWindow.removeFirst().units;
			}
			if (window + call.units <= this.load.quota) {
				inWindow.addLast(call);
				window += call.units;
				permitted += call.units;
			}
		}
		return usedSince(Long.MIN_VALUE) * this.load.quota / permitted;
	}

	long nowMillis() {
		return this.nowMillis;
	}

	// Callers use some gateways more than others: the first receives three times the
	// calls of the last.
	private Gateway randomGateway() {
		double place = this.random.nextDouble();
		return this.gateways.get((int) (this.gateways.size() * (0.5 * place + 0.5 * place * place)));
	}

	private double units() {
		return Math.min(5 * this.load.callUnits, this.load.callUnits * -Math.log(1 - this.random.nextDouble()));
	}

	private void deliver() {
		while (!this.inTransit.isEmpty() && this.inTransit.getFirst().arrivalMillis <= this.nowMillis) {
			ReportInTransit delivery = this.inTransit.removeFirst();
			this.gateways.get(delivery.to).receive(delivery);
		}
	}

	/** A process with its view of the fleet. */
	private final class Gateway {

		private final int index;

		private final String process;

		private final QuotaTable table;

		private final Fleet fleet;

		private final Map<Integer, Boolean> cutLinks = new HashMap<>();

		/** The tasks that wait until this process resumes. */
		private final Deque<Runnable> waiting = new ArrayDeque<>();

		private boolean paused;

		private long nextReportMillis;

		private long nextTickMillis;

		private int number;

		/** The group in the last report. */
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
					this.fleet.addGateway("gateway-" + other, nowNanos());
				}
			}
			this.fleet.gatewaysListed();
			this.nextReportMillis = startedMillis + QuotaFleet.this.random.nextInt((int) reportIntervalMillis());
			this.nextTickMillis = startedMillis + QuotaFleet.this.random.nextInt(TICK_MILLIS);
		}

		private long reportIntervalMillis() {
			return TimeUnit.NANOSECONDS.toMillis(this.fleet.reportIntervalNanos());
		}

		private void pause(boolean paused) {
			this.paused = paused;
			while (!paused && !this.waiting.isEmpty()) {
				this.waiting.removeFirst().run();
			}
		}

		private void processCall(double units) {
			QuotaFleet.this.requested.add(new RecordedCall(QuotaFleet.this.nowMillis, units));
			whenRunning(() -> {
				this.table.sharing(this.fleet.sharing(nowNanos()));
				if (this.table.take(QuotaFleet.this.organisation, units, nowNanos()).waitMillis() == 0) {
					QuotaFleet.this.admitted.add(new RecordedCall(QuotaFleet.this.nowMillis, units));
				}
			});
		}

		private void receive(ReportInTransit delivery) {
			if (!this.cutLinks.getOrDefault(delivery.from, false)) {
				whenRunning(() -> {
					ReportStatus status = this.fleet.reportReceived(delivery.report, nowNanos());
					if (status == ReportStatus.LATE) {
						return;
					}
					Map<String, Use> uses = delivery.use.map((use) -> Map.of("sfax", use)).orElse(Map.of());
					this.table.reportReceived(delivery.process, uses, nowNanos());
					if (status == ReportStatus.FIRST) {
						repeatReport(delivery.from);
					}
				});
			}
		}

		private void whenRunning(Runnable task) {
			if (this.paused) {
				this.waiting.addLast(task);
			}
			else {
				task.run();
			}
		}

		private void tick() {
			if (this.paused || QuotaFleet.this.nowMillis < this.nextTickMillis) {
				return;
			}
			this.nextTickMillis = QuotaFleet.this.nowMillis + TICK_MILLIS;
			if (QuotaFleet.this.nowMillis >= this.nextReportMillis) {
				this.nextReportMillis = QuotaFleet.this.nowMillis + reportIntervalMillis();
				this.number++;
				sendReports();
			}
		}

		private void sendReports() {
			this.group = this.fleet.group(nowNanos());
			this.use = Optional.ofNullable(this.table.useToReport(nowNanos()).get("sfax"));
			this.table.reportSent(this.number, nowNanos());
			this.fleet.reportSent(this.number, nowNanos());
			for (int to = 0; to < QuotaFleet.this.gateways.size(); to++) {
				if (to != this.index) {
					send(to);
				}
			}
		}

		// Repeats the last report for a gateway that waits for its confirmation.
		private void repeatReport(int to) {
			if (this.number == 0) {
				this.nextReportMillis = QuotaFleet.this.nowMillis;
			}
			else {
				send(to);
			}
		}

		private void send(int to) {
			Report report = new Report("gateway-" + this.index, this.process.hashCode(), this.number, false, this.group,
					false, this.fleet.confirmation("gateway-" + to, nowNanos()));
			QuotaFleet.this.inTransit.addLast(new ReportInTransit(this.index, to, this.process, report, this.use,
					QuotaFleet.this.nowMillis + DELAY_MILLIS));
		}

		private long nowNanos() {
			return TimeUnit.MILLISECONDS.toNanos(QuotaFleet.this.nowMillis);
		}

	}

	/**
	 * The quota of an organisation and the size of its calls.
	 *
	 * @param quota the units that it may use in a window
	 * @param callUnits the average units of a call
	 * @param slack the units that may be used beyond the quota
	 */
	record Load(double quota, double callUnits, double slack) {
	}

	/** A report in transit. */
	private record ReportInTransit(int from, int to, String process, Report report, Optional<Use> use,
			long arrivalMillis) {
	}

	/** A call that was requested or admitted. */
	private record RecordedCall(long atMillis, double units) {
	}

}
