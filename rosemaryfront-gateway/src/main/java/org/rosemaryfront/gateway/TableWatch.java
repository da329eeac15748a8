package org.rosemaryfront.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.gateway.proto.TableNews;
import org.rosemaryfront.gateway.proto.TableRows;
import org.rosemaryfront.ports.RowStore;
import org.rosemaryfront.ports.RowStore.Page;
import org.rosemaryfront.ports.RowStore.Range;
import org.rosemaryfront.ports.RowStore.Row;
import org.rosemaryfront.ports.StoreException;
import org.rosemaryfront.tables.FreshnessLimits;
import org.rosemaryfront.tables.Question;
import org.rosemaryfront.tables.Question.Asked;
import org.rosemaryfront.tables.Role;
import org.rosemaryfront.tables.TableFollower;
import org.rosemaryfront.tables.TableFollower.Answer;

/**
 * Follows one table: asks the store and other gateways what {@link TableFollower} wants
 * to know, and takes the rows.
 */
final class TableWatch implements AutoCloseable {

	/** For how long a change is told that this gateway found, in nanoseconds. */
	private static final long FIRST_HAND_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final RowStore store;

	private final String table;

	private final Listener listener;

	private final FollowedTable known;

	private final PeerTables peers;

	private final TableFollower follower;

	/** What is under way at the store. */
	private final Map<Asked, Disposable> underWay = new HashMap<>();

	private boolean closed;

	/** Where a gateway serves its tables that told of changes not known here. */
	private Optional<InetSocketAddress> knowsMore = Optional.empty();

	/** When a change was found that no other gateway told of; empty before the first. */
	private OptionalLong firstHandNanos = OptionalLong.empty();

	private TableWatch(RowStore store, String table, FollowedTable known, PeerTables peers, FreshnessLimits limits,
			Listener listener) {
		this.store = store;
		this.table = table;
		this.known = known;
		this.peers = peers;
		this.listener = listener;
		this.follower = TableFollower.of(known.freshness(), limits, () -> ThreadLocalRandom.current().nextDouble());
	}

	/**
	 * A watch that has asked nothing yet; {@link #tick} asks.
	 * @param store the store
	 * @param table the table
	 * @param known takes the rows, for other gateways
	 * @param peers other gateways, asked while the store does not answer
	 * @param limits how old the knowledge of the table may become
	 * @param listener told of rows
	 * @return the watch
	 */
	static TableWatch of(RowStore store, String table, FollowedTable known, PeerTables peers, FreshnessLimits limits,
			Listener listener) {
		return new TableWatch(store, table, known, peers, limits, listener);
	}

	// Not one of the questions is cancelled: a caller may still wait for its connection.
	@Override
	public synchronized void close() {
		this.closed = true;
	}

	/**
	 * Asks what is to be asked now.
	 * @param role what this gateway does for the others
	 * @param nowNanos the time
	 */
	void tick(Role role, long nowNanos) {
		due(role, nowNanos).forEach(this::ask);
	}

	private synchronized List<Asked> due(Role role, long nowNanos) {
		return this.closed ? List.of() : this.follower.tick(role, nowNanos);
	}

	// -- what other gateways tell

	/**
	 * Takes what another gateway tells of the table.
	 * @param news what it tells
	 * @param tables where it serves its tables
	 * @param nowNanos the time
	 */
	synchronized void told(TableNews news, InetSocketAddress tables, long nowNanos) {
		boolean follows = !news.getOmitted() && news.getSince() <= this.known.version();
		boolean whole = follows || news.getVersion() <= this.known.version();
		this.knowsMore = whole ? this.knowsMore : Optional.of(tables);
		Optional<Long> proven = (news.getProvenMillis() == 0) ? Optional.empty()
				: Optional.of(nowNanos - TimeUnit.MILLISECONDS.toNanos(news.getProvenMillis()));
		this.follower.told(news.getVersion(), whole, proven, nowNanos);
		if (follows) {
			changed(FollowedTable.rows(news.getRowsList()), news.getVersion());
		}
	}

	/**
	 * The process stood still.
	 * @param nowNanos the time at which it went on
	 */
	synchronized void paused(long nowNanos) {
		this.follower.paused(nowNanos);
	}

	/**
	 * Whether it reads the table from the store, which answers.
	 * @param nowNanos the time
	 * @return false while other gateways are counted on, or too little is known
	 */
	synchronized boolean isReading(long nowNanos) {
		return this.follower.isReading(nowNanos);
	}

	/**
	 * How long ago the store proved that all changes are known.
	 * @param nowNanos the time
	 * @return the time in nanoseconds, empty when it never did
	 */
	synchronized OptionalLong ownAgeNanos(long nowNanos) {
		return this.follower.ownAgeNanos(nowNanos);
	}

	/**
	 * Whether it has something to tell: it reads the table, or found a change while those
	 * who read it did not.
	 * @param nowNanos the time
	 * @return false when it only knows what it was told
	 */
	synchronized boolean tells(long nowNanos) {
		boolean found = this.firstHandNanos.isPresent()
				&& nowNanos - this.firstHandNanos.getAsLong() < FIRST_HAND_NANOS;
		return found || this.follower.isReading(nowNanos);
	}

	FollowedTable known() {
		return this.known;
	}

	String table() {
		return this.table;
	}

	// -- questions

	private void ask(Asked asked) {
		switch (asked.question()) {
			case Question.Whole _ -> run(asked, readOn("", new ArrayList<>(), OptionalLong.empty()));
			case Question.Feed feed ->
				run(asked, this.store.changes(this.table, feed.since(), Duration.ofNanos(feed.waitNanos())));
			case Question.Check check -> run(asked, this.store.changes(this.table, check.since(), Duration.ZERO));
			case Question.OfGateway gateway -> askGateway(gateway.known());
		}
	}

	// A row of the first page may change while the others are read: what is known is as
	// old as that page.
	private Mono<Page> readOn(String from, List<Row> before, OptionalLong firstVersion) {
		return this.store.read(new Range(this.table, from, "")).flatMap((page) -> {
			before.addAll(page.rows());
			long version = firstVersion.orElse(page.version());
			if (!page.more()) {
				return Mono.just(new Page(before, false, version));
			}
			// The smallest key behind the last one.
			return readOn(page.rows().getLast().key() + '\0', before, OptionalLong.of(version));
		});
	}

	private void run(Asked asked, Mono<Page> question) {
		Disposable.Swap handle = Disposables.swap();
		synchronized (this) {
			this.underWay.put(asked, handle);
		}
		handle.update(question.subscribe((page) -> answered(asked, page), (failure) -> failed(asked, failure)));
	}

	private synchronized void answered(Asked asked, Page page) {
		this.underWay.remove(asked);
		if (this.closed) {
			return;
		}
		Answer answer = this.follower.answered(asked, page.version(), !page.rows().isEmpty(), System.nanoTime());
		noteRegained(answer.failuresBefore());
		noteOlder(answer.older(), page.version());
		answer.lostFeed().ifPresent(this::giveUp);
		if (answer.firstHand()) {
			this.firstHandNanos = OptionalLong.of(System.nanoTime());
		}
		if (asked.question() instanceof Question.Whole) {
			take(page.rows(), page.version());
		}
		else {
			changed(page.rows(), page.version());
		}
	}

	private void giveUp(Asked feed) {
		EventLog.warn(GatewayEvents.FEED_LOST, "table", this.table, "since", this.known.version(), "waitedMillis",
				TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - feed.sentNanos()));
		Optional.ofNullable(this.underWay.remove(feed)).ifPresent(Disposable::dispose);
	}

	private void noteRegained(int failures) {
		if (failures > 0) {
			EventLog.info(GatewayEvents.STORE_REGAINED, "table", this.table, "failures", failures);
		}
	}

	private void noteOlder(boolean older, long version) {
		if (older) {
			EventLog.warn(GatewayEvents.ANSWER_OUTDATED, "table", this.table, "version", version, "known",
					this.known.version());
		}
	}

	private void failed(Asked asked, Throwable failure) {
		noteFailed(asked, failure).ifPresent(this::ask);
	}

	private synchronized Optional<Asked> noteFailed(Asked asked, Throwable failure) {
		this.underWay.remove(asked);
		if (this.closed) {
			return Optional.empty();
		}
		boolean historyLost = failure instanceof StoreException ex && ex.reason() == StoreException.Reason.HISTORY_LOST;
		boolean failing = this.follower.isFailing();
		Optional<Asked> next = this.follower.failed(asked, historyLost, System.nanoTime());
		if (historyLost) {
			EventLog.info(GatewayEvents.TABLE_READ_ANEW, "table", this.table);
		}
		else if (!failing && this.follower.isFailing()) {
			EventLog.warn(GatewayEvents.STORE_LOST, "table", this.table, "cause", failure.getMessage());
		}
		return next;
	}

	// The store may turn this gateway away and serve the others.
	private void askGateway(long version) {
		this.peers.newer(this.table, version, preferredGateway())
			.subscribe(this::takeOfGateway, (failure) -> EventLog.info(GatewayEvents.PEER_CALL_FAILED, "table",
					this.table, "cause", failure.getMessage()));
	}

	// Once: it may be gone by now.
	private synchronized Optional<InetSocketAddress> preferredGateway() {
		Optional<InetSocketAddress> preferred = this.knowsMore;
		this.knowsMore = Optional.empty();
		return preferred;
	}

	private synchronized void takeOfGateway(TableRows newer) {
		List<Row> rows = FollowedTable.rows(newer.getRowsList());
		EventLog.info(GatewayEvents.TABLE_FROM_PEER, "table", this.table, "version", newer.getVersion(), "before",
				this.known.version(), "rows", rows.size());
		if (take(rows, newer.getVersion())) {
			this.follower.told(newer.getVersion(), true, Optional.empty(), System.nanoTime());
		}
	}

	// -- rows, one thread after the other: what the store and other gateways tell must
	// reach the listener in the order in which it was taken

	private void changed(List<Row> rows, long version) {
		List<Row> news = this.known.changed(rows, version);
		if (!news.isEmpty()) {
			this.listener.changed(news, version);
		}
	}

	// Another gateway may answer after the store told more: going back to its table would
	// send calls to a server that has left.
	private boolean take(List<Row> rows, long version) {
		boolean taken = this.known.all(rows, version);
		if (taken) {
			this.listener.all(rows, version);
		}
		return taken;
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

	}

}
