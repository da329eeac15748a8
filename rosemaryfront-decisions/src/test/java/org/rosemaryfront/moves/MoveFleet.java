package org.rosemaryfront.moves;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.dispatch.NewRun;
import org.rosemaryfront.dispatch.RetryBudget;
import org.rosemaryfront.moves.CopyAnswer.Copied;
import org.rosemaryfront.moves.CopyAnswer.Failed;
import org.rosemaryfront.moves.CopyAnswer.NoRoom;
import org.rosemaryfront.moves.CopyAnswer.NoRun;
import org.rosemaryfront.moves.MoveStep.Continue;
import org.rosemaryfront.routes.ServiceSpec.EngineSpec;

/**
 * Servers of which a third leaves, and the gateways of their streams, in virtual time.
 */
final class MoveFleet {

	static final int GAP_MILLIS = 500;

	private static final int NOTICE_MILLIS = 2_000;

	private static final int TICK_MILLIS = 50;

	private static final int REPORT_MILLIS = 300;

	private static final int ROUND_TRIP_MILLIS = 6;

	/** After which a connection to a server out of reach fails. */
	private static final int CONNECT_MILLIS = 500;

	private static final int MILLIS_PER_TOKEN = 8;

	private static final int PROMPT_TOKENS = 9_190;

	private static final int MAX_RESPONSE_TOKENS = 600;

	/** The retries that all gateways may make in the window of the retry budget. */
	static final long RETRIES = 784;

	/** Calls of all gateways in the window of the retry budget. */
	private static final int CALLS = 3_000;

	private final Random random;

	private final EngineSpec engine;

	private final Faults faults;

	private final Targets targets;

	/** Draws what happens to targets, so that it changes no other draw. */
	private final Random fates;

	private final List<Server> servers = new ArrayList<>();

	private final List<Gateway> gateways = new ArrayList<>();

	private final List<Stream> streams = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private List<MoveTarget> reported = List.of();

	private long now;

	private long lastEvent;

	MoveFleet(Load load, EngineSpec engine, Faults faults, Targets targets, long seed) {
		this.random = new Random(seed);
		this.fates = new Random(~seed);
		this.targets = targets;
		this.engine = engine;
		this.faults = faults;
		IntStream.range(0, load.gateways).forEach((_) -> this.gateways.add(new Gateway(load)));
		for (int i = 0; i < load.servers; i++) {
			boolean leaves = load.wholeZone ? i < load.servers / 3 : i % 3 == 0;
			String zone = "abc".substring(load.wholeZone ? 3 * i / load.servers : i / 3 % 3).substring(0, 1);
			this.servers.add(new Server(registered("s" + i, zone, leaves)));
			for (int j = 0; j < load.utilisation * this.engine.slots(); j++) {
				this.streams.add(new Stream("c" + i + "-" + j, this.servers.get(i)));
			}
		}
	}

	private BackendServer registered(String id, String zone, boolean leaving) {
		return new BackendServer(id, 1, "llm", "v1", "127.0.0.1:1", zone, this.engine.slots(), leaving, true, 0);
	}

	/** Plays the notice and what follows until all streams have ended. */
	Outcome run() {
		this.servers.forEach(Server::drawFate);
		for (this.now = 0; this.now <= 2L * MAX_RESPONSE_TOKENS * MILLIS_PER_TOKEN; this.now++) {
			while (!this.events.isEmpty() && this.events.peek().millis <= this.now) {
				this.events.poll().action.run();
			}
			if (this.now % REPORT_MILLIS == 0) {
				this.reported = this.servers.stream().map(Server::report).toList();
			}
			this.gateways.forEach(Gateway::tick);
			this.streams.forEach(Stream::advance);
		}
		List<Stream> affected = this.streams.stream().filter((stream) -> stream.first.leaves).toList();
		long lost = affected.stream().filter((stream) -> stream.lost).count();
		long inTime = affected.stream().filter((stream) -> !stream.lost && stream.pauseMillis <= GAP_MILLIS).count();
		long moved = affected.stream().filter((stream) -> stream.at != stream.first).count();
		long twice = this.streams.stream().filter((stream) -> stream.ranTwice).count();
		return new Outcome(affected.size(), moved, lost, inTime, twice, copiesLeft(),
				affected.stream().filter((stream) -> stream.lost).mapToInt(Stream::urgent).sum());
	}

	// Those of lost streams are freed by the servers after some time.
	private long copiesLeft() {
		return this.streams.stream().filter((stream) -> !stream.lost).mapToLong((stream) -> stream.copies.size()).sum();
	}

	private Server server(String id) {
		return this.servers.get(Integer.parseInt(id.substring(1)));
	}

	private void after(double millis, Runnable action) {
		this.events.add(new Event(this.now + Math.round(Math.ceil(millis)), this.lastEvent++, action));
	}

	private long nanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.now);
	}

	record Load(int gateways, int servers, double utilisation, boolean wholeZone, boolean budget) {
	}

	/**
	 * The share of copies that targets refuse, that are answered late, whose answers are
	 * lost, and whose answers come twice.
	 */
	record Faults(double refused, double late, double lost, double twice) {

		static final Faults NONE = new Faults(0, 0, 0, 0);

	}

	/**
	 * What happens to targets.
	 *
	 * @param unreachable the share of servers to which no gateway gets a connection
	 * @param leaving the share of servers that begin to leave during the notice of the
	 * others
	 * @param refusing the share of continued runs that a target does not run
	 */
	record Targets(double unreachable, double leaving, double refusing) {

		static final Targets SOUND = new Targets(0, 0, 0);

	}

	record Outcome(int streams, long moved, long lost, long inTime, long ranTwice, long copiesLeft, int urgentLost) {

		double lostShare() {
			return (double) this.lost / this.streams;
		}

		double inTimeShare() {
			return (double) this.inTime / this.streams;
		}

	}

	private record Event(long millis, long number, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int order = Long.compare(this.millis, other.millis);
			return (order != 0) ? order : Long.compare(this.number, other.number);
		}

	}

	private final class Server {

		private BackendServer server;

		/** Whether it leaves from the start on. */
		private final boolean leaves;

		private long leavesMillis;

		private boolean unreachable;

		private int slotsUsed;

		private long tokensUsed;

		private double linkFreeMillis;

		private Server(BackendServer server) {
			this.server = server;
			this.leaves = server.leaving();
		}

		private void drawFate() {
			Targets drawn = MoveFleet.this.targets;
			if (this.leaves) {
				return;
			}
			this.unreachable = MoveFleet.this.fates.nextDouble() < drawn.unreachable;
			if (MoveFleet.this.fates.nextDouble() < drawn.leaving) {
				after(MoveFleet.this.fates.nextInt(NOTICE_MILLIS), this::leave);
			}
		}

		private void leave() {
			this.server = registered(this.server.id(), this.server.zone(), true);
			this.leavesMillis = MoveFleet.this.now;
		}

		private boolean isGone() {
			return this.server.leaving() && MoveFleet.this.now >= this.leavesMillis + NOTICE_MILLIS;
		}

		private boolean hasRoom() {
			return this.slotsUsed < this.server.slots()
					&& MoveFleet.this.engine.kvCacheTokens() - this.tokensUsed >= PROMPT_TOKENS + MAX_RESPONSE_TOKENS;
		}

		private void use(int slots) {
			this.slotsUsed += slots;
			this.tokensUsed += (long) slots * (PROMPT_TOKENS + MAX_RESPONSE_TOKENS);
		}

		private MoveTarget report() {
			return new MoveTarget(this.server, this.server.slots() - this.slotsUsed,
					MoveFleet.this.engine.kvCacheTokens() - this.tokensUsed);
		}

	}

	private final class Stream {

		private final String call;

		private final Server first;

		private final int priority;

		private final int length;

		private Server at;

		/** The server of the run as its gateway has it. */
		private Server sentTo;

		/** Whether an event came from there. */
		private boolean heard = true;

		private double made;

		private boolean running = true;

		private long stoppedMillis;

		private long pauseMillis;

		private boolean lost;

		private boolean ranTwice;

		/** The servers with copies, and the tokens in them. */
		private final Map<Server, Double> copies = new HashMap<>();

		private Stream(String call, Server first) {
			this.call = call;
			this.first = first;
			this.at = first;
			this.sentTo = first;
			this.priority = MoveFleet.this.random.nextInt(3);
			this.length = (int) (MAX_RESPONSE_TOKENS * (0.3 + 0.7 * MoveFleet.this.random.nextDouble()));
			this.made = this.length * MoveFleet.this.random.nextDouble();
			first.use(1);
			Gateway gateway = MoveFleet.this.gateways
				.get(MoveFleet.this.random.nextInt(MoveFleet.this.gateways.size()));
			gateway.streams.add(this);
		}

		private int urgent() {
			return (this.priority == 0) ? 1 : 0;
		}

		private RunState state() {
			return new RunState(this.call, this.priority, PROMPT_TOKENS, (long) this.made,
					OptionalLong.of(MAX_RESPONSE_TOKENS), MILLIS_PER_TOKEN, GAP_MILLIS, false);
		}

		private boolean hasEnded() {
			return this.made >= this.length;
		}

		private void advance() {
			if (this.lost || hasEnded()) {
				return;
			}
			if (this.at.isGone()) {
				this.lost = true;
			}
			else if (this.running) {
				this.made += 1.0 / MILLIS_PER_TOKEN;
				this.heard |= this.at == this.sentTo;
				if (hasEnded()) {
					this.at.use(-1);
				}
			}
		}

		private void stop() {
			this.running = false;
			this.stoppedMillis = MoveFleet.this.now;
		}

		private void continueAt(Server server) {
			this.ranTwice |= this.running;
			if (server != this.at) {
				this.at.use(-1);
				this.copies.remove(server);
			}
			this.at = server;
			this.running = true;
			this.pauseMillis = Math.max(this.pauseMillis, MoveFleet.this.now - this.stoppedMillis + MILLIS_PER_TOKEN);
		}

		private void giveUp() {
			this.lost = true;
			this.at.use(-1);
		}

		// A server reads the request from its beginning, although it has run.
		private void beginAnew() {
			this.ranTwice = true;
			this.running = true;
			this.heard = true;
		}

		private void freeCopy(MoveStep.Drop drop) {
			Server server = server(drop.handle());
			if (this.copies.remove(server) != null) {
				server.use(-1);
			}
		}

	}

	private final class Gateway {

		private final MoveTable moves = MoveTable.empty();

		private final List<Stream> streams = new ArrayList<>();

		private final long offset = MoveFleet.this.random.nextInt(TICK_MILLIS);

		private final RetryBudget budget = new RetryBudget(0.2, 184, 10_000, -20_000_000_000L);

		private final boolean limited;

		private Gateway(Load load) {
			this.limited = load.budget;
			this.budget.setProcessCount(load.gateways);
			IntStream.range(0, CALLS / load.gateways).forEach((_) -> this.budget.recordFirstAttempt("llm", 0));
		}

		private void tick() {
			if (MoveFleet.this.now % TICK_MILLIS != this.offset) {
				return;
			}
			this.moves.expire(nanos()).forEach((call, step) -> follow(find(call), step));
			this.streams.stream()
				.filter((stream) -> stream.hasEnded() || stream.lost)
				.forEach((stream) -> this.moves.ended(stream.call).ifPresent(stream::freeCopy));
			MoveFleet.this.servers.stream()
				.filter((server) -> server.server.leaving() && !server.isGone())
				.forEach((server) -> decide(server));
		}

		private void decide(Server source) {
			List<RunState> runs = this.streams.stream()
				.filter((stream) -> stream.sentTo == source && stream.heard && stream.running)
				.filter((stream) -> !stream.lost && !stream.hasEnded())
				.peek((stream) -> this.moves.arrived(stream.call))
				.map(Stream::state)
				.toList();
			LeavingServer leaving = new LeavingServer(source.server, TimeUnit.MILLISECONDS.toNanos(source.leavesMillis),
					TimeUnit.MILLISECONDS.toNanos(source.leavesMillis + NOTICE_MILLIS), source.slotsUsed);
			MovePlanner.of(MoveFleet.this.engine, this.moves, this::takeRetry)
				.plan(leaving, runs, MoveFleet.this.reported, nanos())
				.forEach((planned) -> act(find(planned.run().call()), planned));
		}

		private boolean takeRetry() {
			return !this.limited || this.budget.tryAcquire("llm", nanos());
		}

		private Stream find(String call) {
			return this.streams.stream().filter((stream) -> stream.call.equals(call)).findFirst().orElseThrow();
		}

		private void act(Stream stream, MovePlanner.Planned planned) {
			switch (planned.decision()) {
				case MoveDecision.Stay _ -> {
				}
				case MoveDecision.Copy copy -> {
					MoveTable.Request request = this.moves.copying(planned.run(), stream.sentTo.server, copy.target(),
							copy.transfer());
					request.superseded().ifPresent(stream::freeCopy);
					after(ROUND_TRIP_MILLIS / 2.0, () -> copy(stream, copy.target(), request.attempt(), false));
				}
				case MoveDecision.Switch last -> {
					long attempt = this.moves.switching(stream.call, last.transfer());
					after(ROUND_TRIP_MILLIS / 2.0, () -> copy(stream, last.target(), attempt, true));
				}
				case MoveDecision.Abandon _ -> this.moves.abandon(stream.call).ifPresent(stream::freeCopy);
			}
		}

		private void copy(Stream stream, BackendServer to, long attempt, boolean last) {
			Server target = server(to.id());
			if (stream.hasEnded() || stream.lost) {
				answer(stream, attempt, new NoRun());
				return;
			}
			if (last) {
				stream.stop();
			}
			boolean known = stream.copies.containsKey(target);
			boolean refused = MoveFleet.this.random.nextDouble() < MoveFleet.this.faults.refused;
			if (!known && (refused || !target.hasRoom())) {
				answer(stream, attempt, new NoRoom(Optional.empty()));
				return;
			}
			if (!known) {
				stream.copies.put(target, 0.0);
				target.use(1);
			}
			transfer(stream, target, attempt);
		}

		private void transfer(Stream stream, Server target, long attempt) {
			double tokens = PROMPT_TOKENS + stream.made;
			boolean sameZone = target.server.zone().equals(stream.at.server.zone());
			double millis = MoveFleet.this.engine.transferMillis(Math.round(tokens - stream.copies.get(target)))
					* (sameZone ? 1 : 2);
			stream.copies.put(target, tokens);
			double setup = MoveFleet.this.engine.transferMillis(0);
			double begins = Math.max(MoveFleet.this.now, Math.max(target.linkFreeMillis, stream.at.linkFreeMillis));
			double ends = begins + millis - setup;
			target.linkFreeMillis = ends;
			stream.at.linkFreeMillis = ends;
			after(ends + setup - MoveFleet.this.now, () -> transferred(stream, target, attempt));
		}

		private void transferred(Stream stream, Server target, long attempt) {
			if (stream.lost) {
				answer(stream, attempt, new Failed("reset"));
				return;
			}
			double draw = MoveFleet.this.random.nextDouble();
			CopyAnswer copied = new Copied(target.server.id(), (long) stream.made);
			Faults faults = MoveFleet.this.faults;
			if (draw < faults.lost) {
				return;
			}
			if (draw < faults.lost + faults.late) {
				after(NOTICE_MILLIS / 2.0, () -> answer(stream, attempt, copied));
				return;
			}
			answer(stream, attempt, copied);
			if (draw < faults.lost + faults.late + faults.twice) {
				after(TICK_MILLIS, () -> answer(stream, attempt, copied));
			}
		}

		private void answer(Stream stream, long attempt, CopyAnswer answer) {
			after(ROUND_TRIP_MILLIS / 2.0, () -> answered(stream, attempt, answer));
		}

		private void answered(Stream stream, long attempt, CopyAnswer answer) {
			follow(stream, this.moves.answered(stream.call, attempt, stream.sentTo.server, answer, nanos()));
		}

		private void follow(Stream stream, MoveStep step) {
			switch (step) {
				case Continue next -> sendOn(stream, next);
				case MoveStep.Drop drop -> stream.freeCopy(drop);
				case MoveStep.None _, MoveStep.NotStopped _, MoveStep.Unknown _, MoveStep.Lost _ -> {
				}
			}
		}

		private void sendOn(Stream stream, Continue next) {
			Server server = server(next.server().id());
			stream.sentTo = server;
			stream.heard = false;
			if (server.unreachable) {
				after(CONNECT_MILLIS, () -> failed(stream, server));
			}
			else if (server != stream.at && MoveFleet.this.fates.nextDouble() < MoveFleet.this.targets.refusing) {
				after(ROUND_TRIP_MILLIS, () -> failed(stream, server));
			}
			else {
				after(ROUND_TRIP_MILLIS / 2.0, () -> continueRun(stream, server));
			}
		}

		private void continueRun(Stream stream, Server server) {
			if (server.isGone()) {
				failed(stream, server);
			}
			else if (!stream.lost) {
				stream.continueAt(server);
			}
		}

		private void failed(Stream stream, Server server) {
			if (stream.lost) {
				return;
			}
			switch (this.moves.refused(stream.call, server.server)) {
				case Continue back -> sendOn(stream, back);
				case MoveStep.Lost _, MoveStep.None _, MoveStep.NotStopped _, MoveStep.Drop _, MoveStep.Unknown _ -> {
					if (new NewRun(true, true, false, true).obstacle().isPresent()) {
						stream.giveUp();
					}
					else {
						stream.beginAnew();
					}
				}
			}
		}

	}

}
