package org.rosemaryfront.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.gateway.proto.TableNews;
import org.rosemaryfront.gateway.proto.TableRow;
import org.rosemaryfront.ports.RowStore.Row;
import org.rosemaryfront.tables.FreshnessLimits;
import org.rosemaryfront.tables.Role;
import org.rosemaryfront.tables.StoreVersion;

/**
 * The tables of the store that gateways follow. A few gateways read them and send the
 * changes to the others: if every gateway read them, the calls to the store would grow
 * with the number of gateways, and when all start together with the square of that
 * number. Used on the control thread.
 */
final class SharedTables implements AutoCloseable {

	/**
	 * The maximum size of the rows in an update, in bytes, which keeps a report within
	 * one packet.
	 */
	private static final int MAX_UPDATE_BYTES = 700;

	/** The number of reports that include each change. */
	private static final int REPORTS_PER_CHANGE = 3;

	private final StoreGenerations store;

	private final PeerTables peers;

	private final Map<String, TableWatch> watches = new ConcurrentHashMap<>();

	/** The versions of each table that were sent in the last reports. */
	private final Map<String, Deque<Long>> sentVersions = new HashMap<>();

	private Role role = Role.STAND_BY;

	/** Whether a table changed since the last report; set on any thread. */
	private volatile boolean changed;

	SharedTables(StoreGenerations store, PeerTables peers) {
		store.onRestored(this::storeRestored);
		this.store = store;
		this.peers = peers;
	}

	/**
	 * Starts to follow a table.
	 * @param table the name of the table
	 * @param replica the local copy, which is also served to other gateways
	 * @param limits the limits of how old the local copy may become
	 * @param listener receives the rows
	 */
	void follow(String table, TableReplica replica, FreshnessLimits limits, TableWatch.Listener listener) {
		TableWatch watch = TableWatch.of(this.store, table, replica, this.peers, limits, new ChangeRecorder(listener));
		this.watches.put(table, watch);
		watch.tick(this.role, System.nanoTime());
	}

	/**
	 * Sends the queries that are due.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void tick(long nowNanos) {
		this.watches.values().forEach((watch) -> watch.tick(this.role, nowNanos));
	}

	private void storeRestored(long generation) {
		this.watches.values().forEach((watch) -> watch.storeRestored(generation, System.nanoTime()));
	}

	/**
	 * Records a pause of the process, which makes the local copies older than their last
	 * confirmations say.
	 * @param nowNanos the time at which the process resumed, on the monotonic clock, in
	 * nanoseconds
	 */
	void paused(long nowNanos) {
		this.watches.values().forEach((watch) -> watch.paused(nowNanos));
	}

	// -- sending

	/**
	 * Returns whether other gateways wait for changes.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return true from a change until it is sent
	 */
	boolean isUrgent(long nowNanos) {
		return this.changed && this.watches.values().stream().anyMatch((watch) -> watch.sendsUpdates(nowNanos));
	}

	/**
	 * Returns whether this gateway reads all tables from the store.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return false while it relies on other gateways, or the store does not respond
	 */
	boolean isReading(long nowNanos) {
		return this.watches.values().stream().allMatch((watch) -> watch.isReading(nowNanos));
	}

	/**
	 * Returns the updates to include in the next report.
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 * @return an update for each table that this gateway reads or recently found changes
	 * in
	 */
	List<TableNews> updates(long nowNanos) {
		this.changed = false;
		return this.watches.values()
			.stream()
			.filter((watch) -> watch.sendsUpdates(nowNanos))
			.map((watch) -> update(watch, nowNanos))
			.toList();
	}

	// Changes are sent several times because datagrams may be lost. A gateway that misses
	// all of them reads the table from the store.
	private TableNews update(TableWatch watch, long nowNanos) {
		// Read before the version: a response may confirm and change the copy in between.
		int confirmationAgeMillis = confirmationAgeMillis(watch, nowNanos);
		long version = watch.replica().version();
		long since = recordSentVersion(watch.table(), version);
		TableNews.Builder update = TableNews.newBuilder()
			.setTable(watch.table())
			.setVersion(version)
			.setSince(since)
			.setProvenMillis(confirmationAgeMillis);
		Optional<List<TableRow>> rows = watch.replica()
			.changesSince(since)
			.map((changes) -> encode(changes, version))
			.filter(SharedTables::fitsReport);
		rows.ifPresentOrElse(update::addAllRows,
				() -> update.setOmitted(true).addAllChanges(differences(watch.replica(), since, version)));
		return update.build();
	}

	private static List<TableRow> differences(TableReplica replica, long since, long version) {
		return replica.differencesSince(since)
			.map((changes) -> changes.stream().filter((change) -> change.getVersion() <= version).toList())
			.filter(SharedTables::fitsReport)
			.orElse(List.of());
	}

	private static int confirmationAgeMillis(TableWatch watch, long nowNanos) {
		OptionalLong age = watch.ownAgeNanos(nowNanos);
		return age.isPresent() ? (int) Math.clamp(TimeUnit.NANOSECONDS.toMillis(age.getAsLong()), 1, Integer.MAX_VALUE)
				: 0;
	}

	private long recordSentVersion(String table, long version) {
		Deque<Long> versions = this.sentVersions.computeIfAbsent(table, (_) -> new ArrayDeque<>());
		versions.addLast(version);
		if (versions.size() > REPORTS_PER_CHANGE + 1) {
			versions.removeFirst();
		}
		return versions.getFirst();
	}

	private static List<TableRow> encode(List<Row> changes, long version) {
		return changes.stream().filter((row) -> row.version() <= version).map(TableReplica::encode).toList();
	}

	private static boolean fitsReport(List<TableRow> rows) {
		return rows.stream().mapToInt(TableRow::getSerializedSize).sum() <= MAX_UPDATE_BYTES;
	}

	// -- receiving

	/**
	 * Processes the table updates in a report of another gateway. A gateway that cannot
	 * reach the store learns from them that it was restored.
	 * @param update the updates in the report
	 * @param tablesAddress the address at which that gateway serves its tables
	 * @param nowNanos the current time on the monotonic clock, in nanoseconds
	 */
	void receive(List<TableNews> update, InetSocketAddress tablesAddress, long nowNanos) {
		update.forEach((one) -> this.store.observe(StoreVersion.generation(one.getVersion())));
		update.forEach((one) -> Optional.ofNullable(this.watches.get(one.getTable()))
			.ifPresent((watch) -> watch.receive(one, tablesAddress, nowNanos)));
	}

	/**
	 * Sets the role of this gateway in reading the tables.
	 * @param now the new role
	 */
	void role(Role now) {
		if (now != this.role) {
			this.role = now;
			EventLog.info(GatewayEvents.TABLES_SHARED, "role", now);
		}
	}

	Role role() {
		return this.role;
	}

	@Override
	public void close() {
		this.watches.values().forEach(TableWatch::close);
	}

	/** Records that there are changes to send. */
	private final class ChangeRecorder implements TableWatch.Listener {

		private final TableWatch.Listener listener;

		private ChangeRecorder(TableWatch.Listener listener) {
			this.listener = listener;
		}

		@Override
		public void tableRead(List<Row> rows, long version) {
			SharedTables.this.changed = true;
			this.listener.tableRead(rows, version);
		}

		@Override
		public void rowsChanged(List<Row> rows, long version) {
			SharedTables.this.changed = true;
			this.listener.rowsChanged(rows, version);
		}

		@Override
		public void storeVersionSeen(long version, long sentNanos) {
			SharedTables.this.watches.values().forEach((watch) -> watch.storeVersionSeen(version, sentNanos));
		}

	}

}
