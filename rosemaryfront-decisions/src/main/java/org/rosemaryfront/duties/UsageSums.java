package org.rosemaryfront.duties;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * What a process knows of the sums of usage windows, and which windows it may add up.
 *
 * <p>
 * A sum is stored before it is reported, and must never be computed again. The store may
 * lose it when it comes back from a copy. A process may therefore add up a window only if
 * no sum of it can be lost: the window ended after this process learned of the last
 * restore, or this process has held the duties since before the end of the window.
 * Processes tell one another the sums that they stored, so that a successor repeats them.
 *
 * <p>
 * Windows are compared with the newest one that any process was heard to be in, since
 * clocks differ.
 *
 * <pre>
 * sums.storeRestored(window);
 * sums.holdsDuties(tenure, window);
 * sums.find(due).or(() -&gt; sums.mayAddUp(due) ? ... : ...);
 * </pre>
 */
public final class UsageSums {

	/** How often a sum is sent to the other processes, since messages may be lost. */
	private static final int SENDS_PER_SUM = 3;

	private final TreeMap<Long, KnownSum> sums = new TreeMap<>();

	private long newestWindow = Long.MIN_VALUE;

	/** The first window whose sum cannot have been lost in a restore. */
	private long firstSinceRestore = Long.MIN_VALUE;

	private long tenure;

	/** The first window that ended in the current or last tenure of this process. */
	private long firstInTenure = Long.MAX_VALUE;

	// -- changes

	/**
	 * Records the current window of any process, including this one.
	 * @param window the index of the window
	 */
	public void windowBegan(long window) {
		this.newestWindow = Math.max(this.newestWindow, window);
	}

	/**
	 * Records that the store came back from a copy.
	 * @param window the current window, of the most advanced clock to be expected
	 */
	public void storeRestored(long window) {
		windowBegan(window);
		this.firstSinceRestore = this.newestWindow;
	}

	/**
	 * Records that this process holds the duties.
	 * @param currentTenure changes when another process may have held them meanwhile
	 * @param window the current window, of the most advanced clock to be expected
	 */
	public void holdsDuties(long currentTenure, long window) {
		if (currentTenure != this.tenure) {
			this.tenure = currentTenure;
			windowBegan(window);
			this.firstInTenure = this.newestWindow;
		}
	}

	/**
	 * Records a sum that this process stored or found in the store.
	 * @param window the index of the window
	 * @param counts the number of calls by organisation
	 */
	public void stored(long window, Map<String, Long> counts) {
		this.sums.putIfAbsent(window, new KnownSum(Map.copyOf(counts), SENDS_PER_SUM));
	}

	/**
	 * Records a sum that another process stored.
	 * @param window the index of the window
	 * @param counts the number of calls by organisation
	 */
	public void received(long window, Map<String, Long> counts) {
		this.sums.putIfAbsent(window, new KnownSum(Map.copyOf(counts), 0));
	}

	/**
	 * Removes windows that are no longer reported.
	 * @param window the index of the oldest window to retain
	 */
	public void removeBefore(long window) {
		this.sums.headMap(window).clear();
	}

	/**
	 * Returns the sums to include in the next report to the other processes, and counts
	 * them as sent.
	 * @return the sums, oldest first
	 */
	public List<Sum> takeDue() {
		List<Sum> due = new ArrayList<>();
		this.sums.forEach((window, sum) -> {
			if (sum.sendsLeft > 0) {
				sum.sendsLeft--;
				due.add(new Sum(window, sum.counts));
			}
		});
		return due;
	}

	// -- queries

	/**
	 * Returns whether a sum was not sent to the other processes yet.
	 * @return true until {@link #takeDue} has returned it once
	 */
	public boolean isAnyNeverSent() {
		return this.sums.values().stream().anyMatch((sum) -> sum.sendsLeft == SENDS_PER_SUM);
	}

	/**
	 * Returns the sum of a window.
	 * @param window the index of the window
	 * @return the number of calls by organisation, empty if it is not known
	 */
	public Optional<Map<String, Long>> find(long window) {
		return Optional.ofNullable(this.sums.get(window)).map((sum) -> sum.counts);
	}

	/**
	 * Returns whether the sum of a window was sent to the other processes.
	 * @param window the index of the window
	 * @return false while a report with it is due for the first time
	 */
	public boolean wasSent(long window) {
		return Optional.ofNullable(this.sums.get(window)).filter((sum) -> sum.sendsLeft < SENDS_PER_SUM).isPresent();
	}

	/**
	 * Returns whether a window without a known sum may be added up.
	 * @param window the index of the window
	 * @return false if a sum of it may have been reported and lost
	 */
	public boolean mayAddUp(long window) {
		return window >= Math.min(this.firstSinceRestore, this.firstInTenure);
	}

	/**
	 * The sum of a window.
	 *
	 * @param window the index of the window
	 * @param counts the number of calls by organisation
	 */
	public record Sum(long window, Map<String, Long> counts) {
	}

	/** A sum with the progress of its reporting. */
	private static final class KnownSum {

		private final Map<String, Long> counts;

		private int sendsLeft;

		private KnownSum(Map<String, Long> counts, int sendsLeft) {
			this.counts = counts;
			this.sendsLeft = sendsLeft;
		}

	}

}
