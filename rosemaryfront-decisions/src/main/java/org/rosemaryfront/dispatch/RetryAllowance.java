package org.rosemaryfront.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * How many calls this process may send a second time, by service.
 *
 * <p>
 * Retries in a wave of failures double the load of servers that are short of capacity
 * already. All processes together may repeat a share of the calls in any window; each
 * keeps to that share of its own calls and to its part of the fixed allowance, so that
 * the sum holds without talking.
 */
public final class RetryAllowance {

	/**
	 * How many parts the fixed allowance is cut into at the least: more than the small
	 * deployments seen have processes, since some come while others still go.
	 */
	private static final int LEAST_PARTS = 16;

	/** Parts for each process that is known; some are not known yet. */
	private static final double PARTS_PER_PROCESS = 1.7;

	private final double share;

	private final double fixed;

	private int parts = LEAST_PARTS;

	private final long windowNanos;

	private final long startedNanos;

	private final Map<String, Windows> services = new HashMap<>();

	/**
	 * An allowance.
	 * @param share the retries allowed for each call
	 * @param fixed the retries that all processes together may make in a window beside
	 * the share
	 * @param windowMillis the window, in milliseconds
	 * @param startedNanos when the process started
	 */
	public RetryAllowance(double share, double fixed, long windowMillis, long startedNanos) {
		this.startedNanos = startedNanos;
		this.share = share;
		this.fixed = fixed;
		this.windowNanos = TimeUnit.MILLISECONDS.toNanos(windowMillis);
	}

	/**
	 * Takes how many processes share the fixed allowance. With sixteen parts for any
	 * number, 87 processes would have made five times as many retries as allowed.
	 * @param count the processes, this one included
	 */
	public void processes(int count) {
		this.parts = Math.max(LEAST_PARTS, (int) Math.ceil(count * PARTS_PER_PROCESS));
	}

	/**
	 * Counts a first sending.
	 * @param service the service
	 * @param nowNanos the time
	 */
	public void first(String service, long nowNanos) {
		windows(service, nowNanos).firsts.add(nowNanos);
	}

	/**
	 * Takes a retry if the window allows one.
	 * @param service the service
	 * @param nowNanos the time
	 * @return whether the call may be sent again
	 */
	public boolean take(String service, long nowNanos) {
		Windows windows = windows(service, nowNanos);
		boolean allowed = windows.retries.size() + 1 <= this.share * windows.firsts.size() + fixed(nowNanos);
		if (allowed) {
			windows.retries.add(nowNanos);
		}
		return allowed;
	}

	// Guards the sum over all processes against restarts: an earlier life of this process
	// may have used the fixed part within the same window. Killed twice in a window, all
	// processes together would use it three times.
	private double fixed(long nowNanos) {
		return (nowNanos - this.startedNanos >= this.windowNanos) ? this.fixed / this.parts : 0;
	}

	private Windows windows(String service, long nowNanos) {
		Windows windows = this.services.computeIfAbsent(service, (_) -> new Windows());
		expire(windows.firsts, nowNanos);
		expire(windows.retries, nowNanos);
		return windows;
	}

	private void expire(Deque<Long> times, long nowNanos) {
		while (!times.isEmpty() && nowNanos - times.getFirst() >= this.windowNanos) {
			times.removeFirst();
		}
	}

	private static final class Windows {

		private final Deque<Long> firsts = new ArrayDeque<>();

		private final Deque<Long> retries = new ArrayDeque<>();

	}

}
