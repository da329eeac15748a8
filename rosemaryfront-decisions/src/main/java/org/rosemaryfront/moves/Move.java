package org.rosemaryfront.moves;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.rosemaryfront.dispatch.BackendServer;
import org.rosemaryfront.moves.MoveDecision.Transfer;

/**
 * The move of a run.
 *
 * @param run the run as it was when its last copy was requested
 * @param source the server of the run
 * @param target the server that takes it over
 * @param state how far the move is
 * @param attempt the number of the last request to a server about it
 * @param transfer the last transfer
 * @param copies the number of complete copies
 * @param waitMillis how long the last copy waited for others, in milliseconds
 * @param handle identifies a complete copy
 * @param refusedBy the identifiers of servers that could not take the run over
 */
public record Move(RunState run, BackendServer source, BackendServer target, State state, long attempt,
		Transfer transfer, int copies, double waitMillis, Optional<String> handle, Set<String> refusedBy) {

	private static final double NANOS_PER_MILLI = 1_000_000;

	public Move {
		refusedBy = Set.copyOf(refusedBy);
	}

	Move withState(State next) {
		return new Move(this.run, this.source, this.target, next, this.attempt, this.transfer, this.copies,
				this.waitMillis, this.handle, this.refusedBy);
	}

	Move withHandle(State next, Optional<String> copy) {
		return new Move(this.run, this.source, this.target, next, this.attempt, this.transfer, this.copies,
				this.waitMillis, copy, this.refusedBy);
	}

	Move copied(String copy, long nowNanos) {
		double tookMillis = (nowNanos - this.transfer.requestedNanos()) / NANOS_PER_MILLI;
		return new Move(this.run, this.source, this.target, State.COPIED, this.attempt, this.transfer, this.copies + 1,
				Math.max(0, tookMillis - this.transfer.millis()), Optional.of(copy), this.refusedBy);
	}

	/**
	 * Returns the time since the last copy was complete.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the time in milliseconds
	 */
	double copyAgeMillis(long nowNanos) {
		double sinceRequest = (nowNanos - this.transfer.requestedNanos()) / NANOS_PER_MILLI;
		return sinceRequest - this.transfer.millis() - this.waitMillis;
	}

	Move switching(long number, Transfer last) {
		return new Move(this.run, this.source, this.target, State.SWITCHING, number, last, this.copies, this.waitMillis,
				this.handle, this.refusedBy);
	}

	Move refused() {
		Set<String> servers = new HashSet<>(this.refusedBy);
		servers.add(this.target.id());
		return new Move(this.run, this.source, this.target, State.FAILED, this.attempt, this.transfer, this.copies,
				this.waitMillis, Optional.empty(), servers);
	}

	boolean isAt(BackendServer server) {
		return this.source.incarnation().equals(server.incarnation());
	}

	boolean needsRoomAtTarget() {
		return switch (this.state) {
			case COPYING, COPIED, SWITCHING -> true;
			case MOVED, ARRIVED, FAILED, ABANDONED -> false;
		};
	}

	boolean usesLink() {
		return this.state == State.COPYING || this.state == State.SWITCHING;
	}

	/** How far a move is. */
	public enum State {

		/** A copy was requested; the run goes on. */
		COPYING,

		/** A copy is complete; the run goes on. */
		COPIED,

		/** The run was asked to stop, or has stopped. */
		SWITCHING,

		/**
		 * The run was sent on to the target, or back to its source; no event of it has
		 * come from there.
		 */
		MOVED,

		/** The run goes on where it was sent. */
		ARRIVED,

		/** The target could not take the run over. */
		FAILED,

		/** The run is not moved any more. */
		ABANDONED

	}

}
