package org.rosemaryfront.capacity;

/** The state of the reads from one source of the platform. */
final class SourceRow {

	boolean requestPending;

	long requestedNanos;

	long nextReadNanos = Long.MIN_VALUE;

	/** Whether it was read since the lease was taken. */
	boolean readUnderLease;

	void reset() {
		this.requestPending = false;
		this.readUnderLease = false;
		this.nextReadNanos = Long.MIN_VALUE;
	}

}
