package org.rosemaryfront.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.type.TypeReference;
import reactor.core.publisher.Mono;

import org.rosemaryfront.duties.ReceivedUsage;
import org.rosemaryfront.duties.UsageLedger.Window;
import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.ports.Duties;
import org.rosemaryfront.ports.RowStore;
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
 * The sum is stored before it is reported for the first time. A report whose response was
 * lost is repeated, possibly by a successor. If the sum were computed again, a row that
 * arrived late would turn the repetition into a second, different report of the same
 * window.
 */
final class UsageDuty {

	/**
	 * The time from the end of a window until its rows are added up, in milliseconds.
	 */
	private static final long SETTLE_DELAY_MILLIS = 2_000;

	/**
	 * The time from the end of a window until its report is abandoned, in milliseconds; a
	 * report is due after ten seconds.
	 */
	private static final long REPORT_DEADLINE_MILLIS = 9_500;

	/** The delay before a row that the store did not accept is written again. */
	private static final Duration WRITE_RETRY_DELAY = Duration.ofMillis(800);

	/** The delay after a failure, in milliseconds. */
	private static final long RETRY_DELAY_MILLIS = 400;

	/**
	 * The time after which an unwritten row is sent to the other gateways, in
	 * milliseconds: the store responds within a few milliseconds, and rows are added up
	 * after {@link #SETTLE_DELAY_MILLIS}.
	 */
	private static final long HANDOVER_DELAY_MILLIS = 500;

	private static final String TABLE = "usage";

	/**
	 * Sorts after the names of gateways, so that one read returns the rows and the sum.
	 */
	private static final String SUM_NAME = "~sum";

	private static final TypeReference<TreeMap<String, Long>> COUNTS_TYPE = new TypeReference<>() {
	};

	private final RowStore store;

	private final Duties duties;

	private final String self;

	private final long windowMillis;

	private final Consumer<Runnable> control;

	private final Runnable onFenced;

	/** Rows of this gateway that are not confirmed as written, by key. */
	private final Map<String, UnwrittenRow> unwritten = new TreeMap<>();

	private final ReceivedUsage receivedUsage = new ReceivedUsage();

	private final Set<String> writing = new HashSet<>();

	private final TreeSet<Long> reported = new TreeSet<>();

	private long firstWindow = Long.MIN_VALUE;

	private int rowNumber;

	private boolean reporting;

	private long notBeforeMillis;

	UsageDuty(RowStore store, Duties duties, GatewaySettings settings, Consumer<Runnable> control, Runnable onFenced) {
		this.onFenced = onFenced;
		this.store = store;
		this.duties = duties;
		this.self = settings.name();
		this.windowMillis = settings.bounds().usageWindowMillis();
		this.control = control;
	}

	// -- counts of this gateway

	/**
	 * Queues the rows of closed windows to be written.
	 * @param windows the windows
	 * @param start identifies this start of the process
	 */
	void addClosedWindows(List<Window> windows, int start) {
		for (Window window : windows) {
			// A window can be closed twice: during the shutdown and at its end.
			this.rowNumber++;
			String row = processName(this.self, start) + '/' + this.rowNumber;
			this.unwritten.put(key(window.index(), row),
					new UnwrittenRow(window.index(), row, RowJson.write(window.counts()), System.nanoTime()));
		}
		writeRows();
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
	List<UnwrittenRow> rowsToHandOver() {
		long now = System.nanoTime();
		return this.unwritten.values()
			.stream()
			.filter((row) -> now - row.sinceNanos() >= TimeUnit.MILLISECONDS.toNanos(HANDOVER_DELAY_MILLIS))
			.toList();
	}

	boolean isWritten() {
		return this.unwritten.isEmpty();
	}

	private void writeRows() {
		List.copyOf(this.unwritten.keySet()).forEach((key) -> {
			if (this.writing.add(key)) {
				this.store.commit(Commit.put(TABLE, key, this.unwritten.get(key).counts()))
					.subscribe((_) -> this.control.accept(() -> {
						this.writing.remove(key);
						this.unwritten.remove(key);
					}), (failure) -> this.control.accept(() -> {
						RowLog.failed(key, "write", failure);
						retryWriteLater(key);
					}));
			}
		});
	}

	// Writing the same row again is harmless, but immediate repeated retries would add
	// load to an overloaded store.
	private void retryWriteLater(String key) {
		Mono.delay(WRITE_RETRY_DELAY).subscribe((_) -> this.control.accept(() -> this.writing.remove(key)));
	}

	// -- counts of other gateways

	/**
	 * Records the counts of another gateway in the current window.
	 * @param window the window
	 * @param process the start of the gateway
	 * @param counts the calls by organisation
	 */
	void receiveCurrentCounts(long window, String process, Map<String, Long> counts) {
		this.receivedUsage.recordCurrentCounts(window, process, counts);
		this.receivedUsage.removeBefore(window - retainedWindows());
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

	// -- reporting

	/**
	 * Writes outstanding rows again and, on the first call, sets the first window to
	 * report.
	 * @param epochMillis the current time on the wall clock
	 */
	void tick(long epochMillis) {
		if (epochMillis >= this.notBeforeMillis) {
			writeRows();
		}
		if (this.firstWindow == Long.MIN_VALUE) {
			this.firstWindow = epochMillis / this.windowMillis;
		}
	}

	/**
	 * Reports the oldest window that is due, while this process holds the duties.
	 * @param fence the fencing number
	 * @param epochMillis the current time on the wall clock
	 * @param organisations the names of all organisations
	 */
	void act(long fence, long epochMillis, Set<String> organisations) {
		if (this.reporting || epochMillis < this.notBeforeMillis) {
			return;
		}
		long last = (epochMillis - SETTLE_DELAY_MILLIS) / this.windowMillis - 1;
		long first = Math.max(this.firstWindow, (epochMillis - REPORT_DEADLINE_MILLIS) / this.windowMillis - 1);
		for (long window = first; window <= last; window++) {
			if (!this.reported.contains(window)) {
				readRows(fence, window, organisations);
				return;
			}
		}
	}

	private void readRows(long fence, long window, Set<String> organisations) {
		this.reporting = true;
		this.store.read(new Range(TABLE, key(window, ""), key(window, "~~")))
			.subscribe((page) -> this.control.accept(() -> addUp(fence, window, organisations, page.rows())),
					(failure) -> this.control.accept(() -> failed(window, failure)));
	}

	private void addUp(long fence, long window, Set<String> organisations, List<Row> rows) {
		Map<String, Long> sum = new TreeMap<>();
		organisations.forEach((name) -> sum.put(name, 0L));
		List<String> keys = new ArrayList<>();
		for (Row row : rows) {
			Optional<Map<String, Long>> counts = decode(row.key(), row.value().orElse(new byte[0]));
			if (row.key().equals(key(window, SUM_NAME))) {
				counts.ifPresentOrElse(
						(decoded) -> report(fence, new Sum(window, decoded, rows.size() - 1, "stored"), List.of()),
						() -> abandon(window, "stored sum cannot be decoded"));
				return;
			}
			keys.add(row.key());
			counts.ifPresent((decoded) -> decoded.forEach((name, count) -> sum.merge(name, count, Long::sum)));
		}
		addReceived(window, keys, sum);
		Commit commit = new Commit(TABLE, List.of(new Condition(key(window, SUM_NAME), 0)),
				List.of(new Write(key(window, SUM_NAME), RowJson.write(sum))), List.of());
		this.store.commit(commit).subscribe((outcome) -> this.control.accept(() -> {
			switch (outcome) {
				case Outcome.Committed _ -> report(fence, new Sum(window, sum, keys.size(), "added up"), keys);
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

	private void report(long fence, Sum sum, List<String> keys) {
		long window = sum.window();
		this.duties.reportUsage(fence, window, sum.counts()).subscribe((_) -> {
		}, (failure) -> this.control.accept(() -> failed(window, failure)), () -> this.control.accept(() -> {
			EventLog.info(GatewayEvents.USAGE_REPORTED, "window", window, "fence", fence, "gateways", sum.gateways(),
					"sum", sum.origin(), "counts", sum.counts());
			this.reported.add(window);
			finishAttempt(0);
			deleteRows(window, keys);
		}));
	}

	// Deletes the rows that were added up, and the sum that no report can need any more.
	private void deleteRows(long window, List<String> keys) {
		long expired = window - retainedWindows();
		this.reported.headSet(expired).clear();
		List<String> deletes = new ArrayList<>(keys);
		deletes.add(key(expired, SUM_NAME));
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
			this.onFenced.run();
		}
		EventLog.info(GatewayEvents.USAGE_NOT_REPORTED, "window", window, "cause", failure.getMessage());
		finishAttempt(RETRY_DELAY_MILLIS);
	}

	private void finishAttempt(long delayMillis) {
		this.reporting = false;
		this.notBeforeMillis = System.currentTimeMillis() + delayMillis;
	}

	// The number of windows before the newest one that a report may still need.
	private long retainedWindows() {
		return 2 + REPORT_DEADLINE_MILLIS / this.windowMillis;
	}

	private static String key(long window, String rest) {
		return String.format("%012d/%s", window, rest);
	}

	// Ignores a row that was corrupted or written by another program; its counts are
	// missing from one window. When this was treated as a failure, it stopped each holder
	// of the duties in turn, and no window was reported any more.
	private static Optional<Map<String, Long>> decode(String key, byte[] value) {
		try {
			return Optional.of(RowJson.read(value, COUNTS_TYPE, "usage row"));
		}
		catch (IllegalStateException ex) {
			RowLog.unreadable(key, ex);
			return Optional.empty();
		}
	}

	/**
	 * The counts of a window.
	 *
	 * @param window the window
	 * @param counts the calls of all gateways, by organisation
	 * @param gateways the number of rows of gateways
	 * @param origin where the counts come from, for the log
	 */
	private record Sum(long window, Map<String, Long> counts, int gateways, String origin) {
	}

	/**
	 * A row that is not confirmed as written.
	 *
	 * @param window the window
	 * @param row the name of the row
	 * @param counts the value of the row
	 * @param sinceNanos when it was queued, on the monotonic clock
	 */
	record UnwrittenRow(long window, String row, byte[] counts, long sinceNanos) {
	}

}
