package org.rosemaryfront.capacity;

/** When a part of the platform is read again. */
final class SourceRow {

	boolean exchanging;

	long askedNanos;

	long nextNanos = Long.MIN_VALUE;

	/** Whether it was read since the lease was taken. */
	boolean known;

	void reset() {
		this.exchanging = false;
		this.known = false;
		this.nextNanos = Long.MIN_VALUE;
	}

}
