package org.rosemaryfront.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Limits the retries of this process, by service.
 *
 * <p>
 * Retries during a burst of failures double the load of servers that are already short of
 * capacity. All processes together may retry a fraction of the calls in any window. Each
 * process keeps to that fraction of its own calls and to its share of a fixed allowance,
 * so that the total holds without coordination.
 */
public final class RetryBudget {

	/**
	 * The minimum number of shares of the fixed allowance: more than the number of
	 * processes in the small deployments seen, because processes that start and processes
	 * that stop overlap.
	 */
	private static final int MIN_SHARES = 16;

	/**
	 * Shares for each process in the local membership, which may not include all
	 * processes yet.
	 */
	private static final double SHARES_PER_PROCESS = 1.7;

	private final double retryRatio;

	private final double fixedRetries;

	private int shares = MIN_SHARES;

	private final long windowNanos;

	private final long startedNanos;

	private final Map<String, Attempts> attemptsByService = new HashMap<>();

	/**
	 * Creates an allowance.
	 * @param retryRatio the retries allowed per call
	 * @param fixedRetries the additional retries that all processes together may make in
	 * a window
	 * @param windowMillis the length of the window, in milliseconds
	 * @param startedNanos when the process started, on the monotonic clock, in
	 * nanoseconds
	 */
	public RetryBudget(double retryRatio, double fixedRetries, long windowMillis, long startedNanos) {
		this.startedNanos = startedNanos;
		this.retryRatio = retryRatio;
		this.fixedRetries = fixedRetries;
		this.windowNanos = TimeUnit.MILLISECONDS.toNanos(windowMillis);
	}

	/**
	 * Sets the number of processes that share the fixed allowance. With sixteen shares
	 * for any number of processes, 87 processes would have made five times as many
	 * retries as allowed.
	 * @param count the number of processes, including this one
	 */
	public void setProcessCount(int count) {
		this.shares = Math.max(MIN_SHARES, (int) Math.ceil(count * SHARES_PER_PROCESS));
	}

	/**
	 * Counts a call that is sent for the first time.
	 * @param service the service
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	public void recordFirstAttempt(String service, long nowNanos) {
		attempts(service, nowNanos).firstAttempts.add(nowNanos);
	}

	/**
	 * Counts a retry if the limit allows one.
	 * @param service the service
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return true if the call may be sent again
	 */
	public boolean tryAcquire(String service, long nowNanos) {
		Attempts attempts = attempts(service, nowNanos);
		boolean allowed = attempts.retries.size() + 1 <= this.retryRatio * attempts.firstAttempts.size()
				+ availableFixedRetries(nowNanos);
		if (allowed) {
			attempts.retries.add(nowNanos);
		}
		return allowed;
	}

	// Keeps the total of all processes within the limit across restarts: the previous
	// run of this process may have used its fixed share within the same window. If
	// killed twice in a window, all processes together would use the fixed allowance
	// three times.
	private double availableFixedRetries(long nowNanos) {
		return (nowNanos - this.startedNanos >= this.windowNanos) ? this.fixedRetries / this.shares : 0;
	}

	private Attempts attempts(String service, long nowNanos) {
		Attempts attempts = this.attemptsByService.computeIfAbsent(service, (_) -> new Attempts());
		expire(attempts.firstAttempts, nowNanos);
		expire(attempts.retries, nowNanos);
		return attempts;
	}

	private void expire(Deque<Long> times, long nowNanos) {
		while (!times.isEmpty() && nowNanos - times.getFirst() >= this.windowNanos) {
			times.removeFirst();
		}
	}

	private static final class Attempts {

		private final Deque<Long> firstAttempts = new ArrayDeque<>();

		private final Deque<Long> retries = new ArrayDeque<>();

	}

}
