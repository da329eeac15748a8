package org.rosemaryfront.limits;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import org.rosemaryfront.limits.LimitReport.Settlement;

/** The permits that this gateway received from one issuer. */
final class PermitHolder {

	/** The time for which a permit is valid, in nanoseconds. */
	static final long VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final String issuer;

	/** When each permit expires, in order. */
	private final Deque<Long> expiryNanos = new ArrayDeque<>();

	private long total;

	private long unused;

	private long lastReceivedNanos;

	/**
	 * Creates the holder of the permits of an issuer.
	 * @param issuer the name of the gateway that issues them
	 * @param settled the permits that are settled before the first ones are received
	 */
	PermitHolder(String issuer, long settled) {
		this.issuer = issuer;
		this.total = settled;
	}

	/**
	 * Receives permits.
	 * @param issued the permits that the issuer issued to this gateway so far
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void receive(long issued, long nowNanos) {
		for (; this.total < issued; this.total++) {
			this.expiryNanos.addLast(nowNanos + VALIDITY_NANOS);
			this.lastReceivedNanos = nowNanos;
		}
	}

	/** Ends all permits, because another gateway issues them now. */
	void discard() {
		this.unused += this.expiryNanos.size();
		this.expiryNanos.clear();
	}

	void expire(long nowNanos) {
		while (!this.expiryNanos.isEmpty() && nowNanos - this.expiryNanos.getFirst() >= 0) {
			this.expiryNanos.removeFirst();
			this.unused++;
		}
	}

	void use() {
		this.expiryNanos.removeFirst();
	}

	int count() {
		return this.expiryNanos.size();
	}

	String issuer() {
		return this.issuer;
	}

	Settlement settlement() {
		return new Settlement(this.total - this.expiryNanos.size(), this.unused);
	}

	long lastReceivedNanos() {
		return this.lastReceivedNanos;
	}

}
