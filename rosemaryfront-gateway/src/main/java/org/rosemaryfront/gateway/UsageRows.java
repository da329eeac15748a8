package org.rosemaryfront.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.rosemaryfront.duties.UsageLedger.Window;
import org.rosemaryfront.ports.RowStore;
import org.rosemaryfront.ports.RowStore.Commit;

/**
 * The rows with the usage counts of this gateway: writes each until the store has
 * accepted it, and again when the store came back from a copy that may lack it. Used on
 * the control thread.
 */
final class UsageRows {

	/** The delay before a row that the store did not accept is written again. */
	private static final long WRITE_RETRY_NANOS = Duration.ofMillis(800).toNanos();

	/**
	 * The time after which an unwritten row is sent to the other gateways: the store
	 * responds within a few milliseconds, and rows are added up two seconds after the end
	 * of their window.
	 */
	private static final long HANDOVER_DELAY_NANOS = Duration.ofMillis(500).toNanos();

	private final RowStore store;

	private final String self;

	private final Consumer<Runnable> control;

	private final ProcessClock clock;

	/** Rows that are not confirmed as written, by key. */
	private final TreeMap<String, UsageRow> unwritten = new TreeMap<>();

	/** Rows that are confirmed as written and not added up yet, by key. */
	private final TreeMap<String, UsageRow> written = new TreeMap<>();

	/** The keys of the rows whose write has no response yet. */
	private final Set<String> writing = new HashSet<>();

	/** The time from which on an unwritten row may be written again, by key. */
	private final Map<String, Long> nextWriteNanos = new HashMap<>();

	private int rowNumber;

	UsageRows(RowStore store, String self, Consumer<Runnable> control, ProcessClock clock) {
		this.store = store;
		this.self = self;
		this.control = control;
		this.clock = clock;
	}

	/**
	 * Queues the rows of closed windows to be written.
	 * @param windows the windows
	 * @param start identifies this start of the process
	 */
	void add(List<Window> windows, int start) {
		for (Window window : windows) {
			// A window can be closed twice: during the shutdown and at its end.
			this.rowNumber++;
			String name = UsageDuty.processName(this.self, start) + '/' + this.rowNumber;
			this.unwritten.put(UsageDuty.key(window.index(), name),
					new UsageRow(window.index(), name, RowJson.write(window.counts()), this.clock.nanos()));
		}
	}

	/** Writes the rows that are due. */
	void write() {
		long now = this.clock.nanos();
		List.copyOf(this.unwritten.entrySet()).forEach((entry) -> {
			boolean due = now - this.nextWriteNanos.getOrDefault(entry.getKey(), now) >= 0;
			if (due && this.writing.add(entry.getKey())) {
				write(entry.getKey(), entry.getValue());
			}
		});
	}

	private void write(String key, UsageRow row) {
		this.store.commit(Commit.put(UsageDuty.TABLE, key, row.counts())).subscribe((_) -> this.control.accept(() -> {
			this.writing.remove(key);
			this.nextWriteNanos.remove(key);
			if (this.unwritten.remove(key, row)) {
				this.written.put(key, row);
			}
		}), (failure) -> this.control.accept(() -> {
			RowLog.failed(key, "write", failure);
			this.writing.remove(key);
			// Writing the same row again is harmless, but immediate repeated retries
			// would
			// add load to an overloaded store.
			this.nextWriteNanos.put(key, this.clock.nanos() + WRITE_RETRY_NANOS);
		}));
	}

	/**
	 * Writes the rows that were not added up again, because the store may have lost them.
	 * @return the number of rows that were written before
	 */
	int storeRestored() {
		long now = this.clock.nanos();
		int count = this.written.size();
		this.written.forEach((key, row) -> this.unwritten.put(key, row.queuedAgain(now)));
		this.written.clear();
		this.writing.clear();
		this.nextWriteNanos.clear();
		return count;
	}

	/**
	 * Removes the rows of a window that was added up.
	 * @param window the index of the window
	 */
	void addedUp(long window) {
		this.written.values().removeIf((row) -> row.window() == window);
	}

	/**
	 * Removes written rows of windows that are no longer reported.
	 * @param window the index of the oldest window to retain
	 */
	void removeBefore(long window) {
		this.written.values().removeIf((row) -> row.window() < window);
	}

	/**
	 * Returns the rows that the store has not accepted for some time.
	 * @return the rows to send to the other gateways
	 */
	List<UsageRow> rowsToHandOver() {
		long now = this.clock.nanos();
		return this.unwritten.values()
			.stream()
			.filter((row) -> now - row.sinceNanos() >= HANDOVER_DELAY_NANOS)
			.toList();
	}

	boolean isWritten() {
		return this.unwritten.isEmpty();
	}

	/**
	 * A row with the counts of this gateway in a window.
	 *
	 * @param window the index of the window
	 * @param name the name of the row
	 * @param counts the value of the row
	 * @param sinceNanos when it was queued, on the monotonic clock
	 */
	record UsageRow(long window, String name, byte[] counts, long sinceNanos) {

		private UsageRow queuedAgain(long nowNanos) {
			return new UsageRow(this.window, this.name, this.counts, nowNanos);
		}

	}

}
