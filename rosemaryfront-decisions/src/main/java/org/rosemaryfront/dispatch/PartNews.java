package org.rosemaryfront.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.rosemaryfront.dispatch.BackendServer.Start;
import org.rosemaryfront.dispatch.SharedParts.Part;

/**
 * Collects the segments that servers recently prefilled, to be reported to the other
 * processes. Each segment is reported twice: a report may be lost, and an unreported
 * segment is prefilled again at another server.
 */
final class PartNews {

	/**
	 * The maximum number of new segments in a report, which keeps reports well below the
	 * maximum size of a datagram.
	 */
	private static final int MAX_NEW_SEGMENTS = 48;

	private List<Entry> lastReported = List.of();

	private List<Entry> pending = new ArrayList<>();

	void add(Start server, Part segment) {
		if (this.pending.size() < MAX_NEW_SEGMENTS) {
			this.pending.add(new Entry(server, segment));
		}
	}

	/**
	 * Returns the segments for the next report.
	 * @return the segments by server
	 */
	Map<Start, List<Part>> take() {
		Map<Start, List<Part>> updates = new HashMap<>();
		this.lastReported.forEach((entry) -> entry.addTo(updates));
		this.pending.forEach((entry) -> entry.addTo(updates));
		this.lastReported = this.pending;
		this.pending = new ArrayList<>();
		return updates;
	}

	private record Entry(Start server, Part segment) {

		private void addTo(Map<Start, List<Part>> updates) {
			updates.computeIfAbsent(this.server, (_) -> new ArrayList<>()).add(this.segment);
		}

	}

}
