package org.rosemaryfront.moves;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.moves.Move.State;
import org.rosemaryfront.moves.MoveDecision.Abandon;
import org.rosemaryfront.moves.MoveDecision.Copy;
import org.rosemaryfront.moves.MoveDecision.Reason;
import org.rosemaryfront.moves.MoveDecision.Stay;
import org.rosemaryfront.moves.MoveDecision.Switch;
import org.rosemaryfront.moves.MoveDecision.Transfer;
import org.rosemaryfront.routes.ServiceSpec.EngineSpec;

/**
 * Decides which runs of a leaving server move, when, and where to.
 *
 * <p>
 * A run that may last longer than its server is copied while it goes on. Then it stops,
 * what is new is copied, and it continues at the other server. The pause between its
 * events is the second transfer with those queued before it, and must not exceed what the
 * caller accepts.
 */
public final class MovePlanner {

	/**
	 * The longest time that copies of one gateway delay one another on the link of a
	 * server, relative to the pause that is still in time.
	 */
	private static final double MAX_QUEUE_FACTOR = 0.5;

	/**
	 * The part of the time in which a link can be used. A transfer needs two links at
	 * once, which leaves either idle at times.
	 */
	private static final double LINK_USE = 0.5;

	/** The time left for the last transfers and switches, in pauses still in time. */
	private static final double RESERVED_PAUSES = 2;

	/**
	 * The time between two copies of a run whose switch would take too long, relative to
	 * the pause that is still in time.
	 */
	private static final double COPY_AGAIN_FACTOR = 0.5;

	/** Servers that may fail to take over a run. */
	private static final int MAX_REFUSALS = 3;

	/**
	 * The time of a switch besides its transfer, in milliseconds: two requests and the
	 * first token.
	 */
	private static final double SWITCH_MILLIS = 30;

	/** Transfers to another availability zone take this many times longer. */
	private static final double OTHER_ZONE_FACTOR = 2;

	private final EngineSpec engine;

	private final MoveTable moves;

	private final BooleanSupplier retries;

	private MovePlanner(EngineSpec engine, MoveTable moves, BooleanSupplier retries) {
		this.engine = engine;
		this.moves = moves;
		this.retries = retries;
	}

	/**
	 * Creates a planner.
	 * @param engine the engines of the service
	 * @param moves the moves of this gateway
	 * @param retries takes a retry from the retry budget and returns whether there was
	 * one
	 * @return the planner
	 */
	public static MovePlanner of(EngineSpec engine, MoveTable moves, BooleanSupplier retries) {
		return new MovePlanner(engine, moves, retries);
	}

	/**
	 * Decides for all runs of this gateway at a leaving server.
	 * @param source the server
	 * @param runs the runs that have made an event
	 * @param targets the servers of the service with their room
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the decisions, the most urgent first; none if the engines cannot move runs
	 */
	public List<Planned> plan(LeavingServer source, List<RunState> runs, List<MoveTarget> targets, long nowNanos) {
		if (this.engine.moves().isEmpty()) {
			return List.of();
		}
		Round round = new Round(source, runs, MoveRoom.of(targets, this.moves), nowNanos);
		List<Planned> planned = new ArrayList<>();
		// Runs with a copy first, since further copies would delay their switch.
		runs.stream()
			.sorted(Comparator.comparing((RunState run) -> !hasCopy(run)).thenComparing(RunState.BY_URGENCY))
			.forEach((run) -> planned.add(new Planned(run, round.decide(run))));
		return planned;
	}

	private boolean hasCopy(RunState run) {
		return this.moves.find(run.call()).filter((move) -> move.state() == State.COPIED).isPresent();
	}

	/**
	 * A run with what to do about it.
	 *
	 * @param run the run
	 * @param decision the decision
	 */
	public record Planned(RunState run, MoveDecision decision) {
	}

	/** The decisions about one server at one time. */
	private final class Round {

		private final LeavingServer source;

		private final MoveRoom room;

		private final long nowNanos;

		private final double remainingMillis;

		/**
		 * How long the copies under way occupy the link of the source, in milliseconds.
		 */
		private double queuedMillis;

		/** Whether other gateways have runs at the source. */
		private final boolean shared;

		/** The order of the runs of all gateways, from 0 to 1, by call. */
		private final Map<String, Double> turns = new HashMap<>();

		private Round(LeavingServer source, List<RunState> runs, MoveRoom room, long nowNanos) {
			this.source = source;
			this.room = room;
			this.nowNanos = nowNanos;
			this.remainingMillis = source.remainingMillis(nowNanos);
			this.shared = source.runs() > runs.size();
			drawTurns(runs);
			MovePlanner.this.moves.moves((move) -> move.usesLink() && move.isAt(source.server()))
				.forEach((move) -> this.queuedMillis += move.transfer().millis());
		}

		// The gateways do not know the runs of one another, so that turns are random. The
		// most urgent of the own runs get the first ones.
		private void drawTurns(List<RunState> runs) {
			double[] draws = runs.stream()
				.mapToDouble((run) -> MoveRoom.uniform(run.call(), this.source.server()))
				.sorted()
				.toArray();
			List<RunState> ordered = runs.stream().sorted(RunState.BY_URGENCY).toList();
			for (int i = 0; i < draws.length; i++) {
				this.turns.put(ordered.get(i).call(), draws[i]);
			}
		}

		private MoveDecision decide(RunState run) {
			if (MovePlanner.this.moves.isOnItsWay(run.call())) {
				return new Stay();
			}
			Optional<Move> move = MovePlanner.this.moves.find(run.call())
				.filter((known) -> known.isAt(this.source.server()));
			if (move.isEmpty()) {
				return begin(run, Set.of(), MovePlanner.this.retries);
			}
			return switch (move.get().state()) {
				case COPYING, SWITCHING, MOVED, ARRIVED, ABANDONED -> new Stay();
				case COPIED -> proceed(run, move.get());
				// Its retry was taken with the first copy.
				case FAILED -> begin(run, move.get().refusedBy(), () -> true);
			};
		}

		private MoveDecision begin(RunState run, Set<String> refusedBy, BooleanSupplier retry) {
			boolean wanted = !run.endsWithin(this.remainingMillis) && refusedBy.size() < MAX_REFUSALS;
			Optional<BackendServer> target = wanted ? this.room.choose(run, this.source.server(), refusedBy)
					: Optional.empty();
			if (target.isEmpty() || !hasLink(run, target.get()) || !retry.getAsBoolean()) {
				return new Stay();
			}
			this.room.take(target.get(), run);
			return copy(run, target.get(), run.tokens());
		}

		private boolean hasLink(RunState run, BackendServer target) {
			double millis = transferMillis(run.tokens(), target);
			boolean fits = this.queuedMillis + millis + run.gapMillis() <= this.remainingMillis;
			boolean delaysOthers = this.queuedMillis > 0
					&& this.queuedMillis + millis > MAX_QUEUE_FACTOR * run.gapMillis();
			return fits && !delaysOthers && hasTurn(run, millis);
		}

		// The gateways spread the copies over the notice. If the link cannot carry all of
		// them in that time, some get no turn.
		private boolean hasTurn(RunState run, double millis) {
			if (!this.shared) {
				return true;
			}
			double reserved = Math.min(RESERVED_PAUSES * run.gapMillis(), this.source.noticeMillis() / 2);
			double usable = this.source.noticeMillis() - reserved;
			double turn = this.turns.get(run.call()) * Math.max(usable, this.source.runs() * millis / LINK_USE);
			return turn <= usable && turn <= this.source.noticeMillis() - this.remainingMillis;
		}

		private MoveDecision copy(RunState run, BackendServer target, long tokens) {
			return new Copy(target, transfer(run, target, tokens));
		}

		private Transfer transfer(RunState run, BackendServer target, long tokens) {
			double millis = transferMillis(tokens, target);
			this.queuedMillis += millis;
			return new Transfer(millis, this.nowNanos, expiresNanos(run, target));
		}

		// A run that has stopped can go on only from its copy unless it may be resumed.
		private Transfer lastTransfer(RunState run, BackendServer target, long tokens) {
			Transfer last = transfer(run, target, tokens);
			return run.resumable() ? last : new Transfer(last.millis(), last.requestedNanos(), this.source.goneNanos());
		}

		private MoveDecision proceed(RunState run, Move move) {
			BackendServer target = move.target();
			if (!this.room.hasServer(target, this.source.server())) {
				MoveDecision other = begin(run, Set.of(target.id()), () -> true);
				return (other instanceof Stay) ? new Abandon(Reason.TARGET_LOST) : other;
			}
			long newTokens = Math.max(0, run.tokens() - move.run().tokens());
			double last = transferMillis(newTokens, target) + SWITCH_MILLIS;
			if (last > this.remainingMillis) {
				return new Abandon(Reason.TOO_LATE);
			}
			double pause = Math.max(move.waitMillis(), this.queuedMillis) + last;
			boolean settled = move.copies() > 1 || !this.shared;
			boolean inTime = settled && pause <= Math.max(run.gapMillis(), SWITCH_MILLIS);
			boolean lastChance = this.remainingMillis < pause + run.gapMillis();
			if (inTime || lastChance) {
				return new Switch(target, lastTransfer(run, target, newTokens));
			}
			// A second copy is complete only behind the first ones of other gateways, and
			// its duration tells how long a switch would wait.
			boolean old = move.copyAgeMillis(this.nowNanos) >= COPY_AGAIN_FACTOR * run.gapMillis();
			return (!settled || old || last > run.gapMillis()) ? copy(run, target, newTokens) : new Stay();
		}

		// The copies of all runs of the source may be queued before this one, and the
		// answer may take as long as a pause.
		private long expiresNanos(RunState run, BackendServer target) {
			double millis = this.source.server().slots() * transferMillis(run.tokens(), target) + run.gapMillis();
			return this.nowNanos
					+ TimeUnit.MICROSECONDS.toNanos(Math.round(1_000 * Math.min(millis, this.remainingMillis)));
		}

		private double transferMillis(long tokens, BackendServer target) {
			boolean sameZone = target.zone().equals(this.source.server().zone());
			double millis = MovePlanner.this.engine.transferMillis(tokens) - MovePlanner.this.engine.transferMillis(0);
			return millis * (sameZone ? 1 : OTHER_ZONE_FACTOR);
		}

	}

}
