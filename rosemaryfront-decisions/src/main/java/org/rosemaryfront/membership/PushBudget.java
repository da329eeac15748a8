package org.rosemaryfront.membership;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Token bucket that limits the bytes of urgent datagrams. When it is empty, urgent
 * changes are still carried by probes.
 */
final class PushBudget {

	/**
	 * Minimum time between two pushes; urgent changes within this time share datagrams.
	 */
	private static final long SPACING_NANOS = Duration.ofMillis(20).toNanos();

	/**
	 * Bytes of an urgent datagram without its records, including the IP and UDP headers.
	 */
	private static final int HEADER_BYTES = 92;

	private final MembershipSettings settings;

	private double bytes;

	private long refilledAt;

	private long lastPushAt;

	private boolean requested;

	private PushBudget(MembershipSettings settings, long nowNanos) {
		this.settings = settings;
		this.bytes = settings.pushBurstBytes();
		this.refilledAt = nowNanos;
		this.lastPushAt = nowNanos - SPACING_NANOS;
	}

	static PushBudget full(MembershipSettings settings, long nowNanos) {
		return new PushBudget(settings, nowNanos);
	}

	void request() {
		this.requested = true;
	}

	/**
	 * Requests a push that does not wait for further changes to share its datagrams,
	 * because this process may exit immediately.
	 */
	void requestImmediate() {
		this.requested = true;
		this.lastPushAt -= SPACING_NANOS;
	}

	/**
	 * Returns whether to push now, and clears the request if so.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return true when a push is requested, the minimum time has passed and the budget
	 * allows it
	 */
	boolean due(long nowNanos) {
		if (!this.requested || nowNanos - this.lastPushAt < SPACING_NANOS) {
			return false;
		}
		double refill = (nowNanos - this.refilledAt) * (double) this.settings.pushBytesPerSecond()
				/ TimeUnit.SECONDS.toNanos(1);
		this.bytes = Math.min(this.settings.pushBurstBytes(), this.bytes + refill);
		this.refilledAt = nowNanos;
		if (this.bytes <= 0) {
			return false;
		}
		this.requested = false;
		this.lastPushAt = nowNanos;
		return true;
	}

	void spend(MembershipMessage message) {
		int size = HEADER_BYTES;
		for (MemberRecord record : message.members()) {
			size += record.estimatedBytes();
		}
		for (DepartureNotice notice : message.departures()) {
			size += notice.estimatedBytes();
		}
		this.bytes -= size;
	}

}
