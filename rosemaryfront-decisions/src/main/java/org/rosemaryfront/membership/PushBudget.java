package org.rosemaryfront.membership;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the bytes of urgent datagrams: a token bucket in bytes. When it is empty, urgent
 * changes still travel in the datagrams of probes.
 */
final class PushBudget {

	/** Urgent changes that come within this time share datagrams. */
	private static final long SPACING_NANOS = Duration.ofMillis(20).toNanos();

	/** Bytes of an urgent datagram besides records, with the headers of IP and UDP. */
	private static final int HEADER_BYTES = 92;

	private final MembershipSettings settings;

	private double bytes;

	private long filledAt;

	private long lastPushAt;

	private boolean requested;

	private PushBudget(MembershipSettings settings, long now) {
		this.settings = settings;
		this.bytes = settings.pushBurstBytes();
		this.filledAt = now;
		this.lastPushAt = now - SPACING_NANOS;
	}

	static PushBudget full(MembershipSettings settings, long now) {
		return new PushBudget(settings, now);
	}

	void request() {
		this.requested = true;
	}

	/**
	 * Requests a push that does not wait for others to share its datagrams, since this
	 * process may end at once.
	 */
	void requestLast() {
		this.requested = true;
		this.lastPushAt -= SPACING_NANOS;
	}

	/**
	 * Whether to push now; a push that is due is no longer requested.
	 * @param now the time
	 * @return true when something urgent waits and the budget allows it
	 */
	boolean due(long now) {
		if (!this.requested || now - this.lastPushAt < SPACING_NANOS) {
			return false;
		}
		double gained = (now - this.filledAt) * (double) this.settings.pushBytesPerSecond()
				/ TimeUnit.SECONDS.toNanos(1);
		this.bytes = Math.min(this.settings.pushBurstBytes(), this.bytes + gained);
		this.filledAt = now;
		if (this.bytes <= 0) {
			return false;
		}
		this.requested = false;
		this.lastPushAt = now;
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
