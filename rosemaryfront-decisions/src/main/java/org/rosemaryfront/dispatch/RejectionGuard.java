package org.rosemaryfront.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Keeps a server from having to reject more requests than it withstands. A server that
 * states how many those are fails beyond them.
 *
 * <p>
 * Gateways see the load of a server later than it changes, so that together they may send
 * it more than it has room for. Each gateway therefore uses its share of less than the
 * slots. Where there are a few more gateways than slots, each may have one call at a
 * server that seems half empty, until the server rejects one. Then, or where there are
 * more, the slots are divided in turns. A server that rejects requests gets nothing for a
 * while.
 */
final class RejectionGuard {

	/**
	 * The share of the slots that is used; the rest covers what reports have not shown.
	 */
	private static final double USED_SHARE = 0.75;

	/**
	 * The share of the rejections that a server withstands after which it gets nothing.
	 */
	private static final double TOLERATED_SHARE = 0.25;

	/** The time in which a server counts its rejections. */
	private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

	/** How long after a rejection the slots are divided in turns. */
	private static final long TURNS_NANOS = TimeUnit.SECONDS.toNanos(10);

	private static final int MAX_COUNTED = 256;

	/** The rejections per second that the server withstands, empty for any number. */
	private OptionalDouble limit = OptionalDouble.empty();

	private final Deque<Long> rejectedNanos = new ArrayDeque<>();

	/** When the last rejection was recorded. */
	private OptionalLong lastRejectedNanos = OptionalLong.empty();

	/** The rejections of requests of this process. */
	private int ownCount;

	void stated(OptionalDouble perSecond) {
		this.limit = perSecond;
	}

	OptionalDouble limit() {
		return this.limit;
	}

	void recordOwn(long nowNanos) {
		this.ownCount++;
		record(1, nowNanos);
	}

	void record(int count, long nowNanos) {
		if (count > 0) {
			this.lastRejectedNanos = OptionalLong.of(nowNanos);
		}
		for (int i = 0; i < Math.min(count, MAX_COUNTED); i++) {
			this.rejectedNanos.addLast(nowNanos);
		}
		while (this.rejectedNanos.size() > MAX_COUNTED) {
			this.rejectedNanos.removeFirst();
		}
	}

	int ownCount() {
		return this.ownCount;
	}

	boolean hasRejectedLately(long nowNanos) {
		return hasRejectedWithin(WINDOW_NANOS, nowNanos);
	}

	private boolean hasRejectedWithin(long nanos, long nowNanos) {
		return this.lastRejectedNanos.isPresent() && nowNanos - this.lastRejectedNanos.getAsLong() < nanos;
	}

	/**
	 * Returns whether the server may get another call of this process.
	 * @param row the server
	 * @param shares divides its slots
	 * @param nowNanos the current time
	 * @return false while it has too many calls or has rejected some
	 */
	boolean hasRoom(BackendRow row, SlotShares shares, long nowNanos) {
		int slots = row.server.slots();
		int load = row.load();
		if (this.limit.isEmpty()) {
			return load < slots;
		}
		int usable = Math.max(1, (int) (slots * USED_SHARE));
		int gateways = shares.gateways().size();
		// With one call of each, no more than these are rejected at once.
		int rejectedAtMost = gateways - slots;
		boolean oneEach = gateways > usable && rejectedAtMost <= this.limit.getAsDouble();
		if (isClosed(nowNanos) || load >= usable) {
			return false;
		}
		if (oneEach && !hasRejectedWithin(TURNS_NANOS, nowNanos)) {
			return row.ownCalls == 0 && load < Math.max(1, slots / 2);
		}
		return row.ownCalls < shares.slotsOf(row.server.id(), usable);
	}

	private boolean isClosed(long nowNanos) {
		while (!this.rejectedNanos.isEmpty() && nowNanos - this.rejectedNanos.getFirst() >= WINDOW_NANOS) {
			this.rejectedNanos.removeFirst();
		}
		return this.rejectedNanos.size() >= Math.max(1, this.limit.orElse(0) * TOLERATED_SHARE);
	}

}
