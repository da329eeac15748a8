package org.rosemaryfront.moves;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.moves.CopyAnswer.Copied;
import org.rosemaryfront.moves.CopyAnswer.Failed;
import org.rosemaryfront.moves.CopyAnswer.InProgress;
import org.rosemaryfront.moves.CopyAnswer.NoRoom;
import org.rosemaryfront.moves.CopyAnswer.NoRun;
import org.rosemaryfront.moves.Move.State;
import org.rosemaryfront.moves.MoveDecision.Transfer;
import org.rosemaryfront.moves.MoveStep.Continue;
import org.rosemaryfront.moves.MoveStep.Drop;
import org.rosemaryfront.moves.MoveStep.Lost;
import org.rosemaryfront.moves.MoveStep.None;
import org.rosemaryfront.moves.MoveStep.NotStopped;
import org.rosemaryfront.moves.MoveStep.Unknown;

/**
 * The runs that move, by call. Confined to one thread.
 *
 * <p>
 * Requests to servers are numbered, so that an answer that comes late or twice changes
 * nothing but is cleaned up after.
 */
public final class MoveTable {

	private final Map<String, Move> moves = new HashMap<>();

	private long lastAttempt;

	private MoveTable() {
	}

	/**
	 * Creates a table without moves.
	 * @return the table
	 */
	public static MoveTable empty() {
		return new MoveTable();
	}

	/**
	 * Returns the move of a call.
	 * @param call the identifier of the call
	 * @return the move, empty if the call was never moved
	 */
	public Optional<Move> find(String call) {
		return Optional.ofNullable(this.moves.get(call));
	}

	/**
	 * Returns whether a run was sent on and is not known to have arrived.
	 * @param call the identifier of the call
	 * @return true until {@link #arrived} or an end of the move
	 */
	boolean isOnItsWay(String call) {
		return find(call).filter((move) -> move.state() == State.MOVED).isPresent();
	}

	Stream<Move> moves(Predicate<Move> matching) {
		return this.moves.values().stream().filter(matching);
	}

	// -- requests

	/**
	 * Records that a copy of a run is requested.
	 * @param run the run
	 * @param source the server of the run
	 * @param target the server that gets the copy
	 * @param transfer the transfer
	 * @return the number of the request, and a copy that it supersedes
	 * @throws IllegalStateException if the run was sent on and is not known to have
	 * arrived: where it goes on if its target refuses it would be forgotten
	 */
	public Request copying(RunState run, BackendServer source, BackendServer target, Transfer transfer) {
		if (isOnItsWay(run.call())) {
			throw new IllegalStateException("call " + run.call() + " has not arrived yet");
		}
		Optional<Move> previous = find(run.call()).filter((move) -> move.isAt(source));
		Optional<Move> same = previous.filter((move) -> move.target().id().equals(target.id()));
		Set<String> refusedBy = previous.map(Move::refusedBy).orElse(Set.of());
		this.lastAttempt++;
		this.moves.put(run.call(), new Move(run, source, target, State.COPYING, this.lastAttempt, transfer,
				same.map(Move::copies).orElse(0), 0, same.flatMap(Move::handle), refusedBy));
		return new Request(this.lastAttempt, same.isPresent() ? Optional.empty() : previous.flatMap(MoveTable::drop));
	}

	/**
	 * Records that a run with a complete copy is requested to stop.
	 * @param call the identifier of the call
	 * @param transfer the transfer of what is new
	 * @return the number of the request
	 * @throws IllegalStateException if there is no complete copy
	 */
	public long switching(String call, Transfer transfer) {
		Move move = find(call).filter((known) -> known.state() == State.COPIED)
			.orElseThrow(() -> new IllegalStateException("no copy of call " + call));
		this.lastAttempt++;
		this.moves.put(call, move.switching(this.lastAttempt, transfer));
		return this.lastAttempt;
	}

	// -- answers

	/**
	 * Records the answer to a request.
	 * @param call the identifier of the call
	 * @param attempt the number of the request
	 * @param source the server that answers
	 * @param answer the answer
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return what follows
	 */
	public MoveStep answered(String call, long attempt, BackendServer source, CopyAnswer answer, long nowNanos) {
		Move move = this.moves.get(call);
		if (move == null || move.attempt() != attempt || !move.usesLink()) {
			return outdated(move, source, answer);
		}
		return (move.state() == State.COPYING) ? copyAnswered(move, answer, nowNanos) : switchAnswered(move, answer);
	}

	// An answer that repeats the copy in use must not free it.
	private static MoveStep outdated(Move move, BackendServer source, CopyAnswer answer) {
		Optional<String> handle = switch (answer) {
			case Copied copied -> Optional.of(copied.handle());
			case NoRoom noRoom -> noRoom.handle();
			case NoRun _, InProgress _, Failed _ -> Optional.empty();
		};
		boolean inUse = move != null && move.handle().isPresent() && move.handle().equals(handle);
		return (handle.isPresent() && !inUse) ? new Drop(source, handle.get()) : new None();
	}

	private MoveStep copyAnswered(Move move, CopyAnswer answer, long nowNanos) {
		return switch (answer) {
			case Copied copied -> {
				put(move.copied(copied.handle(), nowNanos));
				yield new None();
			}
			case NoRun _ -> end(move, new None());
			// The copy in progress is not known here; until the request expires it may
			// become complete.
			case InProgress _ -> new None();
			case NoRoom _, Failed _ -> targetRefused(move);
		};
	}

	private MoveStep targetRefused(Move move) {
		put(move.refused());
		return drop(move).<MoveStep>map((earlierCopy) -> earlierCopy).orElseGet(None::new);
	}

	private MoveStep switchAnswered(Move move, CopyAnswer answer) {
		return switch (answer) {
			case Copied copied -> proceed(move, move.target(), copied.handle());
			case NoRoom noRoom when noRoom.handle().isPresent() -> proceed(move, move.source(), noRoom.handle().get());
			case NoRoom _ -> end(move, new Lost());
			case InProgress _ -> {
				put(move.withState(State.COPIED));
				yield new NotStopped();
			}
			case NoRun _ -> end(move, new NotStopped());
			case Failed _ -> end(move, new Unknown());
		};
	}

	// The answer has been used: another one to the same request is outdated.
	private MoveStep proceed(Move move, BackendServer server, String handle) {
		put(move.withHandle(State.MOVED, Optional.of(handle)));
		return new Continue(server, move.source(), handle);
	}

	private MoveStep end(Move move, MoveStep step) {
		put(move.withState(State.ABANDONED));
		return step;
	}

	/**
	 * Records that an event of a run came from the server to which it was sent on.
	 * @param call the identifier of the call
	 */
	public void arrived(String call) {
		find(call).filter((move) -> move.state() == State.MOVED)
			.ifPresent((move) -> put(move.withState(State.ARRIVED)));
	}

	/**
	 * Records that a server did not run a call that was to continue from a copy.
	 * @param call the identifier of the call
	 * @param server the server
	 * @return what follows: a run that stopped may continue at its source
	 */
	public MoveStep refused(String call, BackendServer server) {
		Move move = this.moves.get(call);
		if (move == null || move.state() != State.MOVED) {
			return new None();
		}
		boolean atSource = move.isAt(server);
		boolean atTarget = move.target().incarnation().equals(server.incarnation());
		if (!atSource && !atTarget) {
			return new None();
		}
		return (atSource || move.handle().isEmpty()) ? end(move, new Lost())
				: new Continue(move.source(), move.source(), move.handle().get());
	}

	/**
	 * Gives up what was not answered in time.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return what follows, by call
	 */
	public Map<String, MoveStep> expire(long nowNanos) {
		List<Move> late = moves(Move::usesLink).filter((move) -> nowNanos - move.transfer().expiresNanos() >= 0)
			.toList();
		Map<String, MoveStep> steps = new HashMap<>();
		for (Move move : late) {
			MoveStep step = (move.state() == State.SWITCHING) ? end(move, new Unknown()) : targetRefused(move);
			steps.put(move.run().call(), step);
		}
		return steps;
	}

	// -- ends

	/**
	 * Records that a run is not moved any more.
	 * @param call the identifier of the call
	 * @return the copy that it has
	 */
	public Optional<Drop> abandon(String call) {
		Optional<Move> move = find(call);
		move.ifPresent((known) -> put(known.withHandle(State.ABANDONED, Optional.empty())));
		return move.flatMap(MoveTable::drop);
	}

	/**
	 * Removes a call that has ended.
	 * @param call the identifier of the call
	 * @return the copy that it has
	 */
	public Optional<Drop> ended(String call) {
		return Optional.ofNullable(this.moves.remove(call)).flatMap(MoveTable::drop);
	}

	private static Optional<Drop> drop(Move move) {
		boolean used = move.state() == State.MOVED || move.state() == State.ARRIVED;
		return !used ? move.handle().map((handle) -> new Drop(move.source(), handle)) : Optional.empty();
	}

	private void put(Move move) {
		this.moves.put(move.run().call(), move);
	}

	/**
	 * A request to copy a run.
	 *
	 * @param attempt the number of the request
	 * @param superseded an earlier copy that is not needed any more
	 */
	public record Request(long attempt, Optional<Drop> superseded) {
	}

}
