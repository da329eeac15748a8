package org.rosemaryfront.duties;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What other processes told of their counts, for those whose rows are not in the store
 * when a window is added up.
 *
 * <p>
 * A process writes its row when a window is over. One that is killed before that never
 * does, and one that the store turns away does so too late: with one of nine missing, the
 * report is off by more than it may. Each tells the counts of the window under way
 * several times a second, and hands over the rows that it could not write.
 *
 * <p>
 * The names of rows begin with that of their process and a slash.
 */
public final class HeardUsage {

	private final TreeMap<Long, Heard> windows = new TreeMap<>();

	// -- changes

	/**
	 * Takes the counts so far of a window under way.
	 * @param window the window
	 * @param process the start of a process that told them
	 * @param counts the calls by organisation
	 */
	public void underWay(long window, String process, Map<String, Long> counts) {
		heard(window).underWay.put(process, Map.copyOf(counts));
	}

	/**
	 * Takes a row that its process could not write yet.
	 * @param window the window
	 * @param row the name of the row
	 * @param counts the calls by organisation
	 */
	public void unwritten(long window, String row, Map<String, Long> counts) {
		heard(window).rows.put(row, Map.copyOf(counts));
	}

	/**
	 * Forgets windows that no report can need any more.
	 * @param window the oldest window to be kept
	 */
	public void forgetBefore(long window) {
		this.windows.headMap(window).clear();
	}

	// -- queries

	/**
	 * What the store's rows lack.
	 * @param window the window
	 * @param stored the names of the rows that are in the store
	 * @return the calls by organisation
	 */
	public Map<String, Long> missing(long window, Collection<String> stored) {
		Map<String, Long> missing = new HashMap<>();
		Heard heard = this.windows.getOrDefault(window, new Heard());
		Set<String> told = new HashSet<>();
		stored.forEach((row) -> told.add(process(row)));
		heard.rows.forEach((row, counts) -> {
			told.add(process(row));
			if (!stored.contains(row)) {
				add(missing, counts);
			}
		});
		heard.underWay.forEach((process, counts) -> {
			if (!told.contains(process)) {
				add(missing, counts);
			}
		});
		return missing;
	}

	private Heard heard(long window) {
		return this.windows.computeIfAbsent(window, (_) -> new Heard());
	}

	private static String process(String row) {
		return row.substring(0, Math.max(0, row.lastIndexOf('/')));
	}

	private static void add(Map<String, Long> sum, Map<String, Long> counts) {
		counts.forEach((name, count) -> sum.merge(name, count, Long::sum));
	}

	/** What was heard of one window. */
	private static final class Heard {

		private final Map<String, Map<String, Long>> underWay = new HashMap<>();

		private final Map<String, Map<String, Long>> rows = new HashMap<>();

	}

}
