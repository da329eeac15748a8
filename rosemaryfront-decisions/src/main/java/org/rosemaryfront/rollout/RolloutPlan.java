package org.rosemaryfront.rollout;

import java.util.Optional;

import org.rosemaryfront.rollout.RolloutEvaluator.Verdict;

/**
 * Decides when a roll-out changes to another phase. Used by the gateway that holds the
 * duty lease.
 */
public final class RolloutPlan {

	/**
	 * The maximum time before the end of the roll-out at which calls start to move, in
	 * milliseconds.
	 */
	private static final long MAX_MOVE_MILLIS = 4_000;

	/** Calls start to move in the last third of the roll-out at the earliest. */
	private static final int MOVE_DIVISOR = 3;

	/**
	 * The time before the end at which the roll-out is completed at the latest, in
	 * milliseconds.
	 */
	private static final long COMPLETION_MARGIN_MILLIS = 800;

	/**
	 * The minimum ratio of candidate to baseline servers at which the candidate version
	 * can serve all calls.
	 */
	private static final double MIN_SERVER_RATIO = 0.6;

	private RolloutPlan() {
	}

	/**
	 * Returns the phase to which a roll-out changes next.
	 * @param order the order
	 * @param phase the current phase
	 * @param verdict the verdict on the candidate version
	 * @param sinceOrderMillis the time since the order, in milliseconds
	 * @param servers the servers of the service
	 * @return the next phase, empty if the phase does not change
	 */
	public static Optional<Phase> next(RolloutOrder order, Phase phase, Verdict verdict, long sinceOrderMillis,
			ServerCounts servers) {
		if (phase.isFinal()) {
			return Optional.empty();
		}
		if (verdict == Verdict.BAD) {
			return Optional.of(Phase.ROLLED_BACK);
		}
		long remainingMillis = order.durationMillis() - sinceOrderMillis;
		return (phase == Phase.TRIAL) ? fromTrial(order, verdict, remainingMillis, servers)
				: fromMoving(remainingMillis, servers);
	}

	private static Optional<Phase> fromTrial(RolloutOrder order, Verdict verdict, long remainingMillis,
			ServerCounts servers) {
		if (servers.hasOnlyCandidates()) {
			return Optional.of(Phase.SUCCEEDED);
		}
		if (remainingMillis <= COMPLETION_MARGIN_MILLIS) {
			return Optional.of(Phase.ROLLED_BACK);
		}
		boolean due = remainingMillis <= Math.min(MAX_MOVE_MILLIS, order.durationMillis() / MOVE_DIVISOR);
		return (due && verdict == Verdict.GOOD && servers.hasEnoughCandidates()) ? Optional.of(Phase.MOVING)
				: Optional.empty();
	}

	// Baseline servers stop immediately once the roll-out has succeeded, which would
	// abort the calls that they still run.
	private static Optional<Phase> fromMoving(long remainingMillis, ServerCounts servers) {
		if (servers.candidate() == 0) {
			return Optional.of(Phase.ROLLED_BACK);
		}
		return (servers.baselineCalls() == 0 || remainingMillis <= COMPLETION_MARGIN_MILLIS)
				? Optional.of(Phase.SUCCEEDED) : Optional.empty();
	}

	/**
	 * The numbers of a service's servers that are not leaving, and of their calls.
	 *
	 * @param candidate the number of servers of the candidate version
	 * @param baseline the number of servers of other versions
	 * @param baselineCalls the number of calls that run on servers of other versions
	 */
	public record ServerCounts(int candidate, int baseline, int baselineCalls) {

		private boolean hasOnlyCandidates() {
			return this.baseline == 0 && this.candidate > 0;
		}

		private boolean hasEnoughCandidates() {
			return this.candidate > 0 && this.candidate >= MIN_SERVER_RATIO * this.baseline;
		}

	}

}
