package org.rosemaryfront.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.rosemaryfront.dispatch.BackendServer.Incarnation;
import org.rosemaryfront.dispatch.PromptPrefix.Segment;

/**
 * Collects the segments that servers recently prefilled, to be reported to the other
 * processes. Each segment is reported twice: a report may be lost, and an unreported
 * segment is prefilled again at another server.
 */
final class SegmentUpdates {

	/**
	 * The maximum number of new segments in a report, which keeps reports well below the
	 * maximum size of a datagram.
	 */
	private static final int MAX_NEW_SEGMENTS = 48;

	private List<Entry> lastReported = List.of();

	private List<Entry> pending = new ArrayList<>();

	void add(Incarnation server, Segment segment) {
		if (this.pending.size() < MAX_NEW_SEGMENTS) {
			this.pending.add(new Entry(server, segment));
		}
	}

	/**
	 * Returns the segments for the next report.
	 * @return the segments by server
	 */
	Map<Incarnation, List<Segment>> take() {
		Map<Incarnation, List<Segment>> updates = new HashMap<>();
		this.lastReported.forEach((entry) -> entry.addTo(updates));
		this.pending.forEach((entry) -> entry.addTo(updates));
		this.lastReported = this.pending;
		this.pending = new ArrayList<>();
		return updates;
	}

	private record Entry(Incarnation server, Segment segment) {

		private void addTo(Map<Incarnation, List<Segment>> updates) {
			updates.computeIfAbsent(this.server, (_) -> new ArrayList<>()).add(this.segment);
		}

	}

}
