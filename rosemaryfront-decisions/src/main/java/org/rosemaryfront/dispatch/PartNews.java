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
	 * The maximum number of new segments in a report, which keeps a report well below the
	 * maximum size of a datagram.
	 */
	private static final int MOST = 48;

	private List<Entry> told = List.of();

	private List<Entry> fresh = new ArrayList<>();

	void add(Start server, Part part) {
		if (this.fresh.size() < MOST) {
			this.fresh.add(new Entry(server, part));
		}
	}

	/**
	 * Returns the segments for the next report.
	 * @return the segments by server
	 */
	Map<Start, List<Part>> take() {
		Map<Start, List<Part>> news = new HashMap<>();
		this.told.forEach((entry) -> entry.addTo(news));
		this.fresh.forEach((entry) -> entry.addTo(news));
		this.told = this.fresh;
		this.fresh = new ArrayList<>();
		return news;
	}

	private record Entry(Start server, Part part) {

		private void addTo(Map<Start, List<Part>> news) {
			news.computeIfAbsent(this.server, (_) -> new ArrayList<>()).add(this.part);
		}

	}

}
