package org.rosemaryfront.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.rosemaryfront.fleet.Fleet;
import org.rosemaryfront.fleet.VirtualFleet;
import org.rosemaryfront.fleet.VirtualFleet.Identity;
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

	/** The fraction of the calls that a quarter of the gateways receives. */
	private static final double QUARTER_CALLS = 0.7;

	private final Load load;

	private final Organisation organisation;

	private final Random random;

	private final VirtualFleet<Optional<Use>> gateways;

	private final List<RecordedCall> admitted = new ArrayList<>();

	private final List<RecordedCall> requested = new ArrayList<>();

	/** The calls that were refused and not sent again. */
	private final List<RecordedCall> refused = new ArrayList<>();

	/**
	 * The calls of callers that wait as long as they were told, by their next attempt.
	 */
	private final PriorityQueue<Attempt> retries = new PriorityQueue<>(Comparator.comparing(Attempt::atMillis));

	/** The time that a caller has for its call; 0 for callers that do not retry. */
	private long patienceMillis;

	private boolean quarterHasMostCallers;

	private final SlowStore store;

	private QuotaFleet(int count, long seed, Load load, SlowStore store) {
		this.store = store;
		this.load = load;
		this.organisation = new Organisation("sfax", List.of("k"), OptionalInt.empty(),
				load.quota / 10 / (WINDOW_MILLIS / 1_000.0), load.quota * 0.9, Organisation.QuotaUnit.TOKENS, 1);
		this.random = new Random(seed);
		this.gateways = new VirtualFleet<>(count, -2 * WINDOW_MILLIS, this.random, Gateway::new);
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
	 * @return the gateways, with a store that never answers
	 */
	static QuotaFleet of(int count, long seed, Load load) {
		return of(count, seed, load, SlowStore.unavailable());
	}

	/**
	 * Creates gateways that have exchanged reports for longer than a window.
	 * @param count the number of gateways
	 * @param seed the seed of all random numbers
	 * @param load the quota of the organisation and the size of its calls
	 * @param store lists the organisations that may use a large burst
	 * @return the gateways
	 */
	static QuotaFleet of(int count, long seed, Load load, SlowStore store) {
		QuotaFleet fleet = new QuotaFleet(count, seed, load, store);
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
		this.gateways.run(millis, () -> {
			this.store.advance(nowMillis());
			while (!this.retries.isEmpty() && this.retries.peek().atMillis <= nowMillis()) {
				send(this.retries.remove());
			}
			for (double calls = callsPerMilli; calls > 0; calls--) {
				if (this.random.nextDouble() < calls) {
					int gateway = randomGateway();
					double units = units();
					this.requested.add(new RecordedCall(nowMillis(), units));
					send(new Attempt(gateway, units, nowMillis(), nowMillis() + this.patienceMillis));
				}
			}
		});
	}

	private void send(Attempt attempt) {
		Gateway gateway = (Gateway) this.gateways.process(attempt.gateway);
		this.gateways.at(attempt.gateway, () -> gateway.processCall(attempt));
	}

	// Callers wait for at most a third of the time that they have left, and retry on a
	// new channel, to any gateway.
	private void refuse(Attempt attempt, long waitMillis) {
		if (3 * waitMillis <= attempt.untilMillis - nowMillis()) {
			this.retries
				.add(new Attempt(randomGateway(), attempt.units, nowMillis() + waitMillis, attempt.untilMillis));
		}
		else {
			this.refused.add(new RecordedCall(nowMillis(), attempt.units));
		}
	}

	/**
	 * Sets how long callers have for a call: they retry when told, if that is soon
	 * enough.
	 * @param patienceMillis the time in milliseconds
	 */
	void retryFor(long patienceMillis) {
		this.patienceMillis = patienceMillis;
	}

	/** Sends most calls to a quarter of the gateways. */
	void crowdQuarter() {
		this.quarterHasMostCallers = true;
	}

	/**
	 * Returns the gateways and the links between them, to inject faults.
	 * @return the gateways
	 */
	VirtualFleet<Optional<Use>> faults() {
		return this.gateways;
	}

	// -- results

	int gateways() {
		return this.gateways.count();
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
	 * Returns the units of calls that were refused for good although the window had room
	 * for them, relative to all requested units.
	 * @return the fraction, from 0 to 1
	 */
	double refusedBelowQuota() {
		double below = this.refused.stream()
			.filter((call) -> usedBefore(call.atMillis) + call.units <= this.load.quota)
			.mapToDouble(RecordedCall::units)
			.sum();
		return below / this.requested.stream().mapToDouble(RecordedCall::units).sum();
	}

	private double usedBefore(long atMillis) {
		return this.admitted.stream()
			.filter((use) -> use.atMillis > atMillis - WINDOW_MILLIS && use.atMillis <= atMillis)
			.mapToDouble(RecordedCall::units)
			.sum();
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
		return this.gateways.nowMillis();
	}

	// Callers use some gateways more than others: the first receives three times the
	// calls of the last.
	private int randomGateway() {
		double place = this.random.nextDouble();
		if (this.quarterHasMostCallers) {
			double inGroup = (place < QUARTER_CALLS) ? place / QUARTER_CALLS / 4
					: 0.25 + 0.75 * (place - QUARTER_CALLS) / (1 - QUARTER_CALLS);
			return (int) (gateways() * inGroup);
		}
		return (int) (gateways() * (0.5 * place + 0.5 * place * place));
	}

	private double units() {
		double varying = (1 - this.load.fixedFraction) * -Math.log(1 - this.random.nextDouble());
		return this.load.callUnits * Math.min(5, this.load.fixedFraction + varying);
	}

	/** A process with its quotas. */
	private final class Gateway implements VirtualFleet.Process<Optional<Use>> {

		private final QuotaTable table;

		private final Fleet fleet;

		private final Identity identity;

		private final StoredBursts bursts = StoredBursts.empty(WINDOW_MILLIS);

		private Gateway(Identity identity, Fleet fleet) {
			this.fleet = fleet;
			this.identity = identity;
			this.table = new QuotaTable(WINDOW_MILLIS, TimeUnit.MILLISECONDS.toNanos(identity.startedMillis()),
					QuotaFleet.this.load.slack, QuotaFleet.this.random::nextDouble);
			this.bursts.read(QuotaFleet.this.store.list, TimeUnit.MILLISECONDS.toNanos(identity.startedMillis()));
			this.table.earlierBursts(EarlierBursts.of(this.bursts.organisations()));
		}

		private void processCall(Attempt attempt) {
			long nowNanos = TimeUnit.MILLISECONDS.toNanos(nowMillis());
			this.table.sharing(this.fleet.sharing(nowNanos));
			long wait = this.table.take(QuotaFleet.this.organisation, attempt.units, nowNanos).waitMillis();
			if (wait == 0) {
				QuotaFleet.this.admitted.add(new RecordedCall(nowMillis(), attempt.units));
			}
			else {
				refuse(attempt, wait);
			}
		}

		// The first gateway holds the duties.
		@Override
		public Optional<Use> report(int number, long nowNanos) {
			if (this.identity.index() == 0) {
				Set<String> inBurst = this.table.organisationsInBurst(List.of(QuotaFleet.this.organisation), nowNanos);
				this.bursts.nextWrite(inBurst, nowNanos)
					.ifPresent((list) -> QuotaFleet.this.store.write(list, nowMillis(), () -> written(list)));
			}
			Optional<Use> use = Optional.ofNullable(this.table.useToReport(nowNanos).get("sfax"));
			this.table.reportSent(number, nowNanos);
			return use;
		}

		private void written(Map<String, Long> list) {
			this.bursts.writeEnded();
			follow(list, TimeUnit.MILLISECONDS.toNanos(nowMillis()));
		}

		private void follow(Map<String, Long> list, long nowNanos) {
			this.table.allowLargeBursts(this.bursts.read(list, nowNanos), nowNanos);
			this.table.retainLargeBursts(this.bursts.organisations());
		}

		@Override
		public void tick(long nowNanos) {
			boolean holds = this.identity.index() == 0;
			follow(holds ? QuotaFleet.this.store.list : QuotaFleet.this.store.seen(nowMillis()), nowNanos);
		}

		@Override
		public void reportReceived(Identity sender, Optional<Use> use, long nowNanos) {
			Map<String, Use> uses = use.map((reported) -> Map.of("sfax", reported)).orElse(Map.of());
			this.table.reportReceived(sender.process(), uses, nowNanos);
		}

	}

	/**
	 * The list of bursts in a store that takes its time, or never writes. Gateways see it
	 * later than it is written.
	 */
	static final class SlowStore {

		private final long delayMillis;

		private final Deque<PendingWrite> pending = new ArrayDeque<>();

		private Map<String, Long> list = Map.of();

		private Map<String, Long> seen = Map.of();

		private long writtenMillis;

		private int writes;

		private SlowStore(long delayMillis) {
			this.delayMillis = delayMillis;
		}

		static SlowStore of(long delayMillis) {
			return new SlowStore(delayMillis);
		}

		static SlowStore unavailable() {
			return new SlowStore(Long.MAX_VALUE / 2);
		}

		int writes() {
			return this.writes;
		}

		private Map<String, Long> seen(long nowMillis) {
			if (nowMillis - this.writtenMillis >= this.delayMillis) {
				this.seen = this.list;
			}
			return this.seen;
		}

		private void write(Map<String, Long> written, long nowMillis, Runnable ended) {
			this.writes++;
			this.pending.addLast(new PendingWrite(written, nowMillis + this.delayMillis, ended));
		}

		private void advance(long nowMillis) {
			while (!this.pending.isEmpty() && this.pending.getFirst().atMillis <= nowMillis) {
				PendingWrite next = this.pending.removeFirst();
				this.list = next.list;
				this.writtenMillis = nowMillis;
				next.ended.run();
			}
		}

	}

	/** A write that takes effect later. */
	private record PendingWrite(Map<String, Long> list, long atMillis, Runnable ended) {
	}

	/**
	 * The quota of an organisation and the size of its calls.
	 *
	 * @param quota the units that it may use in a window
	 * @param callUnits the average units of a call
	 * @param slack the units that may be used beyond the quota
	 * @param fixedFraction the fraction of the average units that each call has at least
	 */
	record Load(double quota, double callUnits, double slack, double fixedFraction) {

		Load(double quota, double callUnits, double slack) {
			this(quota, callUnits, slack, 0);
		}

	}

	/** One attempt of a call, and the time until which its caller waits. */
	private record Attempt(int gateway, double units, long atMillis, long untilMillis) {
	}

	/** A call that was requested, admitted or refused. */
	private record RecordedCall(long atMillis, double units) {
	}

}
