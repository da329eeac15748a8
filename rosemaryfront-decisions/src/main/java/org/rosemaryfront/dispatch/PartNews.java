package org.rosemaryfront.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.rosemaryfront.dispatch.BackendServer.Start;
import org.rosemaryfront.dispatch.SharedParts.Part;

/**
 * Which parts servers read of late, to be told to the other processes. Each is told
 * twice: a report may be lost, and what is not told is read a second time elsewhere.
 */
final class PartNews {

	/** Parts told at once; a report stays well below the size of a datagram. */
	private static final int MOST = 48;

	private List<Entry> told = List.of();

	private List<Entry> fresh = new ArrayList<>();

	void add(Start server, Part part) {
		if (this.fresh.size() < MOST) {
			this.fresh.add(new Entry(server, part));
		}
	}

	/**
	 * What is to be told now.
	 * @return the parts by server
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
