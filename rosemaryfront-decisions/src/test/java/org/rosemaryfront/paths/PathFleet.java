package org.rosemaryfront.paths;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.fleet.Fleet;
import org.rosemaryfront.fleet.VirtualFleet;
import org.rosemaryfront.fleet.VirtualFleet.Identity;
import org.rosemaryfront.paths.ServerPaths.Sign;

/**
 * Gateways in virtual time, some of which lose their links to all backend servers. An
 * attempt to connect takes the times of a real one; open connections are not modelled.
 */
final class PathFleet {

	private static final int ZONES = 3;

	private static final int SERVERS = 9;

	/** The time until another gateway is asked and the own attempt still runs. */
	private static final int CARRIER_DELAY_MILLIS = 100;

	private static final int CONNECT_TIMEOUT_MILLIS = 500;

	/** The time that a carrier takes to find that it does not reach the server. */
	private static final int CARRIER_TIMEOUT_MILLIS = 200;

	/** The time without an answer after which the next gateway is asked. */
	private static final int ANSWER_TIMEOUT_MILLIS = 250;

	private static final int ROUND_TRIP_MILLIS = 3;

	private static final int MAX_CARRIERS = 3;

	private static final int ATTEMPT_MILLIS = 500;

	/** The servers that a call is tried at while nothing was sent. */
	private static final int MAX_SERVERS = 3;

	private static final int PROBE_TICK_MILLIS = 250;

	private final Random random;

	private final boolean reported;

	private final VirtualFleet<Integer> fleet;

	private final Map<Integer, Node> nodes = new HashMap<>();

	private final Map<Integer, Sign> cuts = new HashMap<>();

	private final Set<Integer> paused = new HashSet<>();

	private final PriorityQueue<Later> later = new PriorityQueue<>();

	private final List<Outcome> outcomes = new ArrayList<>();

	private final Map<Integer, Integer> carried = new HashMap<>();

	private double callsPerMilli;

	/**
	 * Starts gateways.
	 * @param count the number of gateways
	 * @param reported whether gateways report how many servers they do not reach;
	 * otherwise each learns it from refusals
	 * @param seed the seed of all random numbers
	 */
	PathFleet(int count, boolean reported, long seed) {
		this.random = new Random(seed);
		this.reported = reported;
		this.fleet = new VirtualFleet<>(count, 0, this.random, Node::new);
	}

	void callPerSecond(double rate) {
		this.callsPerMilli = rate / 1_000;
	}

	void run(long millis) {
		this.fleet.run(millis, this::step);
	}

	// -- faults

	void cut(List<Integer> gateways, Sign sign) {
		gateways.forEach((gateway) -> this.cuts.put(gateway, sign));
	}

	void heal() {
		this.cuts.clear();
	}

	void restart(int gateway) {
		this.fleet.restart(gateway);
	}

	void pause(int gateway, boolean pause) {
		if (pause) {
			this.paused.add(gateway);
		}
		else {
			this.paused.remove(gateway);
		}
		this.fleet.pause(gateway, pause);
	}

	/**
	 * Returns the gateways of an availability zone.
	 * @param zone the number of the zone
	 * @return the gateways
	 */
	List<Integer> gatewaysOf(int zone) {
		return IntStream.range(0, this.fleet.count()).filter((gateway) -> gateway % ZONES == zone).boxed().toList();
	}

	// -- queries

	long nowMillis() {
		return this.fleet.nowMillis();
	}

	/**
	 * Returns the calls at cut gateways, or at the others, since a time.
	 * @param fromMillis the time
	 * @param atCut whether those at cut gateways are returned
	 * @return the outcomes
	 */
	List<Outcome> outcomes(long fromMillis, boolean atCut) {
		return this.outcomes.stream()
			.filter((outcome) -> outcome.atMillis >= fromMillis && outcome.atCut == atCut)
			.toList();
	}

	/**
	 * Returns how many calls the busiest carrier carried, relative to the mean of all
	 * gateways that were not cut.
	 * @return the ratio
	 */
	double carrierImbalance() {
		int total = this.carried.values().stream().mapToInt(Integer::intValue).sum();
		int most = this.carried.values().stream().mapToInt(Integer::intValue).max().orElse(0);
		int able = this.fleet.count() - this.cuts.size();
		return (total > 0) ? (double) most * able / total : 0;
	}

	void forgetCarried() {
		this.carried.clear();
	}

	int lostPaths() {
		return this.nodes.values().stream().mapToInt((node) -> node.paths.lostCount()).sum();
	}

	// -- time

	private long nanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	private void step() {
		while (!this.later.isEmpty() && this.later.peek().atMillis <= nowMillis()) {
			this.later.poll().task.run();
		}
		if (nowMillis() % PROBE_TICK_MILLIS == 0) {
			this.nodes.forEach((index, node) -> node.probe(index));
		}
		int calls = (int) this.callsPerMilli + ((this.random.nextDouble() < this.callsPerMilli % 1) ? 1 : 0);
		for (int i = 0; i < calls; i++) {
			int gateway = this.random.nextInt(this.fleet.count());
			if (!this.paused.contains(gateway)) {
				call(gateway);
			}
		}
	}

	private void call(int gateway) {
		Attempt attempt = new Attempt(gateway, this.nodes.get(gateway));
		int first = this.random.nextInt(SERVERS);
		for (int i = 0; i < MAX_SERVERS && !attempt.served; i++) {
			attempt.connect((first + i) % SERVERS);
		}
		this.outcomes.add(new Outcome(nowMillis(), this.cuts.containsKey(gateway), attempt.served, attempt.millis,
				attempt.asked));
	}

	private static Incarnation server(int index) {
		return new Incarnation("s" + index, 0);
	}

	/**
	 * What became of a call.
	 *
	 * @param atMillis when it came
	 * @param atCut whether its gateway was cut off from the servers
	 * @param served whether a connection was found
	 * @param millis the time until then
	 * @param asked the gateways that were asked to carry it
	 */
	record Outcome(long atMillis, boolean atCut, boolean served, long millis, int asked) {
	}

	private record Later(long atMillis, Runnable task) implements Comparable<Later> {

		@Override
		public int compareTo(Later other) {
			return Long.compare(this.atMillis, other.atMillis);
		}

	}

	/** The attempts of one call, one after the other. */
	private final class Attempt {

		private final int gateway;

		private final Node node;

		private boolean served;

		private long millis;

		private int asked;

		private Attempt(int gateway, Node node) {
			this.gateway = gateway;
			this.node = node;
		}

		private void connect(int server) {
			Optional<Sign> cut = Optional.ofNullable(PathFleet.this.cuts.get(this.gateway));
			boolean lost = this.node.paths.isLost(server(server));
			if (!lost && cut.isEmpty()) {
				this.millis += ROUND_TRIP_MILLIS;
				this.served = true;
				return;
			}
			long directMillis = lost ? 0 : cut.map(this::failureMillis).orElse(0);
			long askMillis = Math.min(directMillis, CARRIER_DELAY_MILLIS);
			long usedMillis = askCarriers(server, askMillis);
			this.millis += Math.max(usedMillis, this.served ? 0 : directMillis);
			if (this.served && !lost) {
				long startMillis = nowMillis();
				Sign sign = cut.orElseThrow();
				PathFleet.this.later.add(new Later(startMillis + directMillis, () -> this.node.paths
					.recordLost(server(server), sign, nanos(startMillis), nanos(nowMillis()))));
			}
		}

		private int failureMillis(Sign sign) {
			return (sign == Sign.SILENT) ? CONNECT_TIMEOUT_MILLIS : ROUND_TRIP_MILLIS;
		}

		private long askCarriers(int server, long fromMillis) {
			Set<String> tried = new HashSet<>();
			long usedMillis = fromMillis;
			while (!this.served && tried.size() < MAX_CARRIERS && (tried.isEmpty() || usedMillis < ATTEMPT_MILLIS)) {
				Optional<Carrier> carrier = this.node.carriers.choose("zone-" + server % ZONES, tried, (_) -> 0,
						nanos(nowMillis()));
				if (carrier.isEmpty()) {
					return usedMillis;
				}
				this.asked++;
				tried.add(carrier.get().gateway());
				usedMillis += answer(carrier.get(), server);
			}
			return usedMillis;
		}

		private long answer(Carrier carrier, int server) {
			int index = Integer.parseInt(carrier.address());
			if (PathFleet.this.paused.contains(index)) {
				this.node.carriers.recordFailure(carrier, nanos(nowMillis()));
				return ANSWER_TIMEOUT_MILLIS;
			}
			Sign cut = PathFleet.this.cuts.get(index);
			if (cut == null) {
				this.served = true;
				PathFleet.this.carried.merge(index, 1, Integer::sum);
				return ROUND_TRIP_MILLIS;
			}
			boolean known = PathFleet.this.nodes.get(index).paths.isLost(server(server));
			return (known || cut == Sign.REFUSED) ? ROUND_TRIP_MILLIS : CARRIER_TIMEOUT_MILLIS;
		}

	}

	/** A gateway; its report is the number of servers that it does not reach. */
	private final class Node implements VirtualFleet.Process<Integer> {

		private final Fleet gateways;

		private final ServerPaths paths = ServerPaths.allDirect();

		private final Carriers carriers;

		private final Map<Integer, Integer> outOfReach = new HashMap<>();

		private Node(Identity identity, Fleet gateways) {
			this.gateways = gateways;
			this.carriers = Carriers.none("zone-" + identity.index() % ZONES, PathFleet.this.random::nextDouble);
			PathFleet.this.nodes.put(identity.index(), this);
		}

		@Override
		public Integer report(int number, long nowNanos) {
			return PathFleet.this.reported ? this.paths.lostCount() : 0;
		}

		@Override
		public void reportReceived(Identity sender, Integer report, long nowNanos) {
			this.outOfReach.put(sender.index(), report);
		}

		@Override
		public void tick(long nowNanos) {
			this.gateways.timedOut(nowNanos);
			this.carriers.update(this.outOfReach.entrySet()
				.stream()
				.filter((entry) -> this.gateways.isLive("gateway-" + entry.getKey()))
				.map((entry) -> new Carrier("gateway-" + entry.getKey(), String.valueOf(entry.getKey()),
						"zone-" + entry.getKey() % ZONES, entry.getValue()))
				.toList());
		}

		private void probe(int index) {
			boolean reaches = !PathFleet.this.cuts.containsKey(index) && !PathFleet.this.paused.contains(index);
			this.paths.takeDueProbes(nanos(nowMillis())).forEach((server) -> {
				if (reaches) {
					this.paths.recordReached(server);
				}
			});
		}

	}

}
