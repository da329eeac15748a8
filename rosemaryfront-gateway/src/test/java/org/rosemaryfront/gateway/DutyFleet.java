package org.rosemaryfront.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;

import reactor.core.publisher.Mono;

import org.rosemaryfront.duties.PoolSize;
import org.rosemaryfront.duties.UsageLedger.Window;
import org.rosemaryfront.duties.UsageSums;
import org.rosemaryfront.gateway.UsageRows.UsageRow;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.ports.Duties;
import org.rosemaryfront.ports.RowStore;
import org.rosemaryfront.ports.StoreException;
import org.rosemaryfront.ports.StoreException.Reason;

/**
 * Gateways that take turns in the duties and report usage in virtual time, with the real
 * code of lease and usage. The platform checks what it accepts from them.
 */
final class DutyFleet {

	static final long WINDOW_MILLIS = 5_000;

	private static final long TICK_MILLIS = 200;

	private static final long POLL_MILLIS = 500;

	private static final int READERS = 3;

	/** A report of usage is due this long after its window, in milliseconds. */
	private static final long DUE_MILLIS = 10_000;

	/** The users' time within which holders must not act in turns, in milliseconds. */
	private static final long LEASE_MILLIS = 3_000;

	private static final long EPOCH_MILLIS = 1_796_000_000_000L;

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** Reports are less frequent in large fleets. */
	private static final int SMALL_FLEET = 40;

	final VirtualTime time = new VirtualTime();

	final VirtualRowStore store;

	final List<Node> nodes = new ArrayList<>();

	final Platform platform = new Platform();

	private final Random random;

	private final boolean sumsAreSent;

	/** The calls that began in each window. */
	private final Map<Long, Long> truth = new HashMap<>();

	DutyFleet(int count, long seed, boolean sumsAreSent) {
		this.random = new Random(seed);
		this.sumsAreSent = sumsAreSent;
		this.store = new VirtualRowStore(this.time, this.random);
		for (int i = 0; i < count; i++) {
			this.nodes.add(new Node(i));
		}
		this.nodes.forEach(Node::start);
	}

	void run(long millis) {
		this.time.run(this.time.nowMillis() + millis);
	}

	private long reportMillis() {
		return (this.nodes.size() <= SMALL_FLEET) ? 250 : 1_000;
	}

	/**
	 * Returns the gateway that acts.
	 * @return the index, or a random one if none acts
	 */
	int holder() {
		return IntStream.range(0, this.nodes.size())
			.filter((i) -> this.nodes.get(i).mayAct())
			.findFirst()
			.orElseGet(() -> this.random.nextInt(this.nodes.size()));
	}

	/**
	 * Returns the windows that were not reported in time.
	 * @param fromMillis the start of the first window
	 * @param untilMillis the time by which the reports are due
	 * @return the indices
	 */
	Set<Long> missed(long fromMillis, long untilMillis) {
		Set<Long> missed = new HashSet<>();
		long first = (EPOCH_MILLIS + fromMillis) / WINDOW_MILLIS + 1;
		long last = (EPOCH_MILLIS + untilMillis - DUE_MILLIS) / WINDOW_MILLIS - 1;
		for (long window = first; window <= last; window++) {
			if (!this.platform.accepted.containsKey(window)) {
				missed.add(window);
			}
		}
		return missed;
	}

	private static GatewaySettings settings(String name) {
		InetSocketAddress unused = new InetSocketAddress("127.0.0.1", 1);
		return new GatewaySettings(name, "a", List.of("a"), unused, unused, "/ready", unused, unused, unused, false,
				false, new GatewaySettings.Bounds(3_000, 100, 0.2, 64, 10, 8_000, 0, WINDOW_MILLIS, 2_000, 1_200, 0.5));
	}

	/** One gateway, whichever of its processes runs. */
	final class Node {

		private final int index;

		private Process process;

		/** Tasks of the control thread that wait until it resumes. */
		private final Deque<Runnable> waiting = new ArrayDeque<>();

		private boolean paused;

		boolean storeCut;

		boolean peersCut;

		/** By how much its wall clock is ahead, in milliseconds. */
		long clockAheadMillis;

		private Node(int index) {
			this.index = index;
			this.clockAheadMillis = DutyFleet.this.random.nextInt(400) - 200;
		}

		private String name() {
			return "gateway-" + this.index;
		}

		void start() {
			this.waiting.clear();
			this.paused = false;
			this.process = new Process(this);
		}

		void kill(long downMillis) {
			Process killed = this.process;
			killed.ended = true;
			DutyFleet.this.time.after(downMillis, () -> {
				if (this.process == killed) {
					start();
				}
			});
		}

		void pause(long millis) {
			this.paused = true;
			Process pausedProcess = this.process;
			DutyFleet.this.time.after(millis, () -> {
				if (this.process == pausedProcess) {
					this.paused = false;
					while (!this.waiting.isEmpty()) {
						this.waiting.removeFirst().run();
					}
				}
			});
		}

		private boolean mayAct() {
			return !this.process.ended && !this.paused && this.process.lease.mayAct(this.process.nanos());
		}

	}

	/** One start of a gateway. */
	private final class Process {

		private final Node node;

		private final int start = DutyFleet.this.random.nextInt();

		private final StoreGenerations store;

		private final DutyLease lease;

		private final UsageDuty usage;

		/** The calls of the windows that are not closed yet. */
		private final TreeMap<Long, Long> calls = new TreeMap<>();

		private boolean ended;

		private Process(Node node) {
			this.node = node;
			this.store = new StoreGenerations(DutyFleet.this.store.access(() -> !node.storeCut && !this.ended));
			ProcessClock clock = new ProcessClock(this::nanos, this::epochMillis);
			this.lease = new DutyLease(this.store, settings(node.name()), this.start, this::control, clock);
			this.usage = new UsageDuty(this.store, new Calls(node), settings(node.name()), this::control, this.lease,
					clock);
			every(TICK_MILLIS, this::tick);
			every(reportMillis(), this::report);
			if (node.index < READERS) {
				every(POLL_MILLIS, this::poll);
			}
		}

		private void every(long millis, Runnable action) {
			DutyFleet.this.time.after(1 + DutyFleet.this.random.nextInt((int) millis), () -> repeat(millis, action));
		}

		private void repeat(long millis, Runnable action) {
			if (!this.ended) {
				if (!this.node.paused) {
					action.run();
				}
				DutyFleet.this.time.after(millis, () -> repeat(millis, action));
			}
		}

		private long nanos() {
			return DutyFleet.this.time.nowMillis() * NANOS_PER_MILLI;
		}

		private long epochMillis() {
			return EPOCH_MILLIS + DutyFleet.this.time.nowMillis() + this.node.clockAheadMillis;
		}

		private void control(Runnable task) {
			if (this.ended) {
				return;
			}
			if (this.node.paused) {
				this.node.waiting.addLast(task);
			}
			else {
				task.run();
			}
		}

		private void tick() {
			long epochMillis = epochMillis();
			long current = epochMillis / WINDOW_MILLIS;
			int begun = DutyFleet.this.random.nextInt(4);
			this.calls.merge(current, (long) begun, Long::sum);
			DutyFleet.this.truth.merge(current, (long) begun, Long::sum);
			this.lease.updateGatewayCount(DutyFleet.this.nodes.size());
			this.lease.tick(nanos());
			List<Window> closed = new ArrayList<>();
			while (this.calls.firstKey() < current) {
				Map.Entry<Long, Long> window = this.calls.pollFirstEntry();
				closed.add(new Window(window.getKey(), Map.of("o", window.getValue())));
			}
			this.usage.addClosedWindows(closed, this.start);
			this.usage.tick(epochMillis);
			if (this.lease.mayAct(nanos())) {
				this.usage.act(epochMillis, Set.of("o"));
			}
		}

		// The gateways that read the tables learn of a restore by themselves.
		private void poll() {
			this.store.read(new RowStore.Range("servers", "", "~")).subscribe((_) -> {
			}, (_) -> {
			});
		}

		private void report() {
			long window = epochMillis() / WINDOW_MILLIS;
			Map<String, Long> counts = Map.of("o", this.calls.getOrDefault(window, 0L));
			Report report = new Report(UsageDuty.processName(this.node.name(), this.start), window, counts,
					this.usage.rowsToHandOver(), this.usage.takeSumsToSend(), this.lease.mayAct(nanos()),
					(this.node.index < READERS) ? this.store.newest() : -1);
			if (this.node.peersCut) {
				return;
			}
			for (Node other : DutyFleet.this.nodes) {
				if (other != this.node && !other.peersCut && !other.process.ended) {
					Process receiver = other.process;
					receiver.control(() -> receiver.receive(report));
				}
			}
		}

		private void receive(Report report) {
			this.store.observe(report.generation);
			if (report.acts) {
				this.lease.heldElsewhere(nanos());
			}
			this.usage.receiveCurrentCounts(report.window, report.process, report.counts);
			report.rows.forEach((row) -> this.usage.receiveUnwritten(row.window(), row.name(), row.counts()));
			if (DutyFleet.this.sumsAreSent) {
				report.sums.forEach((sum) -> this.usage.receiveSum(sum.window(), RowJson.write(sum.counts())));
			}
		}

	}

	private record Report(String process, long window, Map<String, Long> counts, List<UsageRow> rows,
			List<UsageSums.Sum> sums, boolean acts, long generation) {
	}

	/** The calls of one gateway to the platform, which may arrive late. */
	private final class Calls implements Duties {

		private static final double LATE_SHARE = 0.05;

		private static final int MAX_LATE_MILLIS = 6_000;

		private final Node node;

		private Calls(Node node) {
			this.node = node;
		}

		@Override
		public Mono<Void> reportUsage(long fence, long window, Map<String, Long> counts) {
			boolean late = DutyFleet.this.random.nextDouble() < LATE_SHARE;
			long delay = late ? 1_000 + DutyFleet.this.random.nextInt(MAX_LATE_MILLIS) : 5;
			DutyFleet.this.platform.sent(this.node.index, fence);
			return Mono.create((sink) -> {
				DutyFleet.this.time.after(delay, () -> {
					boolean accepted = DutyFleet.this.platform.accept(this.node.index, fence, window, counts);
					if (accepted) {
						sink.success();
					}
					else {
						sink.error(StoreException.of(Reason.FENCED, Verdict.notRun(), "fence"));
					}
				});
				DutyFleet.this.time.after(1_500,
						() -> sink.error(StoreException.of(Reason.UNREACHABLE, Verdict.mayHaveRun(), "no response")));
			});
		}

		@Override
		public Mono<Void> resize(long fence, PoolSize size) {
			return Mono.empty();
		}

	}

	/** What the platform accepts, and the rules that are broken. */
	final class Platform {

		private final Map<Long, Map<String, Long>> accepted = new HashMap<>();

		private final Map<Long, Integer> holders = new HashMap<>();

		private final Deque<Act> acts = new ArrayDeque<>();

		final Set<Long> reportedTwice = new HashSet<>();

		final Set<Long> sharedFences = new HashSet<>();

		int alternations;

		private long highestFence;

		private void sent(int gateway, long fence) {
			if (this.holders.computeIfAbsent(fence, (_) -> gateway) != gateway) {
				this.sharedFences.add(fence);
			}
		}

		private boolean accept(int gateway, long fence, long window, Map<String, Long> counts) {
			if (fence < this.highestFence) {
				return false;
			}
			this.highestFence = fence;
			Map<String, Long> before = this.accepted.putIfAbsent(window, Map.copyOf(counts));
			if (before != null && !before.equals(counts)) {
				this.reportedTwice.add(window);
			}
			recordAct(new Act(gateway, DutyFleet.this.time.nowMillis()));
			return true;
		}

		// Counts holders that act in the order A, B, A.
		private void recordAct(Act act) {
			this.acts.removeIf((earlier) -> act.atMillis - earlier.atMillis > LEASE_MILLIS);
			boolean other = false;
			for (Act earlier : List.copyOf(this.acts).reversed()) {
				other |= earlier.gateway != act.gateway;
				if (other && earlier.gateway == act.gateway) {
					this.alternations++;
					break;
				}
			}
			this.acts.addLast(act);
		}

		/**
		 * Returns the windows whose accepted counts differ by more than a share from the
		 * calls that began in them.
		 * @param share the share
		 * @return the number of windows
		 */
		long inaccurate(double share) {
			return this.accepted.entrySet().stream().filter((entry) -> {
				long began = DutyFleet.this.truth.getOrDefault(entry.getKey(), 0L);
				return Math.abs(began - entry.getValue().getOrDefault("o", 0L)) > share * began;
			}).count();
		}

	}

	private record Act(int gateway, long atMillis) {
	}

}
