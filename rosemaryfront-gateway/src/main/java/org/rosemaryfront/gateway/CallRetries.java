package org.rosemaryfront.gateway;

import java.util.Optional;

import org.rosemaryfront.dispatch.NewRun.Obstacle;
import org.rosemaryfront.dispatch.RetryBudget;
import org.rosemaryfront.traffic.Call;
import org.rosemaryfront.traffic.CallPolicy.Failure;
import org.rosemaryfront.traffic.Refusal.Cause;

/**
 * Decides whether a call that failed at a server is sent to another one. Confined to the
 * control thread.
 */
final class CallRetries {

	/**
	 * Fraction of the allowed retry share that is used, because retries may be counted
	 * over windows with other boundaries.
	 */
	private static final double RETRY_SHARE_FACTOR = 0.8;

	/** Failed connection attempts, with nothing sent, after which a call is refused. */
	private static final int MAX_UNSENT_ATTEMPTS = 3;

	private final RetryBudget budget;

	private CallRetries(RetryBudget budget) {
		this.budget = budget;
	}

	static CallRetries of(GatewaySettings.Bounds bounds, long startedNanos) {
		return new CallRetries(new RetryBudget(bounds.retryShare() * RETRY_SHARE_FACTOR, bounds.retryFixed(),
				bounds.retryWindowMillis(), startedNanos));
	}

	/**
	 * Returns the retries that are left.
	 * @return the retry budget
	 */
	RetryBudget budget() {
		return this.budget;
	}

	/**
	 * Takes a retry for a call that failed.
	 * @param call the call
	 * @param progress the decisions made about it
	 * @param failure the failure
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return why the call must not be sent again, empty if it may be
	 */
	Optional<Cause> refusal(Call call, CallProgress progress, Failure failure, long nowNanos) {
		if (!failure.sent()) {
			progress.notSent();
		}
		Optional<Cause> obstacle = progress.newRun(call).obstacle().map(CallRetries::cause);
		if (obstacle.isPresent()) {
			return obstacle;
		}
		return failure.sent() ? limit(call, nowNanos) : unsentLimit(progress);
	}

	private static Cause cause(Obstacle obstacle) {
		return switch (obstacle) {
			case MAY_HAVE_RUN -> Cause.MAY_HAVE_RUN;
			case NOT_WHOLE -> Cause.BODY_NOT_KEPT;
		};
	}

	private static Optional<Cause> unsentLimit(CallProgress progress) {
		return (progress.unsentAttempts() < MAX_UNSENT_ATTEMPTS) ? Optional.empty() : Optional.of(Cause.NO_CONNECTION);
	}

	private Optional<Cause> limit(Call call, long nowNanos) {
		if (call.sendCount() >= call.route().maxAttempts()) {
			return Optional.of(Cause.ATTEMPTS_USED);
		}
		return this.budget.tryAcquire(call.service(), nowNanos) ? Optional.empty() : Optional.of(Cause.RETRIES_USED);
	}

}
