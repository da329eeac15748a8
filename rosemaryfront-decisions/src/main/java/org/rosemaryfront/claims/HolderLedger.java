package org.rosemaryfront.claims;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Remembers since when this process has seen other entries hold a claim.
 *
 * <p>
 * Clocks of two VMs differ, so a claim carries the length of its hold and not an end. A
 * claim seen for that long on the own monotonic clock was written longer ago than that,
 * so its request has ended whether its entry died or not.
 */
public final class HolderLedger {

	private static final int MAX_CLAIMS = 10_000;

	private final Map<String, Long> firstSeen = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAX_CLAIMS;
		}

	};

	private final Predicate<ClaimRow.Held> terminated;

	private HolderLedger(Predicate<ClaimRow.Held> terminated) {
		this.terminated = terminated;
	}

	/**
	 * Creates an empty ledger.
	 * @param terminated whether the process that wrote a claim is certainly gone
	 * @return the ledger
	 */
	public static HolderLedger of(Predicate<ClaimRow.Held> terminated) {
		return new HolderLedger(Objects.requireNonNull(terminated, "gone is null"));
	}

	/**
	 * Whether the request that holds a claim has ended.
	 * @param row the claim as read now
	 * @param nowNanos the time on the monotonic clock, in nanoseconds
	 * @return true when its process is gone or its time is over
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
