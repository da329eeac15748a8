package org.rosemaryfront.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

import org.rosemaryfront.duties.ReceivedUsage;
import org.rosemaryfront.duties.UsageLedger.Window;
import org.rosemaryfront.duties.UsageSums;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.gateway.UsageRows.UsageRow;
import org.rosemaryfront.ports.Duties;
import org.rosemaryfront.ports.RowStore.Commit;
import org.rosemaryfront.ports.RowStore.Condition;
import org.rosemaryfront.ports.RowStore.Outcome;
import org.rosemaryfront.ports.RowStore.Range;
import org.rosemaryfront.ports.RowStore.Row;
import org.rosemaryfront.ports.RowStore.Write;
import org.rosemaryfront.ports.StoreException;

/**
 * Reports usage: each gateway writes its counts of a window into a row, and the holder of
 * the duties adds them up and reports the sum. Rows that a gateway could not write are
 * included in its reports to the other gateways. Used on the control thread.
 *
 * <p>
 * The sum is stored, and sent to the other gateways, before it is reported for the first
 * time. A report whose response was lost is repeated, possibly by a successor. If the sum
 * were computed again, a row that arrived late would turn the repetition into a second,
 * different report of the same window. A sum that may be lost, because the store came
 * back from a copy, is not computed again: its window is given up.
 */
final class UsageDuty {

	static final String TABLE = "usage";

	/**
	 * The time from the end of a window until its rows are added up, in milliseconds.
	 */
	private static final long SETTLE_DELAY_MILLIS = 2_000;

	/**
	 * The time from the end of a window until its report is abandoned, in milliseconds; a
	 * report is due after ten seconds.
	 */
	private static final long REPORT_DEADLINE_MILLIS = 9_500;

	/** The delay after a failure, in milliseconds. */
	private static final long RETRY_DELAY_MILLIS = 400;

	/**
	 * The time for the gateways to write their rows again after a restore of the store,
	 * in milliseconds.
	 */
	private static final long RESTORE_SETTLE_MILLIS = 1_500;

	/**
	 * How far the clock of another gateway may be ahead beyond those heard, in
	 * milliseconds.
	 */
	private static final long CLOCK_TOLERANCE_MILLIS = 2_000;

	/**
	 * Sorts after the names of gateways, so that one read returns the rows and the sum.
	 */
	private static final String SUM_NAME = "~sum";

	private final StoreGenerations store;

	private final Duties duties;

	private final DutyLease lease;

	private final long windowMillis;

	private final boolean firstStart;

	private final Consumer<Runnable> control;

	private final ProcessClock clock;

	/** The rows of this gateway. */
	private final UsageRows rows;

	private final ReceivedUsage receivedUsage = new ReceivedUsage();

	private final UsageSums sums = new UsageSums();

	/** The keys of the rows that this process added up, by window. */
	private final Map<Long, List<String>> addedUpRows = new HashMap<>();

	private final TreeSet<Long> reported = new TreeSet<>();

	private long firstWindow = Long.MIN_VALUE;

	/** The generation of the store that the sums belong to, -1 before it is known. */
	private long generation = -1;

	private boolean reporting;

	private long notBeforeMillis;

	UsageDuty(StoreGenerations store, Duties duties, GatewaySettings settings, Consumer<Runnable> control,
			DutyLease lease, ProcessClock clock) {
		this.store = store;
		this.duties = duties;
		this.lease = lease;
		this.windowMillis = settings.bounds().usageWindowMillis();
		this.firstStart = settings.firstStart();
		this.control = control;
		this.clock = clock;
		this.rows = new UsageRows(store, settings.name(), control, clock);
	}

	// -- counts of this gateway

	/**
	 * Queues the rows of closed windows to be written.
	 * @param windows the windows
	 * @param start identifies this start of the process
	 */
	void addClosedWindows(List<Window> windows, int start) {
		this.rows.add(windows, start);
		this.rows.write();
	}

	/**
	 * Returns the name of one start of a gateway, which prefixes the names of its rows.
	 * @param gateway the name of the gateway
	 * @param start identifies the start
	 * @return the name
	 */
	static String processName(String gateway, int start) {
		return gateway + '/' + Integer.toHexString(start);
	}

	/**
	 * Returns the rows of this gateway that the store has not accepted for some time.
	 * @return the rows to send to the other gateways
	 */
	List<UsageRow> rowsToHandOver() {
		return this.rows.rowsToHandOver();
	}

	boolean isWritten() {
		return this.rows.isWritten();
	}

	// -- other gateways

	/**
	 * Records the counts of another gateway in the current window.
	 * @param window the window
	 * @param process the start of the gateway
	 * @param counts the calls by organisation
	 */
	void receiveCurrentCounts(long window, String process, Map<String, Long> counts) {
		this.receivedUsage.recordCurrentCounts(window, process, counts);
		this.receivedUsage.removeBefore(window - retainedWindows());
		this.sums.windowBegan(window);
	}

	/**
	 * Records a row that another gateway could not write.
	 * @param window the window
	 * @param row the name of the row
	 * @param counts the value of the row
	 */
	void receiveUnwritten(long window, String row, byte[] counts) {
		decode(key(window, row), counts).ifPresent((read) -> this.receivedUsage.recordUnwrittenRow(window, row, read));
	}

	/**
	 * Records a sum that another gateway stored.
	 * @param window the window
	 * @param counts the encoded counts
	 */
	void receiveSum(long window, byte[] counts) {
		decode(key(window, SUM_NAME), counts).ifPresent((read) -> {
			this.sums.received(window, read);
			this.rows.addedUp(window);
		});
	}

	/**
	 * Returns the sums to include in the next report to the other gateways.
	 * @return the sums
	 */
	List<UsageSums.Sum> takeSumsToSend() {
		return this.sums.takeDue();
	}

	/**
	 * Returns whether a usage report waits for a sum to be sent to the other gateways.
	 * @return true until the next report to them
	 */
	boolean isUrgent() {
		return this.sums.isAnyNeverSent();
	}

	// -- reporting

	/**
	 * Writes outstanding rows again and, on the first call, sets the first window to
	 * report.
	 * @param epochMillis the current time on the wall clock
	 */
	void tick(long epochMillis) {
		if (this.store.newest() > this.generation) {
			boolean nothingLost = this.generation < 0 && (this.firstStart || this.store.newest() == 0);
			this.generation = this.store.newest();
			if (!nothingLost) {
				storeRestored(epochMillis);
			}
		}
		if (epochMillis >= this.notBeforeMillis) {
			this.rows.write();
		}
		if (this.firstWindow == Long.MIN_VALUE) {
			this.firstWindow = epochMillis / this.windowMillis;
		}
		this.sums.windowBegan(epochMillis / this.windowMillis);
		long expired = epochMillis / this.windowMillis - retainedWindows() - 1;
		this.sums.removeBefore(expired);
		this.rows.removeBefore(expired);
		this.addedUpRows.keySet().removeIf((window) -> window < expired);
	}

	private void storeRestored(long epochMillis) {
		this.sums.storeRestored(latestWindow(epochMillis));
		int rowsAgain = this.rows.storeRestored();
		this.notBeforeMillis = epochMillis + RESTORE_SETTLE_MILLIS;
		if (rowsAgain > 0) {
			EventLog.info(GatewayEvents.ROWS_WRITTEN_AGAIN, "table", TABLE, "generation", this.generation, "rows",
					rowsAgain);
			this.rows.write();
		}
	}

	private long latestWindow(long epochMillis) {
		return (epochMillis + CLOCK_TOLERANCE_MILLIS) / this.windowMillis;
	}

	/**
	 * Reports the oldest window that is due, while this process holds the duties.
	 * @param epochMillis the current time on the wall clock
	 * @param organisations the names of all organisations
	 */
	void act(long epochMillis, Set<String> organisations) {
		this.sums.holdsDuties(this.lease.tenure(), latestWindow(epochMillis));
		if (this.reporting || epochMillis < this.notBeforeMillis) {
			return;
		}
		long last = (epochMillis - SETTLE_DELAY_MILLIS) / this.windowMillis - 1;
		long first = Math.max(this.firstWindow, (epochMillis - REPORT_DEADLINE_MILLIS) / this.windowMillis - 1);
		for (long window = first; window <= last; window++) {
			if (!this.reported.contains(window)) {
				report(window, organisations);
				return;
			}
		}
	}

	private void report(long window, Set<String> organisations) {
		Optional<Map<String, Long>> sum = this.sums.find(window);
		if (sum.isEmpty()) {
			readRows(window, organisations);
		}
		else if (this.sums.wasSent(window)) {
			report(window, sum.get());
		}
	}

	private void readRows(long window, Set<String> organisations) {
		this.reporting = true;
		this.store.read(new Range(TABLE, key(window, ""), key(window, "~~")))
			.subscribe((page) -> this.control.accept(() -> readSum(window, organisations, page.rows())),
					(failure) -> this.control.accept(() -> failed(window, failure)));
	}

	private void readSum(long window, Set<String> organisations, List<Row> found) {
		// What this process knows of sums is complete only while it holds the duties.
		if (!this.lease.mayAct(this.clock.nanos())) {
			finishAttempt(0);
			return;
		}
		Optional<Row> sum = found.stream().filter((row) -> row.key().equals(sumKey(window))).findFirst();
		if (sum.isPresent()) {
			decode(sum.get().key(), sum.get().value().orElse(new byte[0])).ifPresentOrElse(
					(counts) -> sumStored(window, counts, List.of(), "stored"),
					() -> abandon(window, "stored sum cannot be decoded"));
		}
		else if (this.sums.mayAddUp(window)) {
			addUp(window, organisations, found);
		}
		else {
			abandon(window, "may have been reported before the store was restored");
		}
	}

	private void addUp(long window, Set<String> organisations, List<Row> found) {
		Map<String, Long> sum = new TreeMap<>();
		organisations.forEach((name) -> sum.put(name, 0L));
		List<String> keys = new ArrayList<>();
		// A sum of an earlier generation may result from a delayed write and differ from
		// the one that was reported.
		found.stream().filter((row) -> !row.key().startsWith(key(window, SUM_NAME))).forEach((row) -> {
			keys.add(row.key());
			decode(row.key(), row.value().orElse(new byte[0]))
				.ifPresent((counts) -> counts.forEach((name, count) -> sum.merge(name, count, Long::sum)));
		});
		addReceived(window, keys, sum);
		Commit commit = new Commit(TABLE, List.of(new Condition(sumKey(window), 0)),
				List.of(new Write(sumKey(window), RowJson.write(sum))), List.of());
		this.store.commitIn(this.generation, commit).subscribe((outcome) -> this.control.accept(() -> {
			switch (outcome) {
				case Outcome.Committed _ -> sumStored(window, sum, keys, "added up");
				case Outcome.Conflict _ -> finishAttempt(0);
			}
		}), (failure) -> this.control.accept(() -> failed(window, failure)));
	}

	private void addReceived(long window, List<String> keys, Map<String, Long> sum) {
		List<String> stored = keys.stream().map((key) -> key.substring(key(window, "").length())).toList();
		Map<String, Long> missing = this.receivedUsage.missing(window, stored);
		if (!missing.isEmpty()) {
			EventLog.info(GatewayEvents.USAGE_FROM_PEERS, "window", window, "rows", stored.size(), "missing", missing);
			missing.forEach((name, count) -> sum.merge(name, count, Long::sum));
		}
	}

	// The sum is reported once it was sent to the other gateways.
	private void sumStored(long window, Map<String, Long> counts, List<String> keys, String origin) {
		EventLog.info(GatewayEvents.USAGE_SUM_STORED, "window", window, "origin", origin, "gateways", keys.size(),
				"generation", this.generation, "counts", counts);
		this.sums.stored(window, counts);
		this.rows.addedUp(window);
		this.addedUpRows.put(window, keys);
		finishAttempt(0);
	}

	private void report(long window, Map<String, Long> counts) {
		long fence = this.lease.fence();
		this.reporting = true;
		this.duties.reportUsage(fence, window, counts).subscribe((_) -> {
		}, (failure) -> this.control.accept(() -> failed(window, failure)), () -> this.control.accept(() -> {
			EventLog.info(GatewayEvents.USAGE_REPORTED, "window", window, "fence", fence, "counts", counts);
			this.reported.add(window);
			finishAttempt(0);
			deleteRows(window);
		}));
	}

	// Deletes the rows that were added up, and the sum that no report can need any more.
	private void deleteRows(long window) {
		long expired = window - retainedWindows();
		this.reported.headSet(expired).clear();
		List<String> deletes = new ArrayList<>(Optional.ofNullable(this.addedUpRows.remove(window)).orElse(List.of()));
		deletes.add(sumKey(expired));
		this.store.commit(new Commit(TABLE, List.of(), List.of(), deletes)).subscribe((_) -> {
		}, (failure) -> RowLog.failed(key(window, ""), "delete", failure));
	}

	// A sum that may have been reported before must not be computed again.
	private void abandon(long window, String cause) {
		EventLog.warn(GatewayEvents.USAGE_GIVEN_UP, "window", window, "cause", cause);
		this.reported.add(window);
		finishAttempt(RETRY_DELAY_MILLIS);
	}

	private void failed(long window, Throwable failure) {
		if (failure instanceof StoreException ex && ex.reason() == StoreException.Reason.REJECTED) {
			abandon(window, failure.getMessage());
			return;
		}
		if (failure instanceof StoreException ex && ex.reason() == StoreException.Reason.FENCED) {
			this.lease.giveUp();
		}
		EventLog.info(GatewayEvents.USAGE_NOT_REPORTED, "window", window, "cause", failure.getMessage());
		finishAttempt(RETRY_DELAY_MILLIS);
	}

	private void finishAttempt(long delayMillis) {
		this.reporting = false;
		this.notBeforeMillis = Math.max(this.notBeforeMillis, this.clock.epochMillis() + delayMillis);
	}

	// The number of windows before the newest one that a report may still need.
	private long retainedWindows() {
		return 2 + REPORT_DEADLINE_MILLIS / this.windowMillis;
	}

	static String key(long window, String rest) {
		return String.format("%012d/%s", window, rest);
	}

	private String sumKey(long window) {
		return StoreGenerations.keyIn(key(window, SUM_NAME), this.generation);
	}

	// Ignores a row that was corrupted or written by another program; its counts are
	// missing from one window. When this was treated as a failure, it stopped each holder
	// of the duties in turn, and no window was reported any more.
	private static Optional<Map<String, Long>> decode(String key, byte[] value) {
		try {
			return Optional.of(RowJson.counts(value, "usage row"));
		}
		catch (IllegalStateException ex) {
			RowLog.unreadable(key, ex);
			return Optional.empty();
		}
	}

}
