package org.rosemaryfront.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.rosemaryfront.events.EventLog;
import org.rosemaryfront.gateway.proto.TableNews;
import org.rosemaryfront.gateway.proto.TableRow;
import org.rosemaryfront.ports.RowStore;
import org.rosemaryfront.ports.RowStore.Row;
import org.rosemaryfront.tables.FreshnessLimits;
import org.rosemaryfront.tables.Role;

/**
 * The tables of the store that gateways follow. A few gateways read them and tell the
 * others what changes; with each reading for itself, the calls to the store grow with the
 * gateways, and at a start of all with their square. Used on the control thread.
 */
final class SharedTables implements AutoCloseable {

	/** Rows told at once, in bytes; a report stays within one packet. */
	private static final int MOST_BYTES = 700;

	/** A change is in so many reports. */
	private static final int TIMES_TOLD = 3;

	private final RowStore store;

	private final PeerTables peers;

	private final Map<String, TableWatch> watches = new HashMap<>();

	/** The versions up to which each table was told in the last reports. */
	private final Map<String, Deque<Long>> told = new HashMap<>();

	private Role role = Role.STAND_BY;

	/** Whether a table changed since the last report; set on any thread. */
	private volatile boolean changed;

	SharedTables(RowStore store, PeerTables peers) {
		this.store = store;
		this.peers = peers;
	}

	/**
	 * Starts to follow a table.
	 * @param table the table
	 * @param known takes the rows, for other gateways
	 * @param limits how old the knowledge of the table may become
	 * @param listener told of rows
	 */
	void follow(String table, FollowedTable known, FreshnessLimits limits, TableWatch.Listener listener) {
		TableWatch watch = TableWatch.of(this.store, table, known, this.peers, limits, new Noting(listener));
		this.watches.put(table, watch);
		watch.tick(this.role, System.nanoTime());
	}

	/**
	 * Asks what is to be asked now.
	 * @param nowNanos the time
	 */
	void tick(long nowNanos) {
		this.watches.values().forEach((watch) -> watch.tick(this.role, nowNanos));
	}

	/**
	 * The process stood still: what it knows is older than it looks.
	 * @param nowNanos the time at which it went on
	 */
	void paused(long nowNanos) {
		this.watches.values().forEach((watch) -> watch.paused(nowNanos));
	}

	// -- telling

	/**
	 * Whether others wait for news.
	 * @param nowNanos the time
	 * @return true from a change until it was told
	 */
	boolean isUrgent(long nowNanos) {
		return this.changed && this.watches.values().stream().anyMatch((watch) -> watch.tells(nowNanos));
	}

	/**
	 * Whether this gateway reads all tables from the store.
	 * @param nowNanos the time
	 * @return false while it counts on others, or the store does not answer
	 */
	boolean isReading(long nowNanos) {
		return this.watches.values().stream().allMatch((watch) -> watch.isReading(nowNanos));
	}

	/**
	 * What is told to the other gateways.
	 * @param nowNanos the time
	 * @return what is known of each table that it reads, or in which it found changes
	 */
	List<TableNews> news(long nowNanos) {
		this.changed = false;
		return this.watches.values()
			.stream()
			.filter((watch) -> watch.tells(nowNanos))
			.map((watch) -> news(watch, nowNanos))
			.toList();
	}

	// Changes are told several times, since datagrams are lost; whoever misses one reads
	// it from the store.
	private TableNews news(TableWatch watch, long nowNanos) {
		long version = watch.known().version();
		long since = told(watch.table(), version);
		TableNews.Builder news = TableNews.newBuilder()
			.setTable(watch.table())
			.setVersion(version)
			.setSince(since)
			.setProvenMillis(provenMillis(watch, nowNanos));
		Optional<List<TableRow>> rows = watch.known()
			.changesSince(since)
			.map((changes) -> messages(changes, version))
			.filter(SharedTables::isSmall);
		rows.ifPresentOrElse(news::addAllRows, () -> news.setOmitted(true));
		return news.build();
	}

	private static int provenMillis(TableWatch watch, long nowNanos) {
		OptionalLong age = watch.ownAgeNanos(nowNanos);
		return age.isPresent() ? (int) Math.clamp(TimeUnit.NANOSECONDS.toMillis(age.getAsLong()), 1, Integer.MAX_VALUE)
				: 0;
	}

	private long told(String table, long version) {
		Deque<Long> versions = this.told.computeIfAbsent(table, (_) -> new ArrayDeque<>());
		versions.addLast(version);
		if (versions.size() > TIMES_TOLD + 1) {
			versions.removeFirst();
		}
		return versions.getFirst();
	}

	private static List<TableRow> messages(List<Row> changes, long version) {
		return changes.stream().filter((row) -> row.version() <= version).map(FollowedTable::message).toList();
	}

	private static boolean isSmall(List<TableRow> rows) {
		return rows.stream().mapToInt(TableRow::getSerializedSize).sum() <= MOST_BYTES;
	}

	// -- hearing

	/**
	 * Takes what another gateway tells.
	 * @param news what it tells
	 * @param tables where it serves its tables
	 * @param nowNanos the time
	 */
	void heard(List<TableNews> news, InetSocketAddress tables, long nowNanos) {
		news.forEach((one) -> Optional.ofNullable(this.watches.get(one.getTable()))
			.ifPresent((watch) -> watch.told(one, tables, nowNanos)));
	}

	/**
	 * Sets what this gateway does for the others.
	 * @param now its role
	 */
	void role(Role now) {
		if (now != this.role) {
			this.role = now;
			EventLog.info(GatewayEvents.TABLES_SHARED, "role", now);
		}
	}

	/**
	 * What this gateway does for the others.
	 * @return its role
	 */
	Role role() {
		return this.role;
	}

	@Override
	public void close() {
		this.watches.values().forEach(TableWatch::close);
	}

	/** Notes that there are changes to be told. */
	private final class Noting implements TableWatch.Listener {

		private final TableWatch.Listener listener;

		private Noting(TableWatch.Listener listener) {
			this.listener = listener;
		}

		@Override
		public void all(List<Row> rows, long version) {
			SharedTables.this.changed = true;
			this.listener.all(rows, version);
		}

		@Override
		public void changed(List<Row> rows, long version) {
			SharedTables.this.changed = true;
			this.listener.changed(rows, version);
		}

	}

}
