package org.rosemaryfront.claims;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Tracks since when this process has observed each claim of another request.
 *
 * <p>
 * Clocks of two VMs differ, so a claim contains its maximum duration instead of an end
 * time. A claim that was observed for that duration on the local monotonic clock was
 * written longer ago than that, so its request has ended, whether its entry process is
 * alive or not.
 */
public final class ClaimHolderTracker {

	private static final int MAX_CLAIMS = 10_000;

	private final Map<String, Long> firstSeen = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAX_CLAIMS;
		}

	};

	private final Predicate<ClaimRow.Held> terminated;

	private ClaimHolderTracker(Predicate<ClaimRow.Held> terminated) {
		this.terminated = terminated;
	}

	/**
	 * Creates a tracker without observed claims.
	 * @param terminated whether the process that wrote a claim has certainly terminated
	 * @return the tracker
	 */
	public static ClaimHolderTracker of(Predicate<ClaimRow.Held> terminated) {
		return new ClaimHolderTracker(Objects.requireNonNull(terminated, "terminated is null"));
	}

	/**
	 * Returns whether the request that holds a claim has ended.
	 * @param row the claim as read now
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return true when its process has terminated or its maximum duration has passed
	 */
	public boolean ended(ClaimRow row, long nowNanos) {
		if (!(row instanceof ClaimRow.Held held)) {
			return false;
		}
		long firstSeenNanos = this.firstSeen.computeIfAbsent(held.token(), (_) -> nowNanos);
		boolean expired = nowNanos - firstSeenNanos >= TimeUnit.MILLISECONDS.toNanos(held.heldMillis());
		return expired || this.terminated.test(held);
	}

}
