package org.rosemaryfront.tables;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.rosemaryfront.fleet.Fleet;
import org.rosemaryfront.fleet.Fleet.Report;
import org.rosemaryfront.tables.TableQuery.Sent;

/**
 * Gateways that follow one table of a store in virtual time. They decide with the real
 * code which queries to send, and exchange reports that may be lost, late or sent by few
 * gateways.
 */
final class SimulatedFleet {

	static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private static final long TICK_NANOS = 50 * MILLI;

	private static final long RESPONSE_TIMEOUT_NANOS = 1_200 * MILLI;

	private static final long URGENT_REPORT_INTERVAL_NANOS = 50 * MILLI;

	private static final long OUTAGE_NANOS = 2_400 * MILLI;

	private static final long UNREPORTED_CHANGES_PERIOD_NANOS = 1_000 * MILLI;

	/** The number of reports that include a change. */
	private static final int REPORTS_PER_CHANGE = 3;

	/** The maximum number of changes in a report. */
	private static final int MAX_CHANGES_PER_REPORT = 3;

	final SimulatedStore store;

	final List<Gateway> gateways;

	final Random random;

	private final FreshnessLimits limits;

	/** The length of a response with rows; 0 for one that takes no time to send. */
	private long responseBytes;

	private long bytesPerSecond = Long.MAX_VALUE;

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
			this.gateways.forEach((other) -> gateway.addGateway(other));
			at(this.random.nextLong(TICK_NANOS), gateway::tick);
		});
	}

	/**
	 * Makes all responses with rows long, as those with the one row of a large
	 * configuration are, and the links of the gateways narrow. No report holds such a
	 * row.
	 * @param bytes the length of a response with rows
	 * @param linkBytesPerSecond the capacity of each link in each direction
	 */
	void sendLongResponses(long bytes, long linkBytesPerSecond) {
		this.responseBytes = bytes;
		this.bytesPerSecond = linkBytesPerSecond;
		this.gateways.forEach(Gateway::connect);
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
			long receivedAt = (gateway.receivedAtNanos.size() > change) ? gateway.receivedAtNanos.get(change) : -1;
			long at = this.store.changedAt(change);
			worst = Math.max(worst, ((receivedAt < 0) ? this.now : receivedAt) - at);
		}
		return worst / MILLI;
	}

	// A transit time of one millisecond and a random part.
	private long transitNanos(int moreMillis) {
		return MILLI + this.random.nextLong(moreMillis * MILLI);
	}

	/** A simulated gateway. */
	final class Gateway {

		final int index;

		final Freshness freshness = Freshness.unconfirmed(OUTAGE_NANOS);

		private final Fleet fleet;

		private final TableFollower follower = TableFollower.of(this.freshness, SimulatedFleet.this.limits,
				SimulatedFleet.this.random::nextDouble);

		/** When each change was received, -1 for those that were not. */
		private final List<Long> receivedAtNanos = new ArrayList<>();

		private final BitSet receivedChanges = new BitSet();

		private final List<ReceivedReport> receivedReports = new ArrayList<>();

		private final List<Long> reportedVersions = new ArrayList<>();

		private long version;

		private long generation;

		/**
		 * The gateway that reported changes that are missing here; null if any gateway
		 * may be queried.
		 */
		private Gateway reporter;

		private boolean urgent;

		private long reportsUntilNanos;

		private long lastReportNanos = -URGENT_REPORT_INTERVAL_NANOS;

		private int number;

		Role role = Role.STAND_BY;

		boolean killed;

		long pausedUntil;

		private SimulatedLink incoming;

		private SimulatedLink outgoing;

		/** The responses that arrive. */
		private final Map<Sent, SimulatedLink.Transfer> transfers = new HashMap<>();

		/** When the last part of a response arrived. */
		private Optional<Long> arrivedNanos = Optional.empty();

		/** The bytes of responses with rows that it received. */
		long receivedBytes;

		/** Whether its reports reach no other gateway. */
		boolean sendsNoReports;

		/** Whether no reports reach it. */
		boolean receivesNoReports;

		Gateway(int index) {
			this.index = index;
			this.fleet = new Fleet(index + 1);
		}

		private void connect() {
			this.incoming = new SimulatedLink(SimulatedFleet.this.bytesPerSecond);
			this.outgoing = new SimulatedLink(SimulatedFleet.this.bytesPerSecond);
		}

		private String name() {
			return "gateway-" + this.index;
		}

		private void addGateway(Gateway other) {
			if (other != this) {
				this.fleet.addGateway(other.name(), 0);
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
			this.receivedReports.forEach(this::processReport);
			this.receivedReports.clear();
			this.fleet.timedOut(SimulatedFleet.this.now);
			this.role = this.fleet.role(name(), SimulatedFleet.this.now);
			this.follower.arriving(this.arrivedNanos);
			this.follower.tick(this.role, SimulatedFleet.this.now).forEach(this::send);
			boolean reports = this.reportsUntilNanos > SimulatedFleet.this.now
					|| this.follower.isReading(SimulatedFleet.this.now);
			long interval = (this.urgent && reports) ? URGENT_REPORT_INTERVAL_NANOS : this.fleet.reportIntervalNanos();
			if (SimulatedFleet.this.now - this.lastReportNanos >= interval) {
				sendReports();
			}
			at(TICK_NANOS, this::tick);
		}

		// -- queries

		private void send(Sent sent) {
			if (sent.query() instanceof TableQuery.FromGateway ofGateway) {
				queryGateway(ofGateway.version());
				return;
			}
			long transitNanos = transitNanos(3);
			at(transitNanos, () -> SimulatedFleet.this.store.query(this.index, sent, SimulatedFleet.this.now,
					(response) -> at(transitNanos(3), () -> receive(sent, response))));
			boolean feed = sent.query() instanceof TableQuery.Feed;
			at(RESPONSE_TIMEOUT_NANOS + (feed ? TimeUnit.SECONDS.toNanos(20) : 0),
					() -> SimulatedFleet.this.store.unanswered(sent)
						.ifPresent((response) -> processResponse(sent, response)));
		}

		private void receive(Sent sent, SimulatedStore.Response response) {
			boolean isLong = SimulatedFleet.this.responseBytes > 0
					&& response instanceof SimulatedStore.Response.Rows rows && !rows.changes().isEmpty();
			if (isLong) {
				this.transfers.put(sent, SimulatedLink.send(SimulatedFleet.this, List.of(this.incoming),
						SimulatedFleet.this.responseBytes, this::countBytes, () -> processResponse(sent, response)));
			}
			else {
				processResponse(sent, response);
			}
		}

		private void endTransfer(Sent sent) {
			Optional.ofNullable(this.transfers.remove(sent)).ifPresent(SimulatedLink.Transfer::cancel);
			this.arrivedNanos = this.transfers.isEmpty() ? Optional.empty() : this.arrivedNanos;
		}

		private void countBytes(long bytes) {
			this.arrivedNanos = Optional.of(SimulatedFleet.this.now);
			this.receivedBytes += bytes;
		}

		private void processResponse(Sent sent, SimulatedStore.Response response) {
			if (this.killed) {
				return;
			}
			if (this.pausedUntil > SimulatedFleet.this.now) {
				at(this.pausedUntil - SimulatedFleet.this.now, () -> processResponse(sent, response));
				return;
			}
			SimulatedStore.Response current = current(response);
			switch (current) {
				case SimulatedStore.Response.Rows rows -> {
					TableFollower.Response result = this.follower.responseReceived(sent, rows.version(),
							!rows.changes().isEmpty(), SimulatedFleet.this.now);
					endTransfer(sent);
					result.lostFeed().ifPresent(this::endTransfer);
					result.superseded().forEach(this::endTransfer);
					boolean unreported = result.unreported();
					this.reportsUntilNanos = unreported ? SimulatedFleet.this.now + UNREPORTED_CHANGES_PERIOD_NANOS
							: this.reportsUntilNanos;
					applyChanges(rows.changes(), rows.version());
				}
				case SimulatedStore.Response.Failed failed ->
					this.follower.queryFailed(sent, failed.historyLost(), SimulatedFleet.this.now)
						.ifPresent(this::send);
			}
		}

		// A response of another generation than that of the query is not used.
		private SimulatedStore.Response current(SimulatedStore.Response response) {
			if (!(response instanceof SimulatedStore.Response.Rows rows)) {
				return response;
			}
			long before = this.generation;
			observe(rows.version());
			boolean used = StoreVersion.generation(rows.version()) == this.generation && before == this.generation;
			return used ? response : new SimulatedStore.Response.Failed(true);
		}

		private void observe(long otherVersion) {
			if (StoreVersion.generation(otherVersion) > this.generation) {
				this.generation = StoreVersion.generation(otherVersion);
				this.follower.storeRestored(this.generation, SimulatedFleet.this.now);
			}
		}

		private void queryGateway(long ownVersion) {
			Gateway other = (this.reporter != null) ? this.reporter : SimulatedFleet.this.gateways
				.get(SimulatedFleet.this.random.nextInt(SimulatedFleet.this.gateways.size()));
			this.reporter = null;
			boolean responds = !other.killed && other.pausedUntil <= SimulatedFleet.this.now
					&& other.version > ownVersion;
			if (responds) {
				List<Integer> changes = other.receivedChanges.stream().boxed().toList();
				long upTo = other.version;
				at(transitNanos(10), () -> receiveTable(other, changes, upTo));
			}
		}

		private void receiveTable(Gateway other, List<Integer> changes, long upTo) {
			if (SimulatedFleet.this.responseBytes > 0) {
				SimulatedLink.send(SimulatedFleet.this, List.of(this.incoming, other.outgoing),
						SimulatedFleet.this.responseBytes, this::countBytes, () -> applyTable(changes, upTo));
			}
			else {
				applyTable(changes, upTo);
			}
		}

		private void applyTable(List<Integer> changes, long upTo) {
			if (!this.killed && upTo >= this.version) {
				applyChanges(changes, upTo);
				this.follower.reportReceived(upTo, true, Optional.empty(), SimulatedFleet.this.now);
			}
		}

		private void applyChanges(List<Integer> changes, long upTo) {
			for (int change : changes) {
				if (!this.receivedChanges.get(change)) {
					this.receivedChanges.set(change);
					while (this.receivedAtNanos.size() <= change) {
						this.receivedAtNanos.add(-1L);
					}
					this.receivedAtNanos.set(change, SimulatedFleet.this.now);
					this.urgent = true;
				}
			}
			this.version = Math.max(this.version, upTo);
		}

		// -- reports

		private void sendReports() {
			this.lastReportNanos = SimulatedFleet.this.now;
			this.urgent = false;
			this.number++;
			boolean reads = this.follower.isReading(SimulatedFleet.this.now);
			boolean reports = reads || this.reportsUntilNanos > SimulatedFleet.this.now;
			Optional<TableUpdate> update = reports ? Optional.of(tableUpdate()) : Optional.empty();
			Report report = new Report(name(), this.index + 1, this.number, false, 0, reads, Optional.empty());
			for (Gateway other : SimulatedFleet.this.gateways) {
				boolean lost = this.sendsNoReports || other.receivesNoReports
						|| SimulatedFleet.this.random.nextDouble() < SimulatedFleet.this.loss;
				if (other != this && !lost) {
					at(transitNanos(50), () -> other.receivedReports.add(new ReceivedReport(this, report, update)));
				}
			}
		}

		private TableUpdate tableUpdate() {
			this.reportedVersions.add(this.version);
			long since = this.reportedVersions.get(Math.max(0, this.reportedVersions.size() - 1 - REPORTS_PER_CHANGE));
			List<Integer> changes = this.receivedChanges.stream()
				.filter((change) -> SimulatedFleet.this.store.versionOf(change) > since)
				.boxed()
				.toList();
			boolean omitted = changes.size() > ((SimulatedFleet.this.responseBytes > 0) ? 0 : MAX_CHANGES_PER_REPORT);
			return new TableUpdate(this.version, since, omitted ? List.of() : changes, omitted,
					this.follower.ownAgeNanos(SimulatedFleet.this.now).orElse(-1));
		}

		private void processReport(ReceivedReport received) {
			if (this.fleet.reportReceived(received.report, SimulatedFleet.this.now) == Fleet.ReportStatus.LATE) {
				return;
			}
			received.update.ifPresent((update) -> {
				observe(update.version);
				boolean sameGeneration = StoreVersion.sameGeneration(update.version, this.version);
				boolean follows = !update.omitted && sameGeneration && update.since <= this.version;
				if (follows) {
					applyChanges(update.changes, update.version);
				}
				boolean complete = follows || update.version <= this.version;
				Optional<Long> confirmedNanos = (update.ageNanos < 0) ? Optional.empty()
						: Optional.of(SimulatedFleet.this.now - update.ageNanos);
				this.follower.reportReceived(update.version, complete, confirmedNanos, SimulatedFleet.this.now);
				this.reporter = complete ? this.reporter : received.from;
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

	private record ReceivedReport(Gateway from, Report report, Optional<TableUpdate> update) {
	}

	private record TableUpdate(long version, long since, List<Integer> changes, boolean omitted, long ageNanos) {
	}

}
