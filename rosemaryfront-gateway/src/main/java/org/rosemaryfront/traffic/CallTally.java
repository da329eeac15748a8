package org.rosemaryfront.traffic;

/**
 * How many calls a gateway received, and what became of them.
 *
 * @param received the calls received
 * @param inTime those whose response began within the target of their route
 * @param late those whose response began later
 * @param refused those refused, or ended by their deadline before a response began
 * @param left those whose callers disconnected before the response was complete
 */
record CallTally(long received, long inTime, long late, long refused, long left) {

	static final CallTally NONE = new CallTally(0, 0, 0, 0, 0);

	CallTally plusReceived() {
		return new CallTally(this.received + 1, this.inTime, this.late, this.refused, this.left);
	}

	CallTally plusBegun(boolean isLate) {
		return new CallTally(this.received, this.inTime + (isLate ? 0 : 1), this.late + (isLate ? 1 : 0), this.refused,
				this.left);
	}

	CallTally plusRefused() {
		return new CallTally(this.received, this.inTime, this.late, this.refused + 1, this.left);
	}

	CallTally plusLeft() {
		return new CallTally(this.received, this.inTime, this.late, this.refused, this.left + 1);
	}

	CallTally minus(CallTally earlier) {
		return new CallTally(this.received - earlier.received, this.inTime - earlier.inTime, this.late - earlier.late,
				this.refused - earlier.refused, this.left - earlier.left);
	}

}
