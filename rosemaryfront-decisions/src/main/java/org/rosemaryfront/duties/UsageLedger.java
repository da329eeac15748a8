package org.rosemaryfront.duties;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the calls that began to run, by organisation and by window of the wall clock.
 * Window k begins k times its length after the start of 1970.
 */
public final class UsageLedger {

	/**
	 * How long after its end a window still takes counts, in milliseconds: an answer that
	 * is under way on the traffic thread belongs to the window in which it began.
	 */
	private static final long SETTLE_MILLIS = 200;

	private final long windowMillis;

	private final TreeMap<Long, TreeMap<String, Long>> open = new TreeMap<>();

	/**
	 * A ledger without counts.
	 * @param windowMillis the length of a window, in milliseconds
	 */
	public UsageLedger(long windowMillis) {
		this.windowMillis = windowMillis;
	}

	/**
	 * Counts a call.
	 * @param organisation the organisation
	 * @param epochMillis when the call began to run, on the wall clock
	 */
	public void began(String organisation, long epochMillis) {
		this.open.computeIfAbsent(epochMillis / this.windowMillis, (_) -> new TreeMap<>())
			.merge(organisation, 1L, Long::sum);
	}

	/**
	 * The counts so far of the window under way.
	 * @param epochMillis the time
	 * @return the window
	 */
	public Window current(long epochMillis) {
		long index = epochMillis / this.windowMillis;
		return new Window(index, this.open.getOrDefault(index, new TreeMap<>()));
	}

	/**
	 * Takes out the windows that are over.
	 * @param epochMillis the time
	 * @return the windows that have counts, oldest first
	 */
	public List<Window> close(long epochMillis) {
		List<Window> closed = new ArrayList<>();
		long current = (epochMillis - SETTLE_MILLIS) / this.windowMillis;
		while (!this.open.isEmpty() && this.open.firstKey() < current) {
			Map.Entry<Long, TreeMap<String, Long>> oldest = this.open.pollFirstEntry();
			closed.add(new Window(oldest.getKey(), oldest.getValue()));
		}
		return closed;
	}

	/**
	 * Takes out all windows, also the one that is not over; for the end of the process.
	 * @return the windows that have counts, oldest first
	 */
	public List<Window> closeAll() {
		List<Window> closed = new ArrayList<>();
		this.open.forEach((index, counts) -> closed.add(new Window(index, counts)));
		this.open.clear();
		return closed;
	}

	/**
	 * The counts of one window.
	 *
	 * @param index the number of the window
	 * @param counts the calls by organisation
	 */
	public record Window(long index, Map<String, Long> counts) {

		public Window {
			counts = Map.copyOf(counts);
		}

	}

}
