package org.rosemaryfront.capacity;

/** A purchase in the tables of the capacity decisions. */
final class IntentRow {

	final Intent intent;

	final String reason;

	Phase phase;

	/** Whether an answer is awaited. */
	boolean requestPending;

	long nextAttemptNanos;

	int failures;

	String outcome = "";

	IntentRow(Intent intent, String reason, Phase phase) {
		this.intent = intent;
		this.reason = reason;
		this.phase = phase;
	}

	// Whether a VM may come of it.
	boolean isOpen() {
		return this.phase != Phase.ENDED;
	}

	void end(String outcome) {
		this.phase = Phase.ENDED;
		this.outcome = outcome;
		this.requestPending = false;
		this.nextAttemptNanos = Long.MIN_VALUE;
		this.failures = 0;
	}

	/** How far a purchase is. */
	enum Phase {

		/** It must be written to the table service. */
		PLANNED,

		/** It stands in the table service; an earlier holder wrote it. */
		FOUND,

		/** It stands in the table service and the cloud may be asked. */
		WRITTEN,

		/** Its outcome is known and its row must be deleted. */
		ENDED

	}

}
