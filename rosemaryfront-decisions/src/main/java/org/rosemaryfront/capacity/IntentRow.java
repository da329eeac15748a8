package org.rosemaryfront.capacity;

/** The state of a purchase. */
final class IntentRow {

	final Intent intent;

	final String reason;

	Phase phase;

	boolean requestPending;

	long nextAttemptNanos;

	int failures;

	String outcome = "";

	IntentRow(Intent intent, String reason, Phase phase) {
		this.intent = intent;
		this.reason = reason;
		this.phase = phase;
	}

	// Returns whether the purchase may still yield a VM.
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

	/** The progress of a purchase. */
	enum Phase {

		/** The intent must be written to the table service. */
		PLANNED,

		/** An earlier lease holder wrote the intent to the table service. */
		FOUND,

		/** The intent is in the table service and the VM may be bought. */
		WRITTEN,

		/** The outcome is known and the intent must be deleted. */
		ENDED

	}

}
