package org.rosemaryfront.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Calls that wait for a permit because all servers of their service have a limit. A call
 * waits only if it can expect a permit while that is of use to its caller. The most
 * urgent calls come first, and of equally urgent ones the oldest.
 *
 * @param <T> the calls
 */
public final class PermitQueue<T> {

	/**
	 * The time after which the issuer has learned of a demand and its permit has arrived,
	 * in nanoseconds: about the interval between two reports.
	 */
	private static final long FIRST_PERMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(350);

	private final List<Entry<T>> entries = new ArrayList<>();

	private long offered;

	private PermitQueue() {
	}

	/**
	 * Creates an empty queue.
	 * @param <T> the calls
	 * @return the queue
	 */
	public static <T> PermitQueue<T> empty() {
		return new PermitQueue<>();
	}

	/**
	 * Adds a call if it can expect a permit in time.
	 * @param call the call
	 * @param priority its priority, 0 for the most urgent
	 * @param usefulUntilNanos until when a permit is of use, on the monotonic clock
	 * @param permitsPerSecond the rate at which permits can be expected
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return whether the call waits now
	 */
	public boolean offer(T call, int priority, long usefulUntilNanos, double permitsPerSecond, long nowNanos) {
		double waitNanos = FIRST_PERMIT_NANOS + ahead(priority) * TimeUnit.SECONDS.toNanos(1) / permitsPerSecond;
		return offerWithWait(call, priority, usefulUntilNanos, waitNanos, nowNanos);
	}

	/**
	 * Adds a call of which the wait can be told if that is in time.
	 * @param call the call
	 * @param priority its priority, 0 for the most urgent
	 * @param usefulUntilNanos until when a permit is of use, on the monotonic clock
	 * @param waitNanos the expected wait, in nanoseconds
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return whether the call waits now
	 */
	public boolean offerWithWait(T call, int priority, long usefulUntilNanos, double waitNanos, long nowNanos) {
		boolean inTime = waitNanos < usefulUntilNanos - nowNanos;
		if (inTime) {
			this.entries.add(new Entry<>(call, priority, this.offered++, usefulUntilNanos));
			this.entries.sort(Comparator.<Entry<T>>comparingInt(Entry::priority).thenComparingLong(Entry::number));
		}
		return inTime;
	}

	/**
	 * Returns the number of waiting calls that are served before a new one.
	 * @param priority the priority of the new call
	 * @return the number
	 */
	public long ahead(int priority) {
		return this.entries.stream().filter((entry) -> entry.priority <= priority).count();
	}

	/**
	 * Returns the waiting calls.
	 * @return a copy, the first call to be served first
	 */
	public List<T> calls() {
		return this.entries.stream().map(Entry::call).toList();
	}

	/**
	 * Returns the number of waiting calls.
	 * @return the number
	 */
	public int size() {
		return this.entries.size();
	}

	/**
	 * Removes a call.
	 * @param call the call
	 */
	public void remove(T call) {
		this.entries.removeIf((entry) -> entry.call == call);
	}

	/**
	 * Removes the calls for which a permit would come too late.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the calls
	 */
	public List<T> removeLate(long nowNanos) {
		List<T> late = new ArrayList<>();
		for (Iterator<Entry<T>> it = this.entries.iterator(); it.hasNext();) {
			Entry<T> entry = it.next();
			if (nowNanos - entry.usefulUntilNanos >= 0) {
				late.add(entry.call);
				it.remove();
			}
		}
		return late;
	}

	/** A call with its place in the queue. */
	private record Entry<T>(T call, int priority, long number, long usefulUntilNanos) {
	}

}
