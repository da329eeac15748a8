package org.rosemaryfront.rollout;

import java.util.Optional;

import org.rosemaryfront.rollout.RolloutJudge.Verdict;

/**
 * Decides how far a roll-out goes, for the holder of the duties.
 */
public final class RolloutPlan {

	/** How long before the end of its time calls begin to move, in milliseconds. */
	private static final long MOVE_MILLIS = 4_000;

	/** The part of its time that the move takes at most. */
	private static final int MOVE_PARTS = 3;

	/** How long before the end it is decided at the latest, in milliseconds. */
	private static final long DECIDE_MILLIS = 800;

	/** The least part of the old servers' number with which the new version can serve. */
	private static final double LEAST_SERVERS = 0.6;

	private RolloutPlan() {
	}

	/**
	 * The next phase.
	 * @param order the order
	 * @param phase the phase now
	 * @param verdict what calls say of the new version
	 * @param sinceOrderMillis the time since the order, in milliseconds
	 * @param servers the servers of the service
	 * @return the phase to go to, empty to stay
	 */
	public static Optional<Phase> next(RolloutOrder order, Phase phase, Verdict verdict, long sinceOrderMillis,
			Servers servers) {
		if (phase.isFinal()) {
			return Optional.empty();
		}
		if (verdict == Verdict.BAD) {
			return Optional.of(Phase.ROLLED_BACK);
		}
		long left = order.durationMillis() - sinceOrderMillis;
		return (phase == Phase.TRIAL) ? fromTrial(order, verdict, left, servers) : fromMoving(left, servers);
	}

	private static Optional<Phase> fromTrial(RolloutOrder order, Verdict verdict, long leftMillis, Servers servers) {
		if (servers.isMoved()) {
			return Optional.of(Phase.SUCCEEDED);
		}
		if (leftMillis <= DECIDE_MILLIS) {
			return Optional.of(Phase.ROLLED_BACK);
		}
		boolean due = leftMillis <= Math.min(MOVE_MILLIS, order.durationMillis() / MOVE_PARTS);
		return (due && verdict == Verdict.GOOD && servers.canServe()) ? Optional.of(Phase.MOVING) : Optional.empty();
	}

	// The old servers stop at once when it has succeeded: what they still run would be
	// cut.
	private static Optional<Phase> fromMoving(long leftMillis, Servers servers) {
		if (servers.fresh() == 0) {
			return Optional.of(Phase.ROLLED_BACK);
		}
		return (servers.oldCalls() == 0 || leftMillis <= DECIDE_MILLIS) ? Optional.of(Phase.SUCCEEDED)
				: Optional.empty();
	}

	/**
	 * The servers of a service that do not leave.
	 *
	 * @param fresh those of the new version
	 * @param old those of other versions
	 * @param oldCalls the calls that run at servers of other versions
	 */
	public record Servers(int fresh, int old, int oldCalls) {

		private boolean isMoved() {
			return this.old == 0 && this.fresh > 0;
		}

		private boolean canServe() {
			return this.fresh > 0 && this.fresh >= LEAST_SERVERS * this.old;
		}

	}

}
