package org.rosemaryfront.duties;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The call counts received from other processes, for those processes whose rows are not
 * in the store when the usage of a window is summed.
 *
 * <p>
 * A process writes its row when a window is over. A process that is killed before that
 * never writes it, and a process whose writes the store rejects writes it too late: with
 * one of nine processes missing, the error of the usage report exceeds the permitted one.
 * Each process therefore sends the counts of the current window several times a second,
 * and sends the rows that it could not write.
 *
 * <p>
 * The name of a row begins with the name of its process followed by a slash.
 */
public final class ReceivedUsage {

	private final TreeMap<Long, ReceivedCounts> windows = new TreeMap<>();

	// -- changes

	/**
	 * Records the counts so far of the current window of a process.
	 * @param window the index of the window
	 * @param process the name of the process with the id of its run, as in the names of
	 * its rows
	 * @param counts the number of calls by organisation
	 */
	public void recordCurrentCounts(long window, String process, Map<String, Long> counts) {
		receivedCounts(window).countsByProcess.put(process, Map.copyOf(counts));
	}

	/**
	 * Records a row that its process has not been able to write yet.
	 * @param window the index of the window
	 * @param row the name of the row
	 * @param counts the number of calls by organisation
	 */
	public void recordUnwrittenRow(long window, String row, Map<String, Long> counts) {
		receivedCounts(window).unwrittenRows.put(row, Map.copyOf(counts));
	}

	/**
	 * Removes windows that are no longer needed for a report.
	 * @param window the index of the oldest window to retain
	 */
	public void removeBefore(long window) {
		this.windows.headMap(window).clear();
	}

	// -- queries

	/**
	 * Returns the counts that are missing from the rows in the store.
	 * @param window the index of the window
	 * @param stored the names of the rows in the store
	 * @return the number of calls by organisation
	 */
	public Map<String, Long> missing(long window, Collection<String> stored) {
		Map<String, Long> missing = new HashMap<>();
		ReceivedCounts received = this.windows.getOrDefault(window, new ReceivedCounts());
		Set<String> reported = new HashSet<>();
		stored.forEach((row) -> reported.add(process(row)));
		received.unwrittenRows.forEach((row, counts) -> {
			reported.add(process(row));
			if (!stored.contains(row)) {
				add(missing, counts);
			}
		});
		received.countsByProcess.forEach((process, counts) -> {
			if (!reported.contains(process)) {
				add(missing, counts);
			}
		});
		return missing;
	}

	private ReceivedCounts receivedCounts(long window) {
		return this.windows.computeIfAbsent(window, (_) -> new ReceivedCounts());
	}

	private static String process(String row) {
		return row.substring(0, Math.max(0, row.lastIndexOf('/')));
	}

	private static void add(Map<String, Long> sum, Map<String, Long> counts) {
		counts.forEach((name, count) -> sum.merge(name, count, Long::sum));
	}

	/** The counts received for one window. */
	private static final class ReceivedCounts {

		private final Map<String, Map<String, Long>> countsByProcess = new HashMap<>();

		private final Map<String, Map<String, Long>> unwrittenRows = new HashMap<>();

	}

}
