package org.rosemaryfront.duties;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the calls that began to run, by organisation and by window of the wall clock.
 * Window {@code k} begins {@code k} window lengths after the start of 1970.
 */
public final class UsageLedger {

	/**
	 * How long a window still accepts counts after its end, in milliseconds: a response
	 * that is being processed on the traffic thread belongs to the window in which its
	 * call began.
	 */
	private static final long GRACE_MILLIS = 200;

	private final long windowMillis;

	private final TreeMap<Long, TreeMap<String, Long>> openWindows = new TreeMap<>();

	/**
	 * Creates an empty ledger.
	 * @param windowMillis the length of a window, in milliseconds
	 */
	public UsageLedger(long windowMillis) {
		this.windowMillis = windowMillis;
	}

	/**
	 * Counts a call.
	 * @param organisation the organisation
	 * @param epochMillis when the call began to run, in milliseconds since 1970
	 */
	public void recordStart(String organisation, long epochMillis) {
		this.openWindows.computeIfAbsent(epochMillis / this.windowMillis, (_) -> new TreeMap<>())
			.merge(organisation, 1L, Long::sum);
	}

	/**
	 * Returns the counts so far of the current window.
	 * @param epochMillis the current time, in milliseconds since 1970
	 * @return the window
	 */
	public Window current(long epochMillis) {
		long index = epochMillis / this.windowMillis;
		return new Window(index, this.openWindows.getOrDefault(index, new TreeMap<>()));
	}

	/**
	 * Removes and returns the windows that are over.
	 * @param epochMillis the current time, in milliseconds since 1970
	 * @return the windows that have counts, oldest first
	 */
	public List<Window> close(long epochMillis) {
		List<Window> closed = new ArrayList<>();
		long current = (epochMillis - GRACE_MILLIS) / this.windowMillis;
		while (!this.openWindows.isEmpty() && this.openWindows.firstKey() < current) {
			Map.Entry<Long, TreeMap<String, Long>> oldest = this.openWindows.pollFirstEntry();
			closed.add(new Window(oldest.getKey(), oldest.getValue()));
		}
		return closed;
	}

	/**
	 * Removes and returns all windows, including the current one; called when the process
	 * stops.
	 * @return the windows that have counts, oldest first
	 */
	public List<Window> closeAll() {
		List<Window> closed = new ArrayList<>();
		this.openWindows.forEach((index, counts) -> closed.add(new Window(index, counts)));
		this.openWindows.clear();
		return closed;
	}

	/**
	 * The counts of one window.
	 *
	 * @param index the index of the window
	 * @param counts the number of calls by organisation
	 */
	public record Window(long index, Map<String, Long> counts) {

		public Window {
			counts = Map.copyOf(counts);
		}

	}

}
