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
 * Follows one table: sends the queries that {@link TableFollower} requests to the store
 * and to other gateways, and applies the rows they return.
 */
final class TableWatch implements AutoCloseable {

	/**
	 * For how long a change that this gateway found itself is sent to others, in
	 * nanoseconds.
	 */
	private static final long FIRST_HAND_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final RowStore store;

	private final String table;

	private final Listener listener;

	private final FollowedTable known;

	private final PeerTables peers;

	private final TableFollower follower;

	/** The outstanding requests to the store. */
	private final Map<Asked, Disposable> underWay = new HashMap<>();

	private boolean closed;

	/**
	 * The address at which a gateway that reported changes missing here serves its
	 * tables.
	 */
	private Optional<InetSocketAddress> knowsMore = Optional.empty();

	/**
	 * When this gateway last found a change that no other gateway had reported; empty
	 * before the first.
	 */
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
	 * Creates a watch, which sends no query before the first call of {@link #tick}.
	 * @param store the store
	 * @param table the name of the table
	 * @param known the local copy, which is also served to other gateways
	 * @param peers reads from other gateways while the store does not respond
	 * @param limits the limits of how old the local copy may become
	 * @param listener receives the rows
	 * @return the watch
	 */
	static TableWatch of(RowStore store, String table, FollowedTable known, PeerTables peers, FreshnessLimits limits,
			Listener listener) {
		return new TableWatch(store, table, known, peers, limits, listener);
	}

	// No outstanding request is cancelled: a caller may still wait for its connection.
	@Override
	public synchronized void close() {
		this.closed = true;
	}

	/**
	 * Sends the queries that are due.
	 * @param role the role of this gateway in reading the tables
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void tick(Role role, long nowNanos) {
		due(role, nowNanos).forEach(this::ask);
	}

	private synchronized List<Asked> due(Role role, long nowNanos) {
		return this.closed ? List.of() : this.follower.tick(role, nowNanos);
	}

	// -- updates from other gateways

	/**
	 * Processes an update of the table sent by another gateway.
	 * @param news the update
	 * @param tables the address at which that gateway serves its tables
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
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
	 * Records a pause of the process.
	 * @param nowNanos the time at which the process resumed, on the monotonic clock, in
	 * nanoseconds
	 */
	synchronized void paused(long nowNanos) {
		this.follower.paused(nowNanos);
	}

	/**
	 * Returns whether this gateway reads the table from the store and the store responds.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return false while it relies on other gateways, or its copy is not sufficiently
	 * confirmed
	 */
	synchronized boolean isReading(long nowNanos) {
		return this.follower.isReading(nowNanos);
	}

	/**
	 * Returns the time since the store last confirmed to this gateway that its copy is
	 * current.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return the time in nanoseconds, or empty if the store never confirmed it
	 */
	synchronized OptionalLong ownAgeNanos(long nowNanos) {
		return this.follower.ownAgeNanos(nowNanos);
	}

	/**
	 * Returns whether this gateway sends updates of the table: it reads the table, or
	 * recently found a change that the gateways that read it had not reported.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return false if its copy only contains changes received from other gateways
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

	// -- queries

	private void ask(Asked asked) {
		switch (asked.question()) {
			case Question.Whole _ -> run(asked, readOn("", new ArrayList<>(), OptionalLong.empty()));
			case Question.Feed feed ->
				run(asked, this.store.changes(this.table, feed.since(), Duration.ofNanos(feed.waitNanos())));
			case Question.Check check -> run(asked, this.store.changes(this.table, check.since(), Duration.ZERO));
			case Question.OfGateway gateway -> askGateway(gateway.known());
		}
	}

	// A row of the first page may change while later pages are read, so the result has
	// the version of the first page.
	private Mono<Page> readOn(String from, List<Row> before, OptionalLong firstVersion) {
		return this.store.read(new Range(this.table, from, "")).flatMap((page) -> {
			before.addAll(page.rows());
			long version = firstVersion.orElse(page.version());
			if (!page.more()) {
				return Mono.just(new Page(before, false, version));
			}
			// The smallest key after the last one.
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

	// The store may reject this gateway while it serves the others.
	private void askGateway(long version) {
		this.peers.newer(this.table, version, preferredGateway())
			.subscribe(this::takeOfGateway, (failure) -> EventLog.info(GatewayEvents.PEER_CALL_FAILED, "table",
					this.table, "cause", failure.getMessage()));
	}

	// Used only once, because that gateway may have terminated since.
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

	// -- rows are applied under the lock: changes from the store and from other gateways
	// must reach the listener in the order in which they were applied

	private void changed(List<Row> rows, long version) {
		List<Row> news = this.known.changed(rows, version);
		if (!news.isEmpty()) {
			this.listener.changed(news, version);
		}
	}

	// Another gateway may respond after the store has delivered newer changes. Going back
	// to its older table would send calls to a server that has left.
	private boolean take(List<Row> rows, long version) {
		boolean taken = this.known.all(rows, version);
		if (taken) {
			this.listener.all(rows, version);
		}
		return taken;
	}

	/** Receives the rows of a watch, on any thread, one call at a time. */
	interface Listener {

		/**
		 * Called after the whole table was read.
		 * @param rows all rows
		 * @param version the version of the store at the time of the read
		 */
		void all(List<Row> rows, long version);

		/**
		 * Called after rows have changed.
		 * @param rows the changed rows, in order
		 * @param version the version up to which the changes are complete
		 */
		void changed(List<Row> rows, long version);

	}

}
