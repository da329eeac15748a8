package org.rosemaryfront.dispatch;

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

import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.dispatch.Dispatcher.CallRequirements;
import org.rosemaryfront.dispatch.Dispatcher.Choice;
import org.rosemaryfront.dispatch.NoticeReports.Notice;
import org.rosemaryfront.fleet.Fleet;
import org.rosemaryfront.fleet.VirtualFleet;
import org.rosemaryfront.fleet.VirtualFleet.Identity;

/**
 * Gateways in virtual time whose store is silent, before servers that leave or reject all
 * requests for a while and say so in their responses only.
 */
final class NoticeFleet {

	static final int BACKOFF_MILLIS = 3_000;

	private static final int SLOTS = 64;

	static final int RUN_MILLIS = 60;

	private static final int REJECTION_MILLIS = 4;

	private final Random random;

	private final boolean told;

	private final int servers;

	private final VirtualFleet<Report> fleet;

	private final Map<Integer, Node> nodes = new HashMap<>();

	private final Set<Integer> paused = new HashSet<>();

	private final Set<Integer> leaving = new HashSet<>();

	private final Set<Integer> rejecting = new HashSet<>();

	private final PriorityQueue<Response> responses = new PriorityQueue<>();

	private final List<Arrival> arrivals = new ArrayList<>();

	private double callsPerMilli;

	private int served;

	private int rejected;

	private int refused;

	/**
	 * Starts gateways.
	 * @param count the number of gateways
	 * @param servers the number of servers
	 * @param told whether gateways report to one another what servers said; otherwise
	 * each learns it from its own responses
	 * @param seed the seed of all random numbers
	 */
	NoticeFleet(int count, int servers, boolean told, long seed) {
		this.random = new Random(seed);
		this.told = told;
		this.servers = servers;
		this.fleet = new VirtualFleet<>(count, 0, this.random, Node::new);
	}

	void callPerSecond(double rate) {
		this.callsPerMilli = rate / 1_000;
	}

	void run(long millis) {
		this.fleet.run(millis, this::step);
	}

	void leave(Set<Integer> indexes) {
		this.leaving.addAll(indexes);
	}

	void reject(Set<Integer> indexes) {
		this.rejecting.clear();
		this.rejecting.addAll(indexes);
	}

	void cutLinks(double fraction) {
		this.fleet.cutLinks(this.random, fraction);
	}

	void pause(int gateway, boolean pause) {
		this.fleet.pause(gateway, pause);
		if (pause) {
			this.paused.add(gateway);
		}
		else {
			this.paused.remove(gateway);
		}
	}

	void restart(int gateway) {
		this.fleet.restart(gateway);
	}

	long nowMillis() {
		return this.fleet.nowMillis();
	}

	int served() {
		return this.served;
	}

	int rejected() {
		return this.rejected;
	}

	int refused() {
		return this.refused;
	}

	/**
	 * Returns the requests that reached servers that are leaving.
	 * @return the arrivals
	 */
	List<Arrival> arrivalsAtLeaving() {
		return this.arrivals.stream().filter((arrival) -> this.leaving.contains(arrival.server)).toList();
	}

	/**
	 * Returns the most requests that reached a server from a gateway between half a
	 * second after a rejection with a backoff and the end of that backoff.
	 * @return the number
	 */
	int mostWithinBackoff() {
		Map<List<Integer>, List<Arrival>> byLink = new HashMap<>();
		this.arrivals.forEach((arrival) -> byLink
			.computeIfAbsent(List.of(arrival.gateway, arrival.start, arrival.server), (_) -> new ArrayList<>())
			.add(arrival));
		int most = 0;
		for (List<Arrival> link : byLink.values()) {
			for (Arrival rejection : link) {
				long from = rejection.atMillis + REJECTION_MILLIS;
				long within = link.stream()
					.filter((arrival) -> rejection.rejected && arrival.atMillis > from + 500
							&& arrival.atMillis < from + BACKOFF_MILLIS)
					.count();
				most = Math.max(most, (int) within);
			}
		}
		return most;
	}

	private void step() {
		while (!this.responses.isEmpty() && this.responses.peek().atMillis <= nowMillis()) {
			respond(this.responses.poll());
		}
		int calls = (int) this.callsPerMilli + ((this.random.nextDouble() < this.callsPerMilli % 1) ? 1 : 0);
		for (int i = 0; i < calls; i++) {
			int gateway = this.random.nextInt(this.fleet.count());
			if (!this.paused.contains(gateway)) {
				call(gateway, this.nodes.get(gateway));
			}
		}
	}

	private void call(int gateway, Node node) {
		if (!(node.dispatcher.choose(requirements(), Set.of(), nanos()) instanceof Choice.Chosen chosen)) {
			this.refused++;
			return;
		}
		int server = Integer.parseInt(chosen.server().id().substring(1));
		node.table.recordCallSent(chosen.server().incarnation(), 0);
		node.table.notices().recordSent(chosen.server().incarnation(), nanos());
		boolean rejects = this.rejecting.contains(server);
		this.arrivals.add(new Arrival(gateway, node.start, server, nowMillis(), rejects));
		this.responses.add(new Response(nowMillis() + (rejects ? REJECTION_MILLIS : RUN_MILLIS), node, server, rejects,
				this.leaving.contains(server)));
	}

	private void respond(Response response) {
		Incarnation server = server(response.server).incarnation();
		response.node.table.recordCallCancelled(server);
		ServerNotices notices = response.node.table.notices();
		if (response.leaving && notices.recordLeaving(server)) {
			response.node.table.recordLeaving(server);
			response.node.reports.add(server, true, nanos());
		}
		if (response.rejected) {
			this.rejected++;
			long end = nanos() + TimeUnit.MILLISECONDS.toNanos(BACKOFF_MILLIS);
			notices.recordBackoff(server, end);
			response.node.reports.add(server, false, end);
		}
		else {
			this.served++;
			notices.recordResponse(server, nanos());
		}
	}

	private long nanos() {
		return TimeUnit.MILLISECONDS.toNanos(nowMillis());
	}

	private static CallRequirements requirements() {
		return new CallRequirements("app", PromptPrefix.none(), Optional.empty(), 0, 500, 0);
	}

	private static BackendServer server(int index) {
		return new BackendServer("s" + index, 0, "app", "v1", "127.0.0.1:1", "a", SLOTS, false, false, 0);
	}

	/**
	 * A request that reached a server.
	 *
	 * @param gateway the gateway that sent it
	 * @param start the start of that gateway
	 * @param server the server
	 * @param atMillis when it arrived
	 * @param rejected whether the server rejected it
	 */
	record Arrival(int gateway, int start, int server, long atMillis, boolean rejected) {
	}

	/** What a gateway reports: its calls at the servers, and what they said to it. */
	private record Report(Map<Incarnation, BackendUse> uses, List<Notice> notices) {
	}

	private record Response(long atMillis, Node node, int server, boolean rejected,
			boolean leaving) implements Comparable<Response> {

		@Override
		public int compareTo(Response other) {
			return Long.compare(this.atMillis, other.atMillis);
		}

	}

	/** A gateway. */
	private final class Node implements VirtualFleet.Process<Report> {

		private final int start;

		private final BackendTable table = new BackendTable();

		private final Dispatcher dispatcher = new Dispatcher(this.table, "a", () -> 0);

		private final NoticeReports reports = new NoticeReports();

		private Node(Identity identity, Fleet gateways) {
			this.start = identity.start();
			for (int i = 0; i < NoticeFleet.this.servers; i++) {
				this.table.recordExistingRegistration(server(i));
			}
			NoticeFleet.this.nodes.put(identity.index(), this);
		}

		@Override
		public Report report(int number, long nowNanos) {
			return new Report(this.table.ownUse(), NoticeFleet.this.told ? this.reports.take(nowNanos) : List.of());
		}

		@Override
		public void reportReceived(Identity sender, Report report, long nowNanos) {
			this.table.recordPeerUse("gateway-" + sender.index(), report.uses);
			for (Notice notice : report.notices) {
				if (notice.leaving()) {
					this.table.recordLeaving(notice.server());
				}
				if (notice.backoffNanos() > 0) {
					this.table.notices()
						.recordOtherBackoff(notice.server(), nowNanos, notice.backoffNanos(),
								NoticeFleet.this.random.nextDouble());
				}
			}
		}

		@Override
		public void tick(long nowNanos) {
		}

	}

}
