package org.rosemaryfront.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import reactor.core.publisher.Mono;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.gateway.proto.TableNews;
import org.rosemaryfront.gateway.proto.TableRows;
import org.rosemaryfront.model.Verdict;
import org.rosemaryfront.ports.RowStore;
import org.rosemaryfront.ports.RowStore.Page;
import org.rosemaryfront.ports.RowStore.Range;
import org.rosemaryfront.ports.RowStore.Row;
import org.rosemaryfront.ports.RowStore.Transfer;
import org.rosemaryfront.ports.StoreException;
import org.rosemaryfront.tables.FreshnessLimits;
import org.rosemaryfront.tables.Role;
import org.rosemaryfront.tables.StoreVersion;
import org.rosemaryfront.tables.TableFollower;
import org.rosemaryfront.tables.TableFollower.Response;
import org.rosemaryfront.tables.TableQuery;
import org.rosemaryfront.tables.TableQuery.Sent;

/**
 * Follows one table: sends the queries that {@link TableFollower} requests to the store
 * and to other gateways, and applies the rows they return.
 */
final class TableWatch implements AutoCloseable {

	/**
	 * For how long a change that this gateway found itself is sent to others, in
	 * nanoseconds.
	 */
	private static final long OWN_CHANGE_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(1);

	/**
	 * How many times the longest limit of a table's age it may have before that is
	 * logged.
	 */
	private static final int OVERDUE_FACTOR = 2;

	private static final long OVERDUE_LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final RowStore store;

	private final String table;

	private final Listener listener;

	private final TableReplica replica;

	private final PeerTables peers;

	private final TableFollower follower;

	/**
	 * The age of a confirmation, or of a report, from which on it is logged, in
	 * nanoseconds.
	 */
	private final long overdueNanos;

	/** The outstanding requests to the store. */
	private final TableFetches fetches;

	private boolean closed;

	/**
	 * The address at which a gateway that reported changes missing here serves its
	 * tables.
	 */
	private Optional<InetSocketAddress> newerPeer = Optional.empty();

	/**
	 * When this gateway last found a change that no other gateway had reported; empty
	 * before the first.
	 */
	private OptionalLong ownChangeNanos = OptionalLong.empty();

	/** When a version that is still missing was first reported. */
	private OptionalLong missingSinceNanos = OptionalLong.empty();

	/** The newest version reported whose changes are missing. */
	private long missingVersion;

	private long lastOverdueLogNanos = System.nanoTime() - OVERDUE_LOG_INTERVAL_NANOS;

	private TableWatch(RowStore store, String table, TableReplica replica, PeerTables peers, FreshnessLimits limits,
			Listener listener) {
		this.store = store;
		this.table = table;
		this.fetches = new TableFetches(table);
		this.replica = replica;
		this.peers = peers;
		this.listener = listener;
		this.overdueNanos = OVERDUE_FACTOR * limits.restingNanos();
		this.follower = TableFollower.of(replica.freshness(), limits, () -> ThreadLocalRandom.current().nextDouble());
	}

	/**
	 * Creates a watch, which sends no query before the first call of {@link #tick}.
	 * @param store the store
	 * @param table the name of the table
	 * @param replica the local copy, which is also served to other gateways
	 * @param peers reads from other gateways while the store does not respond
	 * @param limits the limits of how old the local copy may become
	 * @param listener receives the rows
	 * @return the watch
	 */
	static TableWatch of(RowStore store, String table, TableReplica replica, PeerTables peers, FreshnessLimits limits,
			Listener listener) {
		return new TableWatch(store, table, replica, peers, limits, listener);
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
		dueQueries(role, nowNanos).forEach(this::send);
	}

	private synchronized List<Sent> dueQueries(Role role, long nowNanos) {
		logOverdue(nowNanos);
		this.follower.arriving(this.fetches.arrivedNanos());
		return this.closed ? List.of() : this.follower.tick(role, nowNanos);
	}

	private void logOverdue(long nowNanos) {
		OptionalLong age = this.replica.freshness().ageNanos(nowNanos);
		boolean unconfirmed = age.isPresent() && age.getAsLong() >= this.overdueNanos;
		boolean missing = missingNanos(nowNanos).filter((nanos) -> nanos >= this.overdueNanos).isPresent();
		if ((unconfirmed || missing) && nowNanos - this.lastOverdueLogNanos >= OVERDUE_LOG_INTERVAL_NANOS) {
			this.lastOverdueLogNanos = nowNanos;
			EventLog.warn(GatewayEvents.TABLE_OVERDUE, "table", this.table, "version",
					StoreVersion.format(this.replica.version()), "provenMillis",
					age.isPresent() ? (Object) TimeUnit.NANOSECONDS.toMillis(age.getAsLong()) : "never", "provenBy",
					this.replica.freshness().source(), "heardMillis",
					missingNanos(nowNanos).<Object>map(TimeUnit.NANOSECONDS::toMillis).orElse("none"), "outstanding",
					this.fetches.describe(nowNanos));
		}
	}

	private Optional<Long> missingNanos(long nowNanos) {
		return this.missingSinceNanos.isPresent() ? Optional.of(nowNanos - this.missingSinceNanos.getAsLong())
				: Optional.empty();
	}

	// -- updates from other gateways

	/**
	 * Processes an update of the table sent by another gateway.
	 * @param update the update
	 * @param tablesAddress the address at which that gateway serves its tables
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	synchronized void receive(TableNews update, InetSocketAddress tablesAddress, long nowNanos) {
		boolean follows = StoreVersion.sameGeneration(update.getVersion(), this.replica.version())
				&& update.getSince() <= this.replica.version();
		Optional<List<Row>> rows = follows ? rows(update) : Optional.empty();
		boolean contiguous = rows.isPresent();
		boolean complete = contiguous || update.getVersion() <= this.replica.version();
		this.newerPeer = complete ? this.newerPeer : Optional.of(tablesAddress);
		if (!complete) {
			this.missingSinceNanos = this.missingSinceNanos.isPresent() ? this.missingSinceNanos
					: OptionalLong.of(nowNanos);
			this.missingVersion = Math.max(this.missingVersion, update.getVersion());
		}
		Optional<Long> confirmed = (update.getProvenMillis() == 0) ? Optional.empty()
				: Optional.of(nowNanos - TimeUnit.MILLISECONDS.toNanos(update.getProvenMillis()));
		this.follower.reportReceived(update.getVersion(), complete, confirmed, nowNanos);
		rows.ifPresent((changed) -> apply(changed, update.getVersion()));
	}

	private Optional<List<Row>> rows(TableNews update) {
		if (!update.getOmitted()) {
			return Optional.of(TableReplica.decode(update.getRowsList()));
		}
		if (update.getChangesCount() == 0) {
			return Optional.empty();
		}
		try {
			return this.replica.resolve(update.getChangesList());
		}
		catch (IllegalArgumentException ex) {
			EventLog.warn(GatewayEvents.DIFFERENCE_UNUSABLE, "table", this.table, "version",
					StoreVersion.format(update.getVersion()), "since", StoreVersion.format(update.getSince()), "cause",
					ex.getMessage());
			return Optional.empty();
		}
	}

	/**
	 * Records that the store came back from a copy, and reads the table again.
	 * @param generation the generation of the store
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	synchronized void storeRestored(long generation, long nowNanos) {
		this.follower.storeRestored(generation, nowNanos);
	}

	/**
	 * Processes the version of the store in a response about any table.
	 * @param version the newest version of the store
	 * @param sentNanos when the query was sent, on the monotonic clock, in nanoseconds
	 */
	synchronized void storeVersionSeen(long version, long sentNanos) {
		this.follower.storeVersionSeen(version, sentNanos);
	}

	/**
	 * Records a pause of the process.
	 * @param nowNanos the time at which the process resumed, on the monotonic clock, in
	 * nanoseconds
	 */
	synchronized void paused(long nowNanos) {
		this.follower.resumedAfterPause(nowNanos);
	}

	/**
	 * Returns whether this gateway reads the table from the store and the store responds.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return false while it relies on other gateways, or its copy is not sufficiently
	 * confirmed
	 */
	synchronized boolean isReading(long nowNanos) {
		this.follower.arriving(this.fetches.arrivedNanos());
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
	synchronized boolean sendsUpdates(long nowNanos) {
		boolean foundRecently = this.ownChangeNanos.isPresent()
				&& nowNanos - this.ownChangeNanos.getAsLong() < OWN_CHANGE_RETENTION_NANOS;
		return foundRecently || this.follower.isReading(nowNanos);
	}

	TableReplica replica() {
		return this.replica;
	}

	String table() {
		return this.table;
	}

	private void forgetMissing() {
		if (this.replica.version() >= this.missingVersion) {
			this.missingSinceNanos = OptionalLong.empty();
		}
	}

	// -- queries

	private void send(Sent sent) {
		switch (sent.query()) {
			case TableQuery.FullTable _ ->
				execute(sent, (transfer) -> readPages("", new ArrayList<>(), OptionalLong.empty(), transfer));
			case TableQuery.Feed feed -> execute(sent, (transfer) -> this.store.changes(this.table, feed.since(),
					Duration.ofNanos(feed.waitNanos()), transfer));
			case TableQuery.Check check ->
				execute(sent, (transfer) -> this.store.changes(this.table, check.since(), Duration.ZERO, transfer));
			case TableQuery.FromGateway gateway -> queryPeer(sent, gateway.version());
		}
	}

	// A row of the first page may change while later pages are read, so the result has
	// the version of the first page.
	private Mono<Page> readPages(String from, List<Row> collected, OptionalLong firstVersion, Transfer transfer) {
		return this.store.read(new Range(this.table, from, ""), transfer).flatMap((page) -> {
			collected.addAll(page.rows());
			long version = firstVersion.orElse(page.version());
			if (!StoreVersion.sameGeneration(version, page.version())) {
				return Mono.error(StoreException.of(StoreException.Reason.RESTORED, Verdict.notRun(),
						"the store was restored between two pages"));
			}
			if (!page.hasMore()) {
				return Mono.just(new Page(collected, false, version, page.generation()));
			}
			// The smallest key after the last one.
			return readPages(page.rows().getLast().key() + '\0', collected, OptionalLong.of(version), transfer);
		});
	}

	private void execute(Sent sent, Function<Transfer, Mono<Page>> query) {
		TableFetches.Fetch fetch = this.fetches.begin(sent);
		fetch.call.update(query.apply(fetch)
			.subscribe((page) -> responseReceived(sent, page), (failure) -> handleFailure(sent, failure)));
	}

	// A response with rows may name the version of the last row and not of the store.
	private void responseReceived(Sent sent, Page page) {
		handleResponse(sent, page);
		if (page.rows().isEmpty()) {
			this.listener.storeVersionSeen(page.version(), sent.sentNanos());
		}
	}

	private synchronized void handleResponse(Sent sent, Page page) {
		Optional<TableFetches.Fetch> fetch = this.fetches.end(sent);
		if (this.closed) {
			return;
		}
		long nowNanos = System.nanoTime();
		fetch.filter((_) -> !page.rows().isEmpty())
			.ifPresent((received) -> this.fetches.log(received, page.version(), page.rows().size(),
					missingNanos(nowNanos), nowNanos));
		Response result = this.follower.responseReceived(sent, page.version(), !page.rows().isEmpty(),
				System.nanoTime());
		logRecovery(result.failuresBefore());
		logOutdated(result.outdated(), page.version());
		result.lostFeed().ifPresent(this::abandonFeed);
		result.superseded().forEach(this.fetches::abandon);
		if (result.unreported()) {
			this.ownChangeNanos = OptionalLong.of(System.nanoTime());
		}
		if (sent.query() instanceof TableQuery.FullTable) {
			replace(page.rows(), page.version());
		}
		else {
			apply(page.rows(), page.version());
		}
	}

	private void abandonFeed(Sent feed) {
		EventLog.warn(GatewayEvents.FEED_LOST, "table", this.table, "since",
				StoreVersion.format(this.replica.version()), "waitedMillis",
				TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - feed.sentNanos()));
		this.fetches.abandon(feed);
	}

	private void logRecovery(int failures) {
		if (failures > 0) {
			EventLog.info(GatewayEvents.STORE_REGAINED, "table", this.table, "failures", failures);
		}
	}

	private void logOutdated(boolean older, long version) {
		if (older) {
			EventLog.warn(GatewayEvents.ANSWER_OUTDATED, "table", this.table, "version", StoreVersion.format(version),
					"known", StoreVersion.format(this.replica.version()));
		}
	}

	private void handleFailure(Sent sent, Throwable failure) {
		recordFailure(sent, failure).ifPresent(this::send);
	}

	private synchronized Optional<Sent> recordFailure(Sent sent, Throwable failure) {
		this.fetches.end(sent);
		if (this.closed) {
			return Optional.empty();
		}
		boolean historyLost = failure instanceof StoreException ex
				&& (ex.reason() == StoreException.Reason.HISTORY_LOST || ex.reason() == StoreException.Reason.RESTORED);
		boolean wasFailing = this.follower.isFailing();
		Optional<Sent> next = this.follower.queryFailed(sent, historyLost, System.nanoTime());
		if (historyLost) {
			EventLog.info(GatewayEvents.TABLE_READ_ANEW, "table", this.table);
		}
		else if (!wasFailing && this.follower.isFailing()) {
			EventLog.warn(GatewayEvents.STORE_LOST, "table", this.table, "cause", failure.getMessage());
		}
		return next;
	}

	// The store may reject this gateway while it serves the others.
	private void queryPeer(Sent sent, long version) {
		if (this.fetches.isGatewayAsked()) {
			return;
		}
		TableFetches.Fetch fetch = this.fetches.begin(sent);
		this.peers.readNewer(this.table, version, preferredPeer(), fetch)
			.doFinally((_) -> this.fetches.end(sent))
			.subscribe(this::applyPeerTable, (failure) -> EventLog.info(GatewayEvents.PEER_CALL_FAILED, "table",
					this.table, "cause", failure.getMessage()));
	}

	// Used only once, because that gateway may have terminated since.
	private synchronized Optional<InetSocketAddress> preferredPeer() {
		Optional<InetSocketAddress> preferred = this.newerPeer;
		this.newerPeer = Optional.empty();
		return preferred;
	}

	private synchronized void applyPeerTable(TableRows newer) {
		List<Row> rows = TableReplica.decode(newer.getRowsList());
		EventLog.info(GatewayEvents.TABLE_FROM_PEER, "table", this.table, "version",
				StoreVersion.format(newer.getVersion()), "before", StoreVersion.format(this.replica.version()), "rows",
				rows.size());
		if (replace(rows, newer.getVersion())) {
			this.follower.reportReceived(newer.getVersion(), true, Optional.empty(), System.nanoTime());
		}
	}

	// -- rows are applied under the lock: changes from the store and from other gateways
	// must reach the listener in the order in which they were applied

	private void apply(List<Row> rows, long version) {
		List<Row> update = this.replica.apply(rows, version);
		forgetMissing();
		if (!update.isEmpty()) {
			this.listener.rowsChanged(update, version);
		}
	}

	// Another gateway may respond after the store has delivered newer changes. Going back
	// to its older table would send calls to a server that has left.
	private boolean replace(List<Row> rows, long version) {
		boolean replaced = this.replica.replace(rows, version);
		if (replaced) {
			forgetMissing();
			this.listener.tableRead(rows, version);
		}
		return replaced;
	}

	/** Receives the rows of a watch, on any thread, one call at a time. */
	interface Listener {

		/**
		 * Called after the whole table was read.
		 * @param rows all rows
		 * @param version the version of the store at the time of the read
		 */
		void tableRead(List<Row> rows, long version);

		/**
		 * Called after rows have changed.
		 * @param rows the changed rows, in order
		 * @param version the version up to which the changes are complete
		 */
		void rowsChanged(List<Row> rows, long version);

		/**
		 * Called after each response without rows, outside of the lock of the watch.
		 * @param version the newest version of the store
		 * @param sentNanos when the query was sent, on the monotonic clock
		 */
		default void storeVersionSeen(long version, long sentNanos) {
		}

	}

}
