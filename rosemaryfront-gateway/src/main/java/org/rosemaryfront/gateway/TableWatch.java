package org.rosemaryfront.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import reactor.core.publisher.Mono;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.gateway.proto.TableNews;
import org.rosemaryfront.ports.RowStore;
import org.rosemaryfront.ports.RowStore.Page;
import org.rosemaryfront.ports.RowStore.Range;
import org.rosemaryfront.ports.RowStore.Row;
import org.rosemaryfront.ports.StoreException;
import org.rosemaryfront.tables.Freshness.Source;

/**
 * Follows one table: reads it whole, then waits for its changes, and begins anew when the
 * changes since its last look are no longer kept. While other gateways tell of the
 * changes it does not ask for them.
 */
final class TableWatch implements AutoCloseable {

	/** How long one question for changes waits at the store. */
	private static final Duration WAIT = Duration.ofSeconds(20);

	/**
	 * The pause behind an answer with changes: servers start and leave many at a time,
	 * and the next question is answered with all that came meanwhile.
	 */
	private static final Duration MERGE = Duration.ofMillis(200);

	/** The first pause after a failure, in milliseconds; it doubles with each. */
	private static final long BACKOFF_MILLIS = 100;

	/**
	 * The longest pause, in milliseconds: entries of servers are back two seconds after
	 * the store is, and must be seen by then.
	 */
	private static final long BACKOFF_MOST_MILLIS = 800;

	/** For how long others are told that the store came back, in milliseconds. */
	private static final long BACK_MILLIS = 5_000;

	private final RowStore store;

	private final String table;

	private final Listener listener;

	private final FollowedTable known;

	private final PeerTables peers;

	private volatile boolean closed;

	private volatile int failures;

	/** When the store answered again; empty when it was never away. */
	private volatile OptionalLong backNanos = OptionalLong.empty();

	/** Whether other gateways tell of changes. */
	private boolean toldByOthers;

	/** Whether no question is under way, since others tell of changes. */
	private boolean resting;

	private TableWatch(RowStore store, String table, FollowedTable known, PeerTables peers, Listener listener) {
		this.store = store;
		this.table = table;
		this.known = known;
		this.peers = peers;
		this.listener = listener;
	}

	/**
	 * Starts to follow a table.
	 * @param store the store
	 * @param table the table
	 * @param known takes the rows, for other gateways
	 * @param peers other gateways, asked while the store does not answer
	 * @param listener told of rows
	 * @return the running watch
	 */
	static TableWatch start(RowStore store, String table, FollowedTable known, PeerTables peers, Listener listener) {
		TableWatch watch = new TableWatch(store, table, known, peers, listener);
		watch.readAll();
		return watch;
	}

	@Override
	public void close() {
		this.closed = true;
	}

	private void readAll() {
		readOn("", new ArrayList<>(), OptionalLong.empty(), System.nanoTime());
	}

	// A row of the first page may change while the others are read: what is known is as
	// old as that page.
	private void readOn(String from, List<Row> before, OptionalLong firstVersion, long sentNanos) {
		run(this.store.read(new Range(this.table, from, "")), (page) -> {
			List<Row> rows = new ArrayList<>(before);
			rows.addAll(page.rows());
			long version = firstVersion.orElse(page.version());
			if (page.more()) {
				// The smallest key behind the last one.
				readOn(page.rows().getLast().key() + '\0', rows, OptionalLong.of(version), sentNanos);
			}
			else {
				take(rows, version);
				proven(sentNanos, Source.STORE);
				follow(version);
			}
		}, this::readAll);
	}

	// -- what other gateways tell

	/**
	 * Sets whether other gateways tell of changes.
	 * @param now false when this one has to ask for them
	 */
	void toldByOthers(boolean now) {
		boolean ask;
		synchronized (this) {
			this.toldByOthers = now;
			ask = this.resting && !now;
			this.resting &= now;
		}
		if (ask) {
			ask(this.known.version(), WAIT);
		}
	}

	/**
	 * Takes what another gateway tells of the table.
	 * @param news what it tells
	 */
	void told(TableNews news) {
		if (news.getBackMillis() > 0 && isResting()) {
			this.listener.regained(news.getBackMillis());
		}
		if (!news.getOmitted() && news.getSince() <= this.known.version()) {
			changed(FollowedTable.rows(news.getRowsList()), news.getVersion());
		}
		else if (news.getVersion() > this.known.version() && goesOn()) {
			ask(this.known.version(), Duration.ZERO);
		}
		if (news.getProvenMillis() > 0 && this.known.version() >= news.getVersion()) {
			proven(System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(news.getProvenMillis()), Source.REPORT);
		}
	}

	/**
	 * Whether it reads the table from the store, which answers.
	 * @return false while other gateways are counted on, or nothing is known
	 */
	synchronized boolean isReading() {
		return !this.resting && this.failures == 0 && this.known.version() > 0;
	}

	/**
	 * How long ago the store answered again.
	 * @param nowNanos the time
	 * @return the time in milliseconds, 0 when it is long past
	 */
	int backMillis(long nowNanos) {
		OptionalLong back = this.backNanos;
		long millis = back.isPresent() ? TimeUnit.NANOSECONDS.toMillis(nowNanos - back.getAsLong()) : BACK_MILLIS;
		return (millis < BACK_MILLIS) ? (int) Math.max(1, millis) : 0;
	}

	FollowedTable known() {
		return this.known;
	}

	String table() {
		return this.table;
	}

	// -- the store

	private synchronized boolean isResting() {
		return this.resting;
	}

	private synchronized boolean rests() {
		this.resting = this.toldByOthers && this.failures == 0;
		return this.resting;
	}

	private synchronized boolean goesOn() {
		boolean rested = this.resting;
		this.resting = false;
		return rested;
	}

	private void follow(long since) {
		if (!rests()) {
			// A question that waits is answered with the first change: the store's return
			// would be noticed only then, and a server that leaves long after it be taken
			// for one whose registration lapsed.
			ask(since, (this.failures > 0) ? Duration.ZERO : WAIT);
		}
	}

	private void ask(long since, Duration wait) {
		long sentNanos = System.nanoTime();
		run(this.store.changes(this.table, since, wait), (page) -> {
			changed(page.rows(), page.version());
			// What came sooner than the whole wait was told at an unknown moment of it.
			proven(page.rows().isEmpty() ? sentNanos + wait.toNanos() : sentNanos, Source.STORE);
			long next = Math.max(since, page.version());
			if (page.rows().isEmpty()) {
				follow(next);
			}
			else {
				Mono.delay(MERGE).subscribe((_) -> follow(next));
			}
		}, () -> follow(Math.max(since, this.known.version())));
	}

	// One thread after the other: what the store and other gateways tell must reach the
	// listener in the order in which it was taken.
	private synchronized void changed(List<Row> rows, long version) {
		List<Row> news = this.known.changed(rows, version);
		if (!news.isEmpty()) {
			this.listener.changed(news, version);
		}
	}

	private void proven(long atNanos, Source source) {
		this.known.freshness().proven(Math.min(atNanos, System.nanoTime()), source);
	}

	private void run(Mono<Page> question, Consumer<Page> next, Runnable again) {
		// The answer may come, and the next question go out, before subscribe returns:
		// a handle kept to cancel this question could end up cancelling the next one,
		// and the table would never be read again.
		question.subscribe((page) -> {
			if (!this.closed) {
				regained();
				next.accept(page);
			}
		}, (failure) -> {
			if (!this.closed) {
				failed(failure, again);
			}
		});
	}

	private void regained() {
		if (this.failures > 0) {
			EventLog.info(GatewayEvents.STORE_REGAINED, "table", this.table, "failures", this.failures);
			this.failures = 0;
			this.backNanos = OptionalLong.of(System.nanoTime());
			this.listener.regained(0);
		}
	}

	private void failed(Throwable failure, Runnable again) {
		boolean historyLost = failure instanceof StoreException ex && ex.reason() == StoreException.Reason.HISTORY_LOST;
		if (historyLost) {
			EventLog.info(GatewayEvents.TABLE_READ_ANEW, "table", this.table);
			Mono.delay(jittered(BACKOFF_MILLIS / 4)).subscribe((_) -> readAll());
			return;
		}
		if (this.failures == 0) {
			EventLog.warn(GatewayEvents.STORE_LOST, "table", this.table, "cause", failure.getMessage());
			this.listener.lost();
		}
		askPeers();
		long pause = Math.min(BACKOFF_MOST_MILLIS, BACKOFF_MILLIS << Math.min(this.failures, 6));
		this.failures++;
		Mono.delay(jittered(pause)).subscribe((_) -> again.run());
	}

	// The store may turn this gateway away and serve the others.
	private void askPeers() {
		this.peers.newer(this.table, this.known.version()).subscribe((newer) -> {
			List<Row> rows = FollowedTable.rows(newer.getRowsList());
			EventLog.info(GatewayEvents.TABLE_FROM_PEER, "table", this.table, "version", newer.getVersion(), "before",
					this.known.version(), "rows", rows.size());
			take(rows, newer.getVersion());
		}, (failure) -> EventLog.info(GatewayEvents.PEER_CALL_FAILED, "table", this.table, "cause",
				failure.getMessage()));
	}

	// Another gateway may answer after the store told more: going back to its table would
	// send calls to a server that has left.
	private synchronized void take(List<Row> rows, long version) {
		if (this.known.all(rows, version)) {
			this.listener.all(rows, version);
		}
	}

	private static Duration jittered(long millis) {
		return Duration.ofMillis(millis / 2 + ThreadLocalRandom.current().nextLong(millis + 1));
	}

	/** Takes what a watch sees, on any thread, one call at a time. */
	interface Listener {

		/**
		 * The whole table was read.
		 * @param rows all rows
		 * @param version the version of the store at that moment
		 */
		void all(List<Row> rows, long version);

		/**
		 * Rows changed.
		 * @param rows the changed rows in order
		 * @param version the version up to which changes are known
		 */
		void changed(List<Row> rows, long version);

		/** The store does not answer. Unless overridden, what is known stays. */
		default void lost() {
		}

		/**
		 * The store answers again. What changed meanwhile follows as changes.
		 * @param agoMillis since when, in milliseconds
		 */
		default void regained(long agoMillis) {
		}

	}

}
