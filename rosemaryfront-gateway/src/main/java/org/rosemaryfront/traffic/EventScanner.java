package org.rosemaryfront.traffic;

/**
 * Finds the ends of server-sent events in a stream of bytes. Lines end with a line feed,
 * a carriage return or both, and an event ends with an empty line.
 */
final class EventScanner {

	private LineEnd lastEnd = LineEnd.NONE;

	/** The end of the line before the one that ended last. */
	private LineEnd endBefore = LineEnd.NONE;

	private boolean lineEmpty = true;

	private boolean comment;

	/** Whether a field was received since the last empty line. */
	private boolean eventOpen;

	/** Whether the last byte was a carriage return, which a line feed may complete. */
	private boolean afterReturn;

	private long openBytes;

	private long count;

	/**
	 * Takes the next byte.
	 * @param next the byte
	 * @return whether the bytes received so far end with a complete event
	 */
	boolean accept(byte next) {
		boolean completesLineEnd = this.afterReturn && next == '\n';
		this.afterReturn = next == '\r';
		if (completesLineEnd) {
			this.lastEnd = LineEnd.BOTH;
		}
		else if (next == '\n') {
			endLine(LineEnd.LINE_FEED);
		}
		else if (next == '\r') {
			endLine(LineEnd.RETURN);
		}
		else {
			this.comment = this.lineEmpty ? next == ':' : this.comment;
			this.lineEmpty = false;
		}
		boolean complete = isBetweenEvents();
		this.openBytes = complete ? 0 : this.openBytes + 1;
		return complete;
	}

	private void endLine(LineEnd end) {
		if (this.lineEmpty) {
			this.count += this.eventOpen ? 1 : 0;
			this.eventOpen = false;
		}
		else if (!this.comment) {
			this.eventOpen = true;
		}
		this.endBefore = this.lastEnd;
		this.lastEnd = end;
		this.lineEmpty = true;
	}

	// After a carriage return, the line feed is missing unless lines end without one.
	private boolean isBetweenEvents() {
		boolean awaitsLineFeed = this.afterReturn && this.endBefore != LineEnd.RETURN;
		return this.lineEmpty && !this.eventOpen && !awaitsLineFeed;
	}

	/**
	 * Returns the number of bytes received since the last complete event.
	 * @return the number, 0 between two events
	 */
	long openBytes() {
		return this.openBytes;
	}

	/**
	 * Returns the number of complete events received.
	 * @return the number
	 */
	long count() {
		return this.count;
	}

	/** How a line ends. */
	private enum LineEnd {

		/** No line has ended yet. */
		NONE,

		/** With a line feed. */
		LINE_FEED,

		/** With a carriage return. */
		RETURN,

		/** With a carriage return and a line feed. */
		BOTH

	}

}
