package org.rosemaryfront.standin.platform;

/** Counts events, and those of the last whole second; safe for use by several threads. */
final class RateCount {

	private static final long SECOND_MILLIS = 1000;

	private long sum;

	private long second;

	private long inSecond;

	private long before;

	/**
	 * Counts an event.
	 * @param nowMillis the time now, in milliseconds
	 */
	synchronized void add(long nowMillis) {
		moveOn(nowMillis);
		this.sum++;
		this.inSecond++;
	}

	/**
	 * The events of the last whole second.
	 * @param nowMillis the time now, in milliseconds
	 * @return the count
	 */
	synchronized long lastSecond(long nowMillis) {
		moveOn(nowMillis);
		return this.before;
	}

	/**
	 * All events.
	 * @return the count
	 */
	synchronized long sum() {
		return this.sum;
	}

	private void moveOn(long nowMillis) {
		long now = Math.floorDiv(nowMillis, SECOND_MILLIS);
		if (now != this.second) {
			this.before = (now == this.second + 1) ? this.inSecond : 0;
			this.inSecond = 0;
			this.second = now;
		}
	}

}
