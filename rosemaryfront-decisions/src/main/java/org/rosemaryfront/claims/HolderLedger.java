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

	private static final int CAPACITY = 10_000;

	private final Map<String, Long> firstSeen = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > CAPACITY;
		}

	};

	private final Predicate<ClaimRow.Held> gone;

	private HolderLedger(Predicate<ClaimRow.Held> gone) {
		this.gone = gone;
	}

	/**
	 * Creates an empty ledger.
	 * @param gone whether the process that wrote a claim is certainly gone
	 * @return the ledger
	 */
	public static HolderLedger of(Predicate<ClaimRow.Held> gone) {
		return new HolderLedger(Objects.requireNonNull(gone, "gone is null"));
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
		long since = this.firstSeen.computeIfAbsent(held.token(), (_) -> nowNanos);
		boolean over = nowNanos - since >= TimeUnit.MILLISECONDS.toNanos(held.heldMillis());
		return over || this.gone.test(held);
	}

}
